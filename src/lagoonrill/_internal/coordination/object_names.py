"""Names of the router's own objects in the store, the same at all instances."""

import hashlib

from .crash_findings import CrashFinding
from .policy.stream_history import DefaultVersion


def finding_name(finding: CrashFinding) -> str:
    """Returns the name of a finding's object.

    >>> from lagoonrill._internal.coordination.policy.crash_evidence import Cause
    >>> cause = Cause(service="s", parts=frozenset(("a", "b")))
    >>> len(finding_name(CrashFinding(cause=cause, found_at=0.0)))
    32
    """
    cause = finding.cause
    text = "\n".join((cause.service, cause.request, *sorted(cause.parts)))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def default_name(default: DefaultVersion) -> str:
    """Returns the name of a default's object."""
    return f"{object_name(default.service)}.default.{default.number}"


def object_name(text: str) -> str:
    """Returns a name for an object from any text.

    >>> len(object_name("a service / with odd characters"))
    24
    """
    return hashlib.sha256(text.encode()).hexdigest()[:24]
