"""Small connections between components that must not know each other."""

from returns.result import Failure, Result

from ..protocol.claim_errors import NoPeer
from ..protocol.errors import NotReady, PeerError
from ..protocol.messages import ClaimReply, ClaimRequest
from ..protocol.objects import ConfigRecord
from ..state.generation import GenerationState
from .endpoint_monitor import EndpointMonitor
from .membership import Membership
from .rollout import Rollout

NOT_READY_RETRY_S = 1.0


class ConfirmedManifest:
    """The manifest in force, as long as this instance may serve new requests."""

    def __init__(self, *, generations: GenerationState, rollout: Rollout):
        self.generations = generations
        self.rollout = rollout

    def current(self) -> ConfigRecord | None:
        """Returns the record in force; raises `NotReady` with the reason."""
        readiness = self.rollout.ready()
        if not readiness.ready:
            raise NotReady(message=readiness.reason, retry_after_s=NOT_READY_RETRY_S)
        return self.generations.current()


class EndpointReports:
    """Passes what the request path learns of endpoints to the monitor."""

    def __init__(self, *, monitor: EndpointMonitor):
        self.monitor = monitor

    def mark_down(self, endpoint_id: str, reason: str) -> None:
        """Reports that a request did not reach the endpoint."""
        self.monitor.report_failure(endpoint_id, reason)

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        """Reports that an answer named the endpoint as leaving."""
        self.monitor.report_leaving(endpoint_id)


class PeerClaims:
    """Asks peers to append a claim while this instance does not reach the store."""

    def __init__(self, *, membership: Membership):
        self.membership = membership

    def ask(
        self, request: ClaimRequest, timeout_s: float
    ) -> Result[ClaimReply, PeerError]:
        """Asks one peer, of another zone if possible; repeats go to the same one.

        The same peer answers a repeat with the same attempt id from its memory.
        """
        peers = sorted(self.membership.live_peers(), key=self._preference)
        if not peers:
            return Failure(NoPeer(message="no peer is live"))
        return self.membership.request(peers[0].instance, request, timeout_s)

    def _preference(self, view) -> tuple[bool, str]:
        return view.zone == self.membership.zone, view.instance
