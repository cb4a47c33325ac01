"""Adapters between components that must not depend on each other."""

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
    """Provides the active manifest while this instance may serve new requests."""

    def __init__(self, *, generations: GenerationState, rollout: Rollout):
        self.generations = generations
        self.rollout = rollout

    def current(self) -> ConfigRecord | None:
        """Returns the active record; raises `NotReady` with the reason if not ready."""
        readiness = self.rollout.ready()
        if not readiness.ready:
            raise NotReady(message=readiness.reason, retry_after_s=NOT_READY_RETRY_S)
        return self.generations.current()


class EndpointReports:
    """Forwards endpoint reports from the request path to the monitor."""

    def __init__(self, *, monitor: EndpointMonitor):
        self.monitor = monitor

    def mark_down(self, endpoint_id: str, reason: str) -> None:
        """Reports that a request could not reach the endpoint."""
        self.monitor.report_failure(endpoint_id, reason)

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        """Reports that an answer marked the endpoint as leaving."""
        self.monitor.report_leaving(endpoint_id)


class PeerClaims:
    """Asks peers to append a claim while this instance cannot reach the store."""

    def __init__(self, *, membership: Membership):
        self.membership = membership

    def ask(
        self, request: ClaimRequest, timeout_s: float
    ) -> Result[ClaimReply, PeerError]:
        """Asks one peer, preferably in another zone; retries go to the same peer.

        That peer answers a retry with the same attempt id from memory.
        """
        peers = sorted(self.membership.live_peers(), key=self._preference)
        if not peers:
            return Failure(NoPeer(message="no peer is live"))
        return self.membership.request(peers[0].instance, request, timeout_s)

    def _preference(self, view) -> tuple[bool, str]:
        return view.zone == self.membership.zone, view.instance
