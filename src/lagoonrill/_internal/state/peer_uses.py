"""Slot usage reported by peers, and selection of own usage for a heartbeat."""

import threading

from ..protocol.messages import EndpointUse


class UseRotation:
    """Selects at most `limit` uses per heartbeat: changed ones, then oldest sent."""

    def __init__(self, *, limit: int):
        self.limit = limit
        self.round = 0
        self.sent: dict[str, EndpointUse] = {}
        self.sent_in: dict[str, int] = {}

    def select(self, uses: list[EndpointUse]) -> list[EndpointUse]:
        """Returns the uses to send; endpoints that became idle are sent with zeros."""
        self.round += 1
        current = {use.endpoint: use for use in uses}
        for endpoint in self.sent:
            current.setdefault(
                endpoint, EndpointUse(endpoint=endpoint, in_use=0, waiting=0)
            )
        ranked = sorted(current.values(), key=self._rank)[: self.limit]
        for use in ranked:
            self.sent[use.endpoint] = use
            self.sent_in[use.endpoint] = self.round
        self._forget_idle(uses)
        return ranked

    def _rank(self, use: EndpointUse) -> tuple[bool, int]:
        unchanged = self.sent.get(use.endpoint) == use
        return unchanged, self.sent_in.get(use.endpoint, 0)

    def _forget_idle(self, uses: list[EndpointUse]) -> None:
        # Idle endpoints are sent for some more rounds, in case a heartbeat was lost.
        used = {use.endpoint for use in uses}
        for endpoint, round_sent in list(self.sent_in.items()):
            idle = endpoint not in used and self.sent[endpoint].in_use == 0
            if idle and self.round - round_sent > 20:
                del self.sent[endpoint], self.sent_in[endpoint]


class PeerUses:
    """Latest slot usage by instance and endpoint."""

    def __init__(self):
        self.lock = threading.Lock()
        self.uses: dict[str, dict[str, EndpointUse]] = {}

    def merge(self, instance: str, uses: list[EndpointUse], *, partial: bool) -> None:
        """Stores the uses of a heartbeat; a partial one is merged with known uses."""
        with self.lock:
            known = self.uses.get(instance, {}) if partial else {}
            merged = known | {use.endpoint: use for use in uses}
            self.uses[instance] = {
                name: use for name, use in merged.items() if use.in_use or use.waiting
            }

    def drop(self, instance: str) -> None:
        """Removes the uses of an instance."""
        with self.lock:
            self.uses.pop(instance, None)

    def snapshot(self) -> dict[str, list[EndpointUse]]:
        """Returns a copy of the latest uses by instance."""
        with self.lock:
            return {name: list(uses.values()) for name, uses in self.uses.items()}
