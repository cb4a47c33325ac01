"""Keeps the index of cached prefixes in step with the engines' own cache events."""

import threading

import logbook
import msgspec
from returns.result import Failure

from ..protocol.manifest import Endpoint, Manifest
from .policy.prefix_affinity import CacheEvent, PrefixIndex

log = logbook.Logger("cache-events")

# The events correct an index that the instance also fills itself, so they may be late;
# at 5 s they cost a tenth of the load reports.
FETCH_INTERVAL_S = 5.0


class EngineEvent(msgspec.Struct, kw_only=True):
    """One event as an engine lists it: a block was `stored` or `removed`."""

    number: int
    kind: str
    block: int

    def as_cache_event(self) -> CacheEvent:
        blocks = (self.block,)
        if self.kind == "stored":
            return CacheEvent(number=self.number, stored=blocks)
        return CacheEvent(number=self.number, evicted=blocks)


class CacheEventDump(msgspec.Struct, kw_only=True):
    """State dump: the number of the last event of each engine."""

    last: dict[str, int]


class CacheEventPoll:
    """Fetches the events of the engines that this instance uses.

    An engine is used once the index knows blocks of it, because `note_sent` puts them
    there.
    """

    def __init__(
        self, *, client, prefixes: PrefixIndex, interval_s: float = FETCH_INTERVAL_S
    ):
        self.client = client
        self.prefixes = prefixes
        self.interval_s = interval_s
        self.engines: dict[str, Endpoint] = {}
        self.last: dict[str, EngineEvent] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self._run, name="cache-events", daemon=True
        )

    def apply_manifest(self, manifest: Manifest) -> None:
        """Takes the engines of a manifest."""
        self.engines = {e.id: e for e in manifest.endpoints if not e.service}

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Stops fetching; a call in progress ends with its own time-out."""
        self.stopping.set()

    def dump(self) -> CacheEventDump:
        return CacheEventDump(
            last={name: event.number for name, event in self.last.copy().items()}
        )

    def poll(self) -> None:
        """Fetches the events of every used engine once."""
        engines = self.engines
        for endpoint_id in self.prefixes.dump().blocks:
            if endpoint_id not in engines:
                self._forget(endpoint_id)
            elif not self.stopping.is_set():
                self._fetch(engines[endpoint_id])

    def _fetch(self, endpoint: Endpoint) -> None:
        last = self.last.get(endpoint.id)
        # The last known event is listed again; a restart is seen by another event, or
        # none, in its place, even if the numbers have passed it already.
        after = 0 if last is None else last.number - 1
        path = f"/cache-events?after={after}"
        fetched = self.client.fetch(endpoint, path, list[EngineEvent])
        if isinstance(fetched, Failure):
            return  # the engine is down, or has no events
        events = fetched.unwrap()
        if last is not None and events[:1] != [last]:
            log.info("engine {} restarted its cache events", endpoint.id)
            self._forget(endpoint.id)
            return
        if not events:
            return
        self.last[endpoint.id] = events[-1]
        numbered = [event.as_cache_event() for event in events]
        if not self.prefixes.apply_events(endpoint.id, numbered):
            log.info("cache events of engine {} have a gap", endpoint.id)

    def _forget(self, endpoint_id: str) -> None:
        self.last.pop(endpoint_id, None)
        self.prefixes.forget(endpoint_id)

    def _run(self) -> None:
        while not self.stopping.wait(self.interval_s):
            try:
                self.poll()
            except Exception:
                log.exception("a fetch of cache events failed")
