"""Prefix affinity: tracks which prompt blocks each engine has probably cached."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

# About 64 tokens; shorter blocks detect more shared prefixes but use more memory.
BLOCK_CHARACTERS = 256
BLOCK_TOKENS = 64
MAX_BLOCKS_PER_ENDPOINT = 4_096
# At about 130 bytes per block, this limits the index to about 26 MB of the 128 MB
# memory budget of a daemon.
MAX_BLOCKS = 200_000


class CacheEvent(msgspec.Struct, kw_only=True):
    """Numbered cache event of an engine: blocks that it stored or evicted."""

    number: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


def hash_prompt(text: str) -> tuple[int, ...]:
    """Hashes a prompt in blocks; each hash covers the text up to the end of its block.

    >>> first, second = hash_prompt("a" * 256 + "b" * 256)
    >>> hash_prompt("a" * 256 + "c" * 300)[0] == first
    True
    >>> hash_prompt("short")
    ()
    """
    digest = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(int.from_bytes(digest.copy().digest(), "big"))
    return tuple(blocks)


class PrefixDump(msgspec.Struct, kw_only=True):
    """State dump of the index: number of known blocks by endpoint."""

    blocks: dict[str, int]


class EngineBlocks:
    """LRU set of the blocks cached by one engine."""

    __slots__ = ("blocks", "next_event")

    def __init__(self):
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.next_event: int | None = None

    def store(self, blocks: Iterable[int], limit: int) -> None:
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > limit:
            self.blocks.popitem(last=False)

    def evict(self, blocks: Iterable[int]) -> None:
        for block in blocks:
            self.blocks.pop(block, None)


class PrefixIndex:
    """Index of the blocks sent to each engine, corrected by cache events."""

    def __init__(
        self,
        *,
        max_blocks: int = MAX_BLOCKS,
        max_blocks_per_endpoint: int = MAX_BLOCKS_PER_ENDPOINT,
    ):
        self.max_blocks = max_blocks
        self.max_blocks_per_endpoint = max_blocks_per_endpoint
        self.lock = threading.Lock()
        self.engines: dict[str, EngineBlocks] = {}

    def note_sent(self, endpoint_id: str, blocks: tuple[int, ...]) -> None:
        """Records the blocks of a prompt that was sent to an engine."""
        if not blocks:
            return
        with self.lock:
            self._engine(endpoint_id).store(blocks, self._limit())

    def cached_blocks(self, endpoint_id: str, blocks: tuple[int, ...]) -> int:
        """Returns how many leading blocks the engine has probably cached."""
        with self.lock:
            engine = self.engines.get(endpoint_id)
            if engine is None:
                return 0
            for position, block in enumerate(blocks):
                if block not in engine.blocks:
                    return position
            return len(blocks)

    def apply_events(self, endpoint_id: str, events: Iterable[CacheEvent]) -> bool:
        """Applies events in order; returns False if a gap cleared the known blocks."""
        complete = True
        with self.lock:
            engine = self._engine(endpoint_id)
            limit = self._limit()
            for event in events:
                complete = self._apply(engine, event, limit) and complete
        return complete

    def _apply(self, engine: EngineBlocks, event: CacheEvent, limit: int) -> bool:
        expected = engine.next_event
        if expected is not None and event.number < expected:
            return True
        has_gap = expected is not None and event.number > expected
        if has_gap:
            engine.blocks.clear()
        engine.next_event = event.number + 1
        engine.evict(event.evicted)
        engine.store(event.stored, limit)
        return not has_gap

    def forget(self, endpoint_id: str) -> None:
        """Drops the blocks of an engine, for example after it restarted."""
        with self.lock:
            self.engines.pop(endpoint_id, None)

    def size(self) -> int:
        with self.lock:
            return sum(len(engine.blocks) for engine in self.engines.values())

    def dump(self) -> PrefixDump:
        with self.lock:
            blocks = {name: len(item.blocks) for name, item in self.engines.items()}
        return PrefixDump(blocks=blocks)

    def _engine(self, endpoint_id: str) -> EngineBlocks:
        if endpoint_id not in self.engines:
            self.engines[endpoint_id] = EngineBlocks()
            self._shrink()
        return self.engines[endpoint_id]

    def _limit(self) -> int:
        share = self.max_blocks // max(1, len(self.engines))
        return min(self.max_blocks_per_endpoint, share)

    def _shrink(self) -> None:
        limit = self._limit()
        for engine in self.engines.values():
            engine.store((), limit)
