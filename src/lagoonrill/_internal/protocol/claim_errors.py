"""Errors of claims that were not granted.

Each kind is registered under its name on the wire and maps to the `RequestError` that
the router returns to the caller:

>>> error = CLAIM_ERRORS["outcome_unknown"](message="claimed by another attempt")
>>> error.to_request_error().run.value
'unknown'
"""

from . import errors
from .claim_records import Outcome
from .errors import LagoonrillError, PeerError, RequestError

CLAIM_ERRORS: dict[str, type["ClaimError"]] = {}
RETRY_AFTER_S = 1.0


class ClaimError(LagoonrillError):
    """A claim was not granted; the subclass indicates the state of the key."""

    kind = ""
    request_error: type[RequestError] = errors.OutcomeUnknown

    def to_request_error(self) -> RequestError:
        """Returns the error that the caller receives."""
        return self.request_error(message=self.message, retry_after_s=RETRY_AFTER_S)


def claim_error(kind: str):
    """Registers a `ClaimError` subclass under its name in a `ClaimReply`."""

    def register(cls: type[ClaimError]) -> type[ClaimError]:
        cls.kind = kind
        CLAIM_ERRORS[kind] = cls
        return cls

    return register


@claim_error("key_reused")
class KeyReused(ClaimError):
    """The key was claimed for a request with another body."""

    request_error = errors.KeyReused

    def to_request_error(self) -> RequestError:
        """Returns the error without Retry-After, because a retry would fail again."""
        return self.request_error(message=self.message)


@claim_error("outcome_known")
class OutcomeKnown(ClaimError):
    """The request with this key has run; `outcome` is its recorded response."""

    def __init__(self, *, message: str, outcome: Outcome):
        super().__init__(message=message)
        self.outcome = outcome


@claim_error("outcome_unknown")
class OutcomeUnknown(ClaimError):
    """Another attempt holds the key and no outcome is recorded."""

    default_remedy = errors.OutcomeUnknown.default_remedy


@claim_error("claim_not_made")
class ClaimNotMade(ClaimError):
    """This attempt has no claim and can get none, so it is not run."""

    default_remedy = errors.ClaimsUnavailable.default_remedy
    request_error = errors.ClaimsUnavailable


@claim_error("claim_in_doubt")
class ClaimInDoubt(ClaimError):
    """The claim may exist or may still be written; the caller receives `unknown`."""

    default_remedy = errors.OutcomeUnknown.default_remedy


class NoPeer(PeerError):
    """No peer was available, so no message was sent."""
