"""Memory that callers take: room for bodies, and the end of slow uploads."""

import itertools
import math
import random
import threading
import time
from collections.abc import Callable

from ..event_log import EventLog
from ..protocol.refusals import Refusal
from ..state.gateway_metrics import GatewayMetrics
from . import policy
from .account import AccountPart, MemoryAccount, Part

# Bodies up to this size need no reservation: the cost of their connection covers them.
FREE_BODY_BYTES = 8_192
# Bodies up to this size have a part of their own, so that large ones cannot keep them
# waiting. They are held twice while they are sent, together with their head.
SMALL_BODY_BYTES = 65_536
SMALL_BODY_COPIES = 2
# The cost of a connection covers a head of this size. A larger one is reserved by what
# it becomes: its fields as objects, and what lists in them are decoded to.
FREE_HEAD_FIELDS = 64
FREE_HEAD_BYTES = 4_096
FIELD_BYTES = 160
DECODED_HEAD_FACTOR = 16
# Time that such a head, which is in memory already, waits for room.
HEAD_WAIT_S = 0.1
# Buffers of the socket and the parser while a large body is received.
RECEIVE_BUFFERS_BYTES = 98_304
# A chunked body is reserved in steps of this size, and a growing buffer takes up to an
# eighth more than its content.
GROWTH_STEP_BYTES = 131_072
GROWTH_SPARE = 0.125
# Time that a body waits for room before it is refused.
ROOM_WAIT_S = 2.0
# Retry-After of a refusal for lack of memory, with a random part that spreads repeats.
RETRY_AFTER_S = 1.0
RETRY_SPREAD_S = 1.0
# Minimum interval between two lines in the log with the same reason.
NOTICE_INTERVAL_S = 1.0


def head_cost_bytes(fields: int, size: int) -> int:
    """Returns what a decoded head takes beyond the cost of its connection.

    >>> head_cost_bytes(20, 900), head_cost_bytes(3_200, 16_000)
    (0, 692224)
    """
    many = max(0, fields - FREE_HEAD_FIELDS) * FIELD_BYTES
    return many + max(0, size - FREE_HEAD_BYTES) * DECODED_HEAD_FACTOR


class Upload:
    """Memory of one request, from its head until its answer is sent."""

    __slots__ = (
        "abort",
        "aborted",
        "head_bytes",
        "is_waiting",
        "key",
        "memory",
        "part",
        "progress_at",
        "received_bytes",
        "receiving",
        "reserved_bytes",
        "started_at",
    )

    def __init__(self, *, memory: "CallerMemory", key: int, abort: Callable[[], None]):
        self.memory = memory
        self.key = key
        # Ends the connection's reads from another thread.
        self.abort = abort
        self.aborted = False
        self.part: AccountPart = memory.account.parts[Part.SMALL_BODIES]
        # Reserved for the head in the part of small bodies, whatever the body takes.
        self.head_bytes = 0
        self.reserved_bytes = 0
        self.received_bytes = 0
        self.started_at = self.progress_at = time.monotonic()
        self.is_waiting = False
        self.receiving = True

    def reserve_head(self, count: int, is_wanted: Callable[[], bool]) -> None:
        """Reserves the memory of a large head; raises `Refusal`."""
        self._reserve(count, is_wanted, HEAD_WAIT_S)
        self.head_bytes, self.reserved_bytes = count, 0

    def reserve_length(self, length: int, is_wanted: Callable[[], bool]) -> None:
        """Reserves the memory of a body of known length; raises `Refusal`."""
        if length <= FREE_BODY_BYTES:
            return
        if length <= SMALL_BODY_BYTES:
            self._reserve(length * SMALL_BODY_COPIES, is_wanted)
        else:
            self._move_to_large(length + RECEIVE_BUFFERS_BYTES, is_wanted)

    def reserve_growth(self, length: int, is_wanted: Callable[[], bool]) -> None:
        """Reserves the memory of a body that has grown to `length`; raises `Refusal`.

        `length` includes bytes that have been received and are not yet kept.
        """
        if length <= FREE_BODY_BYTES:
            return
        large = self.memory.account.parts[Part.BODIES]
        if length <= SMALL_BODY_BYTES:
            if not self.reserved_bytes:
                self._reserve(SMALL_BODY_BYTES * SMALL_BODY_COPIES, is_wanted)
            return
        size = math.ceil(length * (1 + GROWTH_SPARE)) + RECEIVE_BUFFERS_BYTES
        if self.part is not large:
            self._move_to_large(size, is_wanted)
        elif size > self.reserved_bytes:
            step = max(size - self.reserved_bytes, GROWTH_STEP_BYTES)
            self._reserve(step, is_wanted)

    def _move_to_large(self, count: int, is_wanted: Callable[[], bool]) -> None:
        small, held = self.part, self.reserved_bytes
        self.part, self.reserved_bytes = self.memory.account.parts[Part.BODIES], 0
        try:
            self._reserve(count, is_wanted)
        finally:
            small.give_back(held)

    def _reserve(
        self,
        count: int,
        is_wanted: Callable[[], bool],
        most_wait_s: float = math.inf,
    ) -> None:
        if not self.part.take(count):
            self.is_waiting = True
            begun_at = time.monotonic()
            try:
                self.memory.wait_for_room(self.part, count, is_wanted, most_wait_s)
            finally:
                # The caller could not send during the wait.
                self.progress_at = time.monotonic()
                self.started_at += self.progress_at - begun_at
                self.is_waiting = False
        self.reserved_bytes += count

    def note_received(self, count: int) -> None:
        """Notes that bytes of the body have arrived."""
        self.received_bytes += count
        self.progress_at = time.monotonic()

    def complete(self) -> None:
        """Ends the upload, which is then not ended for being slow.

        Raises `Refusal` if that was decided just before.
        """
        self.memory.forget(self)
        if self.aborted:
            raise no_memory("slow_upload")
        if self.part.part is Part.BODIES and self.reserved_bytes:
            self.reserved_bytes -= RECEIVE_BUFFERS_BYTES
            self.part.give_back(RECEIVE_BUFFERS_BYTES)

    def close(self) -> None:
        """Gives everything back; further calls do nothing."""
        self.memory.forget(self)
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.part.give_back(reserved)
        head, self.head_bytes = self.head_bytes, 0
        self.memory.account.parts[Part.SMALL_BODIES].give_back(head)

    def view(self) -> policy.UploadView:
        return policy.UploadView(
            key=self.key,
            held_bytes=self.reserved_bytes + self.head_bytes,
            received_bytes=self.received_bytes,
            started_at=self.started_at,
            progress_at=self.progress_at,
            is_waiting=self.is_waiting,
        )


class CallerMemory:
    """Gives callers room in the account, and ends slow uploads if it is full."""

    def __init__(
        self,
        *,
        account: MemoryAccount,
        metrics: GatewayMetrics,
        event_log: EventLog,
        room_wait_s: float = ROOM_WAIT_S,
    ):
        self.account = account
        self.metrics = metrics
        self.event_log = event_log
        self.room_wait_s = room_wait_s
        self.lock = threading.Lock()
        # Held while a large head is decoded, so that only one is not reserved yet.
        self.large_heads = threading.Lock()
        self.keys = itertools.count()
        self.uploads: dict[int, Upload] = {}
        # Refusals by reason since the last line in the log, and the time of that line.
        self.unlogged: dict[str, int] = {}
        self.logged_at: dict[str, float] = {}

    def begin_upload(self, abort: Callable[[], None]) -> Upload:
        """Returns the memory of a new body; `abort` ends its connection's reads."""
        upload = Upload(memory=self, key=next(self.keys), abort=abort)
        with self.lock:
            self.uploads[upload.key] = upload
        return upload

    def forget(self, upload: Upload) -> None:
        """Takes an upload out of those that may be ended."""
        with self.lock:
            upload.receiving = False
            self.uploads.pop(upload.key, None)

    def wait_for_room(
        self,
        part: AccountPart,
        count: int,
        is_wanted: Callable[[], bool],
        most_wait_s: float = math.inf,
    ) -> None:
        """Reserves bytes, and raises `Refusal` if there is no room for them in time."""

        def while_waiting(is_first: bool) -> bool:
            if is_first:
                self._end_slow_uploads(count)
            return is_wanted()

        if count > part.most_bytes:
            # No wait and no repeat would help.
            self.note_refusal("body_over_memory")
            raise Refusal(413, "body_over_memory", remedy="Send less, or in parts.")
        if not part.wait_and_take(
            count,
            timeout_s=min(self.room_wait_s, most_wait_s),
            while_waiting=while_waiting,
        ):
            self.note_refusal("no_memory")
            raise no_memory("no_memory")

    def _end_slow_uploads(self, needed_bytes: int) -> None:
        with self.lock:
            uploads = dict(self.uploads)
        # Memory of uploads that were ended before is about to become free.
        ending = sum(i.view().held_bytes for i in uploads.values() if i.aborted)
        views = [item.view() for item in uploads.values() if not item.aborted]
        chosen = policy.choose_uploads(
            views, needed_bytes=needed_bytes - ending, now=time.monotonic()
        )
        for view in chosen:
            self.end_upload(uploads[view.key])

    def end_upload(self, upload: Upload) -> bool:
        """Ends an upload; returns False if it has ended in the meantime."""
        with self.lock:
            if not upload.receiving or upload.aborted:
                return False
            upload.aborted = True
        self.note_refusal("slow_upload")
        upload.abort()
        return True

    def note_refusal(self, reason: str) -> None:
        """Counts a refusal; logs the first of each second, with the number so far."""
        self.metrics.count("memory_refusals", reason=reason)
        now = time.monotonic()
        with self.lock:
            self.unlogged[reason] = self.unlogged.get(reason, 0) + 1
            if now - self.logged_at.get(reason, -math.inf) < NOTICE_INTERVAL_S:
                return
            self.logged_at[reason] = now
            count = self.unlogged.pop(reason)
        self.event_log.emit(
            "memory_refused",
            reason=reason,
            count=count,
            held_bytes=self.account.held_bytes,
            capacity_bytes=self.account.capacity_bytes,
        )

    def dump(self) -> dict:
        """Returns the account and the number of uploads, for the state page."""
        with self.lock:
            views = [upload.view() for upload in self.uploads.values()]
        return {**self.account.dump(), "uploads": len(views)}


def no_memory(reason: str) -> Refusal:
    """Returns the refusal of a request that has not run for lack of memory."""
    return Refusal(
        503,
        reason,
        remedy="Retry after the time given.",
        retry_after_s=RETRY_AFTER_S + random.random() * RETRY_SPREAD_S,
    )
