"""Fetches newer configurations and endpoints from peers, and serves them to peers.

Load pattern: the store rejects the calls of one instance, or delivers nothing to it,
while other instances reach the store. More frequent store calls are expensive and would
not help.
"""

import time
from collections.abc import Callable

from returns.result import Failure

from ..event_log import EventLog
from ..protocol.messages import GatewayDigest, RoutingReply, RoutingRequest
from ..state.route_table import RoutingState
from ..transport.peer_link import PeerLink
from .endpoint_discovery import EndpointDiscovery
from .store_freshness import StoreFreshness

# Interval between checks of the peer digests.
REVIEW_INTERVAL_S = 0.1
# The store usually delivers a change within this time, without help from a peer.
ASK_AFTER_S = 0.2
# Endpoint changes are fetched at least 0.8 s apart. If the list of this instance does
# not change for longer although a peer has a newer list, the store does not deliver.
DEAD_WATCH_S = 1.0
REQUEST_TIMEOUT_S = 0.6


class RoutingCatchUp:
    """Queries one peer that has been ahead of this instance for a while.

    `digests` returns the latest digest of each live peer. Newer configurations are
    accepted from any peer; endpoints only while this instance cannot reach the store or
    receives nothing from it.
    """

    def __init__(
        self,
        *,
        link: PeerLink,
        routing: RoutingState,
        discovery: EndpointDiscovery,
        digests: Callable[[], list[GatewayDigest]],
        freshness: StoreFreshness,
        event_log: EventLog,
        clock=time.monotonic,
    ):
        self.link = link
        self.routing = routing
        self.discovery = discovery
        self.digests = digests
        self.freshness = freshness
        self.event_log = event_log
        self.clock = clock
        self.behind_since: float | None = None

    def review(self) -> None:
        """Checks the digests and queries a peer that has been ahead for long enough."""
        ahead = self._most_advanced_peer()
        if ahead is None:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = self.clock()
        elif self.clock() - self.behind_since >= ASK_AFTER_S:
            self._ask(ahead)

    def _most_advanced_peer(self) -> GatewayDigest | None:
        """Returns the digest of the most up-to-date peer ahead of this instance."""
        needs_list = self._needs_list()
        version = self.routing.version
        position = self.discovery.position
        ahead = [
            digest
            for digest in self.digests()
            if digest.config_version > version
            or (needs_list and digest.endpoint_position > position)
        ]
        return max(
            ahead,
            key=lambda digest: (digest.config_version, digest.endpoint_position),
            default=None,
        )

    def _needs_list(self) -> bool:
        if not self.freshness.in_touch():
            return True
        return self.freshness.endpoints.peer_ahead_s(self.digests()) >= DEAD_WATCH_S

    def _ask(self, ahead: GatewayDigest) -> None:
        result = self.link.request(
            ahead.address,
            RoutingRequest(
                config_version=self.routing.version,
                endpoint_revision=self.discovery.position.revision,
                store_era=self.discovery.position.era,
            ),
            REQUEST_TIMEOUT_S,
        )
        if isinstance(result, Failure):
            self.event_log.emit(
                "peer_did_not_answer", peer=ahead.instance, reason=str(result.failure())
            )
            return
        reply = result.unwrap()
        if isinstance(reply, RoutingReply):
            self._apply_reply(reply, ahead.instance)

    def _apply_reply(self, reply: RoutingReply, peer: str) -> None:
        if reply.config is not None and self.routing.install(reply.config):
            self.event_log.emit(
                "config_installed",
                version=reply.config.version,
                source="peer",
                peer=peer,
            )
        if reply.endpoints is not None and self._needs_list():
            self.event_log.emit(
                "endpoints_from_peer",
                peer=peer,
                endpoints=len(reply.endpoints),
                held=len(reply.held_for_s),
                era=reply.store_era,
                revision=reply.endpoint_revision,
                known=self.discovery.position.revision,
            )
            self.discovery.apply_from_peer(
                reply.endpoints,
                revision=reply.endpoint_revision,
                era=reply.store_era,
                held_for_s=reply.held_for_s,
            )
        self.behind_since = None

    def answer(self, request: RoutingRequest) -> RoutingReply:
        """Returns the configuration and endpoints that are newer than the peer's."""
        table = self.routing.table
        config = table.config if table else None
        if config is not None and config.version <= request.config_version:
            config = None
        position, endpoints, held_for_s = self.discovery.snapshot()
        newer = position > request.endpoint_position
        return RoutingReply(
            config=config,
            endpoint_revision=position.revision,
            store_era=position.era,
            endpoints=endpoints if newer else None,
            held_for_s=held_for_s if newer else {},
        )
