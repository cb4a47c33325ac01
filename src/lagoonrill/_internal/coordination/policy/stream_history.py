"""Knows at which software version of its endpoints a stream began.

Load pattern: endpoints of two versions serve side by side, during a release or for
days, and instances are killed, one or all at once. Callers take their broken streams up
at any instance. What two versions write does not fit together, so a stream may go on
only at the version that began it.

Each service has a default version, on which all instances agree. A stream that is known
nowhere began at the default version; what begins at another one is recorded before the
caller gets the first event. The default changes only after none of its endpoints has
been there for longer than a stream can last, so nothing is recorded while one version
serves, and a release costs a record for each stream for a limited time.

The lists of endpoints of two instances differ by seconds. Therefore an instance at
which the default version appears records its streams too, until the store shows that
no other instance has replaced the default meanwhile.

Versions have no order and may come back; they are compared for equality only.
"""

import math
import threading
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from ...protocol.routing import EndpointRecord

# A stream may be taken up for as long as it has lasted, so it lives for this many
# timeouts of its route at most.
STREAM_TIMEOUTS = 2.0
# Lifetime of a stream until a configuration is known.
DEFAULT_STREAM_LIFE_S = 60.0
# A list of endpoints that is older than this counts as old.
MAX_LIST_LAG_S = 5.0
MAX_RECORDS = 100_000
# Two times of one begin, from a message or from the store, differ by less than this. A
# second begin of a request is later, since the first one has waited for its record.
MAX_AGE_ERROR_S = 0.05


class StreamRecord(msgspec.Struct, kw_only=True, frozen=True):
    """Where a stream began; `key` is the digest of the id of its first request."""

    key: str
    service: str
    version: str


class DefaultVersion(msgspec.Struct, kw_only=True, frozen=True):
    """The version of streams that are known nowhere; the highest number holds."""

    service: str
    version: str
    number: int = 0


class ServedVersions:
    """Versions of the endpoints of a service, as observed by this instance."""

    __slots__ = ("appeared_at", "gone_at", "present", "since")

    def __init__(self, *, since: float):
        self.since = since
        # Times at which versions got their first endpoint, or were seen again after
        # the list of endpoints had been old.
        self.appeared_at: dict[str, float] = {}
        # Number of endpoints of each version.
        self.present: Counter[str] = Counter()
        # Times at which versions lost their last endpoint.
        self.gone_at: dict[str, float] = {}


class StreamHistory:
    """Records of streams, default versions, and the versions that served lately.

    >>> history = StreamHistory(clock=lambda: 100.0)
    >>> history.add_default(DefaultVersion(service="s", version="v1"))
    >>> history.needs_record("s", "v2")
    True
    >>> history.add(StreamRecord(key="k", service="s", version="v2"), age_s=3.0)
    >>> history.begun_at_version("s", "k")
    'v2'
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.stream_life_s = DEFAULT_STREAM_LIFE_S
        self.is_life_known = False
        # Time at which the latest list of the defaults in the store began.
        self.listed_at = -math.inf
        # Records and the times at which the streams began, oldest first.
        self.records: OrderedDict[str, tuple[StreamRecord, float]] = OrderedDict()
        self.defaults: dict[str, DefaultVersion] = {}
        self.served: dict[str, ServedVersions] = {}

    def note_longest_timeout(self, timeout_s: float) -> None:
        """Takes the longest timeout of the routes whose streams may be resumed.

        Streams that began with a longer one may still live.
        """
        life_s = STREAM_TIMEOUTS * timeout_s
        if self.is_life_known:
            life_s = max(life_s, self.stream_life_s)
        self.stream_life_s = life_s
        self.is_life_known = True

    def add(self, record: StreamRecord, *, age_s: float = 0.0) -> None:
        """Adds a record; of two of a stream, the one that began later holds."""
        begun_at = self.clock() - age_s
        now = self.clock()
        with self.lock:
            known = self.records.get(record.key)
            if known is None or begun_at > known[1] + MAX_AGE_ERROR_S:
                self.records[record.key] = record, begun_at
            while len(self.records) > MAX_RECORDS or self._oldest_is_over(now):
                self.records.popitem(last=False)

    def replace(self, record: StreamRecord) -> bool:
        """Records where a stream of this instance begins now.

        Returns whether it was known to begin at another version: no caller has got that
        begin, which may be stored all the same.
        """
        with self.lock:
            known, _ = self.records.pop(record.key, (record, 0.0))
        self.add(record)
        return known.version != record.version

    def forget(self, key: str) -> None:
        """Removes the record of a stream that did not begin."""
        with self.lock:
            self.records.pop(key, None)

    def _oldest_is_over(self, now: float) -> bool:
        if not self.records:
            return False
        _, begun_at = next(iter(self.records.values()))
        return begun_at < now - self.stream_life_s

    def add_default(self, default: DefaultVersion) -> None:
        """Adds a default version, unless a later one of the service is known."""
        with self.lock:
            known = self.defaults.get(default.service)
            if known is None or known.number < default.number:
                self.defaults[default.service] = default

    def needs_record(self, service: str, version: str) -> bool:
        """Returns whether a stream that begins at a version has to be recorded."""
        default = self.defaults.get(service)
        if default is None or default.version != version:
            return True
        return self.listed_at < self._certain_at(service, version)

    def _certain_at(self, service: str, version: str) -> float:
        """Returns from when on a list of the store shows that a default still holds.

        While the default version has no endpoint, another instance may replace it. It
        stops doing so once its own list of endpoints has the version again.
        """
        served = self.served.get(service)
        if served is None or version not in served.present:
            return math.inf
        return served.appeared_at[version] + MAX_LIST_LAG_S

    def note_list(self, began_at: float) -> None:
        """Records when a list of all defaults in the store began."""
        self.listed_at = began_at

    def note_old_list(self) -> None:
        """Records that the list of endpoints was old and may have missed changes."""
        now = self.clock()
        with self.lock:
            for served in self.served.values():
                for version in served.present:
                    served.appeared_at[version] = now

    def list_due(self, services: Iterable[str]) -> bool:
        """Returns whether a list of the store would make a default certain."""
        now = self.clock()
        return any(
            self.listed_at < self._certain_at(service, default.version) <= now
            for service in services
            if (default := self.defaults.get(service)) is not None
        )

    def begun_at_version(self, service: str, key: str) -> str | None:
        """Returns the version at which a recorded stream began, or None."""
        found = self.records.get(key)
        if found is None or found[0].service != service:
            return None
        return found[0].version

    def has_other_versions(self, service: str) -> bool:
        """Returns whether a stream that may live began at another than the default."""
        oldest = self.clock() - self.stream_life_s
        with self.lock:
            default = self.default_version(service)
            return any(
                record.service == service
                and record.version != default
                and begun_at >= oldest
                for record, begun_at in self.records.values()
            )

    def default_version(self, service: str) -> str | None:
        """Returns the version of streams that are known nowhere, if it is known."""
        default = self.defaults.get(service)
        return None if default is None else default.version

    def note_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Records which versions have endpoints now, leaving ones included."""
        now = self.clock()
        present: dict[str, Counter[str]] = {}
        for record in records:
            present.setdefault(record.service, Counter())[record.version] += 1
        with self.lock:
            for service in present.keys() | self.served.keys():
                served = self.served.setdefault(service, ServedVersions(since=now))
                versions = present.get(service, Counter())
                for version in served.present.keys() - versions.keys():
                    served.gone_at[version] = now
                for version in versions.keys() - served.present.keys():
                    served.gone_at.pop(version, None)
                    served.appeared_at[version] = now
                served.present = versions

    def serves_default_only(self, service: str) -> bool:
        """Returns whether all endpoints there have the default version."""
        served = self.served.get(service)
        return served is not None and set(served.present) == {
            self.default_version(service)
        }

    def serves_versions(self, service: str) -> bool:
        """Returns whether endpoints of several versions are there."""
        served = self.served.get(service)
        return served is not None and len(served.present) > 1

    def other_versions_serve(self, service: str, version: str) -> bool:
        """Returns whether endpoints of another version are there, leaving ones too."""
        served = self.served.get(service)
        return served is not None and bool(served.present.keys() - {version})

    def only_version(self, service: str) -> str | None:
        """Returns the version that all endpoints have had, or None.

        It is so for the life of a stream, whatever list another instance has.
        """
        now = self.clock()
        with self.lock:
            served = self.served.get(service)
            if served is None or len(served.present) != 1:
                return None
            oldest = now - self.stream_life_s - 2 * MAX_LIST_LAG_S
            if served.since > oldest or any(
                at > oldest for at in served.gone_at.values()
            ):
                return None
            (version,) = served.present
            return version

    def is_settled(self, service: str) -> bool:
        """Returns whether all streams seen here can only have begun at the default."""
        version = self.only_version(service)
        return version is not None and version == self.default_version(service)

    def next_default(self, service: str) -> DefaultVersion | None:
        """Returns the default that replaces the present one, if that is due.

        Without a default, all streams are recorded, so any version may become it; the
        one with the most endpoints saves the most records.
        """
        served = self.served.get(service)
        default = self.defaults.get(service)
        if default is None:
            if served is None or not served.present:
                return None
            version = max(served.present, key=lambda item: (served.present[item], item))
            return DefaultVersion(service=service, version=version)
        version = self.only_version(service)
        if version is None or version == default.version:
            return None
        return DefaultVersion(
            service=service, version=version, number=default.number + 1
        )

    def dump(self) -> dict:
        with self.lock:
            return {
                "records": len(self.records),
                "stream_life_s": self.stream_life_s,
                "services": {
                    service: {
                        "default": self.default_version(service),
                        "present": sorted(served.present),
                    }
                    for service, served in self.served.items()
                },
            }
