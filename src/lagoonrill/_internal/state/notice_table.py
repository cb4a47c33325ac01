"""Notices from peers, which expire unless an observer confirms them."""

import threading
from collections.abc import Iterable

from ..protocol.messages import Notice, NoticeKind

# Observers confirm a notice every heartbeat interval (0.5 s). At the target fleet size
# a notice takes at most 3 hops of 0.5 s each, so 5 s tolerates a few lost heartbeats.
NOTICE_LIFETIME_S = 5.0


class NoticeTable:
    """Latest confirmation times of notices by kind and subject."""

    def __init__(self):
        self.lock = threading.Lock()
        self.confirmed: dict[tuple[NoticeKind, str], float] = {}

    def merge(self, notices: Iterable[Notice], now: float) -> bool:
        """Merges received notices; returns whether any was new."""
        oldest = now - NOTICE_LIFETIME_S
        with self.lock:
            news = False
            for notice in notices:
                confirmed_at = now - notice.age_ms / 1000
                if confirmed_at <= oldest:
                    continue
                key = (notice.kind, notice.subject)
                known = self.confirmed.get(key)
                if known is None or known <= oldest:
                    news = True
                if known is None or known < confirmed_at:
                    self.confirmed[key] = confirmed_at
            return news

    def unexpired(self, now: float, limit: int) -> list[Notice]:
        """Removes expired notices and returns the others, newest first."""
        with self.lock:
            oldest = now - NOTICE_LIFETIME_S
            self.confirmed = {
                key: at for key, at in self.confirmed.items() if at > oldest
            }
            newest = sorted(self.confirmed.items(), key=lambda item: -item[1])[:limit]
        return [
            Notice(kind=kind, subject=subject, age_ms=int((now - at) * 1000) + 1)
            for (kind, subject), at in newest
        ]

    def subjects(self, kind: NoticeKind, now: float) -> dict[str, float]:
        """Returns the subjects of a kind with their expiry times."""
        oldest = now - NOTICE_LIFETIME_S
        with self.lock:
            return {
                subject: at + NOTICE_LIFETIME_S
                for (noticed, subject), at in self.confirmed.items()
                if noticed is kind and at > oldest
            }
