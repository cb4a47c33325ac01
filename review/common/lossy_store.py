"""A store of which the answers to some writes are lost."""

import random
import threading

from review.common.platform import EntryStore, configuration
from review.common.record import Record
from standins.metadata_store import MetadataStoreServer

# Of the writes during the disruption, this share gets no answer; each is executed late.
LOST_SHARE = 0.35
MIN_LATE_S, MAX_LATE_S = 1.0, 6.0
OPERATORS_KINDS = frozenset(("config", "servers"))


class LossyStore(EntryStore):
    """Executes some writes of the system late, and never answers them.

    The channel of such a write stays open and silent.
    """

    def __init__(self, *, record: Record, seed: int):
        self.record = record
        self.random = random.Random(seed)
        self.loses = False
        super().__init__()

    def put(self, kind: str, name: str, spec: object) -> None:
        if kind in OPERATORS_KINDS:
            super().put(kind, name, spec)
            return
        self.record.line(f"write of {kind} {name}: {spec}")
        if not self.loses or self.random.random() >= LOST_SHARE:
            super().put(kind, name, spec)
            return
        late_s = self.random.uniform(MIN_LATE_S, MAX_LATE_S)
        # Without an object of the name this is a create, else a replacement.
        creates = name not in self.kinds.get(kind, {})
        self.record.line(f"no answer to that; it is executed {late_s:.3f} s later")
        late = threading.Timer(late_s, self.put_late, (kind, name, spec, creates))
        late.daemon = True
        late.start()
        self.closed.wait()

    def put_late(self, kind: str, name: str, spec: object, creates: bool) -> None:
        """Executes a write late, if its condition still holds.

        A create is refused if the object exists meanwhile.
        """
        exists = name in self.kinds.get(kind, {})
        if creates == exists:
            self.record.line(f"late write of {kind} {name} is refused")
            return
        self.record.line(f"late write of {kind} {name}: {spec}")
        super().put(kind, name, spec)


def start_lossy_store(
    *, record: Record, seed: int
) -> tuple[LossyStore, MetadataStoreServer]:
    """Returns a running store with the configuration."""
    store = LossyStore(record=record, seed=seed)
    store.put("config", "main", configuration())
    return store, MetadataStoreServer(store)
