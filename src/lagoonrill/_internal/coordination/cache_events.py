"""Updates the prefix cache index from the cache events of the engines."""

import threading

import logbook
import msgspec
from returns.result import Failure

from ..protocol.manifest import Endpoint, Manifest
from .policy.prefix_affinity import CacheEvent, PrefixIndex

log = logbook.Logger("cache-events")

# The events only correct an index that the instance also fills itself, so delays are
# acceptable. At 5 s, fetching costs a tenth of the load reports.
FETCH_INTERVAL_S = 5.0


class EngineEvent(msgspec.Struct, kw_only=True):
    """Event as listed by an engine: a block was `stored` or `removed`."""

    number: int
    kind: str
    block: int

    def as_cache_event(self) -> CacheEvent:
        blocks = (self.block,)
        if self.kind == "stored":
            return CacheEvent(number=self.number, stored=blocks)
        return CacheEvent(number=self.number, evicted=blocks)


class CacheEventDump(msgspec.Struct, kw_only=True):
    """State dump: number of the last event of each engine."""

    last: dict[str, int]


class CacheEventPoll:
    """Fetches the cache events of the engines that this instance uses.

    An engine counts as used once `note_sent` has added blocks for it to the index.
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
        """Updates the known engines from a manifest."""
        self.engines = {e.id: e for e in manifest.endpoints if not e.service}

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Stops fetching; a call in progress ends by its own timeout."""
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
        # Request the last known event again. If it is missing or different, the engine
        # has restarted, even if its event numbers have already passed that number.
        after = 0 if last is None else last.number - 1
        path = f"/cache-events?after={after}"
        fetched = self.client.fetch(endpoint, path, list[EngineEvent])
        if isinstance(fetched, Failure):
            return  # The engine is down or does not provide events.
        events = fetched.unwrap()
        if last is not None and events[:1] != [last]:
            log.info(
                "engine {} restarted; its cached blocks are discarded", endpoint.id
            )
            self._forget(endpoint.id)
            return
        if not events:
            return
        self.last[endpoint.id] = events[-1]
        numbered = [event.as_cache_event() for event in events]
        if not self.prefixes.apply_events(endpoint.id, numbered):
            log.info(
                "gap in the cache events of engine {}; known blocks are discarded",
                endpoint.id,
            )

    def _forget(self, endpoint_id: str) -> None:
        self.last.pop(endpoint_id, None)
        self.prefixes.forget(endpoint_id)

    def _run(self) -> None:
        while not self.stopping.wait(self.interval_s):
            try:
                self.poll()
            except Exception:
                log.exception("fetching cache events failed")
