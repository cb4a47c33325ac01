"""Slot uses that peers report, and the choice of own uses for one heartbeat."""

import threading

from ..protocol.messages import EndpointUse


class UseRotation:
    """Chooses at most `limit` uses for a heartbeat: changed ones, then oldest sent."""

    def __init__(self, *, limit: int):
        self.limit = limit
        self.round = 0
        self.sent: dict[str, EndpointUse] = {}
        self.sent_in: dict[str, int] = {}

    def select(self, uses: list[EndpointUse]) -> list[EndpointUse]:
        """Returns the uses to send now; endpoints that fell idle come with zeros."""
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
        # An idle endpoint is repeated a few rounds in case a heartbeat was lost.
        used = {use.endpoint for use in uses}
        for endpoint, round_sent in list(self.sent_in.items()):
            idle = endpoint not in used and self.sent[endpoint].in_use == 0
            if idle and self.round - round_sent > 20:
                del self.sent[endpoint], self.sent_in[endpoint]


class PeerUses:
    """Latest uses by instance and endpoint, guarded by one lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.uses: dict[str, dict[str, EndpointUse]] = {}

    def take(self, instance: str, uses: list[EndpointUse], *, partial: bool) -> None:
        """Takes the uses of one heartbeat."""
        with self.lock:
            known = self.uses.get(instance, {}) if partial else {}
            merged = known | {use.endpoint: use for use in uses}
            self.uses[instance] = {
                name: use for name, use in merged.items() if use.in_use or use.waiting
            }

    def drop(self, instance: str) -> None:
        """Forgets an instance."""
        with self.lock:
            self.uses.pop(instance, None)

    def snapshot(self) -> dict[str, list[EndpointUse]]:
        """Returns the uses of each heard instance."""
        with self.lock:
            return {name: list(uses.values()) for name, uses in self.uses.items()}
