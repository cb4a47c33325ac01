"""Decides which callers lose their connection when the account is full.

The choice falls on callers that hold much and have made little progress for long. A
caller that sends steadily is never chosen; those who wait for its memory are refused
instead.
"""

from collections.abc import Iterable

import msgspec

# An upload without a byte for this long is stalled.
STALLED_S = 1.0
# An upload of this age is slow if it has been received at less than `MIN_BYTES_PER_S`.
# Forty callers share a link of 10 Mbit/s at this rate.
SLOW_AFTER_S = 3.0
MIN_BYTES_PER_S = 32_768
# A connection without a complete head may be closed after this time.
MIN_IDLE_S = 0.5
# A caller that has taken nothing of an answer for this long does not read it.
STALLED_READ_S = 2.0


class UploadView(msgspec.Struct, kw_only=True, frozen=True):
    """Progress of one upload; times are on the monotonic clock, in seconds."""

    key: int
    held_bytes: int
    received_bytes: int
    started_at: float
    progress_at: float
    # Waits for memory itself, so its lack of progress is not the caller's.
    is_waiting: bool = False


def is_slow(upload: UploadView, now: float) -> bool:
    """Returns whether an upload may be ended for the memory that it holds.

    >>> steady = UploadView(key=1, held_bytes=2**22, received_bytes=2**20,
    ...     started_at=0.0, progress_at=9.8)
    >>> is_slow(steady, now=10.0), is_slow(steady, now=11.0)
    (False, True)
    """
    return bool(upload.held_bytes) and is_stalled(upload, now)


def is_stalled(upload: UploadView, now: float) -> bool:
    """Returns whether an upload makes too little progress, whatever memory it holds."""
    if upload.is_waiting:
        return False
    if now - upload.progress_at >= STALLED_S:
        return True
    age_s = now - upload.started_at
    return age_s >= SLOW_AFTER_S and upload.received_bytes < age_s * MIN_BYTES_PER_S


def choose_uploads(
    uploads: Iterable[UploadView], *, needed_bytes: int, now: float
) -> list[UploadView]:
    """Returns the slow uploads to end so that `needed_bytes` become free.

    The first are those that have held the most memory for the longest time without
    progress. Returns fewer bytes than needed if there are no more slow uploads.
    """
    slow = [upload for upload in uploads if is_slow(upload, now)]
    slow.sort(key=lambda item: item.held_bytes * (now - item.progress_at), reverse=True)
    chosen = []
    for upload in slow:
        if needed_bytes <= 0:
            break
        chosen.append(upload)
        needed_bytes -= upload.held_bytes
    return chosen


class WaitingView(msgspec.Struct, kw_only=True, frozen=True):
    """A connection that waits for its caller since a time.

    It waits for a complete head, for the rest of a body that has stalled, or for the
    caller to take more of an answer.
    """

    key: int
    since: float
    served: int = 0
    is_sending: bool = False
    is_receiving: bool = False


def choose_waiting(
    connections: Iterable[WaitingView], *, now: float
) -> WaitingView | None:
    """Returns the connection to close for memory that another needs, or None.

    Connections that have never sent a request come first, then those with a stalled
    body, then those whose caller takes nothing of its answer, then idle ones; each with
    the longest wait first.

    >>> used = WaitingView(key=1, served=3, since=0.0)
    >>> unused = WaitingView(key=2, since=4.0)
    >>> unread = WaitingView(key=3, since=2.0, is_sending=True)
    >>> choose_waiting([used, unused, unread], now=5.0).key
    2
    >>> choose_waiting([unused, unread], now=3.9) is None
    True
    """
    candidates = [
        item
        for item in connections
        if now - item.since >= (STALLED_READ_S if item.is_sending else MIN_IDLE_S)
    ]
    return min(candidates, key=_waiting_order, default=None)


def _waiting_order(item: WaitingView) -> tuple[int, float]:
    if item.is_receiving:
        return 1, item.since
    if item.is_sending:
        return 2, item.since
    return 3 if item.served else 0, item.since
