"""Fetches newer configurations and endpoints from peers, and serves them to peers.

Load pattern: the store rejects the calls of one instance, or delivers nothing to it,
while other instances reach the store. More frequent store calls are expensive and would
not help. Also: versions follow each other within a second, each takes a slow instance
longer than that to fetch, and many instances are behind at the same moment. A peer
therefore answers with the changes alone if it knows them, and the instances that are
behind spread their requests over the peers that are ahead.
"""

import time
from collections.abc import Callable

from returns.result import Failure

from ..event_log import EventLog
from ..protocol.config_changes import apply_change
from ..protocol.messages import GatewayDigest, RoutingReply, RoutingRequest
from ..protocol.routing import RoutingConfig, StorePosition
from ..state.route_table import RoutingState
from ..transport.peer_link import PeerLink
from .endpoint_discovery import EndpointDiscovery
from .policy.engine_placement import hash_rank
from .store_freshness import StoreFreshness

# Interval between checks of the peer digests.
REVIEW_INTERVAL_S = 0.1
# The store usually delivers a change within this time, without help from a peer.
ASK_AFTER_S = 0.2
# Endpoint changes are fetched at least 0.8 s apart. If the list of this instance does
# not change for longer although a peer has a newer list, the store does not deliver.
DEAD_WATCH_S = 1.0
REQUEST_TIMEOUT_S = 0.6
# A whole configuration of 300 kB takes a quarter of a second over 10 Mbit/s, and more
# beside other traffic. A late reply has to be sent and received all the same, so a
# shorter timeout only adds traffic.
MAX_TIMEOUT_S = 2.4
# A peer that did not answer is asked last for this long.
AVOID_PEER_S = 3.0


class RoutingCatchUp:
    """Queries one peer that has been ahead of this instance for a while.

    `digests` returns the latest digest of each live peer. Newer configurations are
    accepted from any peer; endpoints only while this instance cannot reach the store or
    receives nothing from it.
    """

    def __init__(
        self,
        *,
        instance: str,
        link: PeerLink,
        routing: RoutingState,
        discovery: EndpointDiscovery,
        digests: Callable[[], list[GatewayDigest]],
        freshness: StoreFreshness,
        event_log: EventLog,
        clock=time.monotonic,
    ):
        self.instance = instance
        self.link = link
        self.routing = routing
        self.discovery = discovery
        self.digests = digests
        self.freshness = freshness
        self.event_log = event_log
        self.clock = clock
        self.behind_since: float | None = None
        # Timeout of the next request; it doubles after each one without a reply.
        self.timeout_s = REQUEST_TIMEOUT_S
        # Times until which peers that did not answer are asked last.
        self.avoided_until: dict[str, float] = {}
        # The longest time for which a peer had a newer configuration.
        self.max_config_lag_s = 0.0
        self.config_behind_since: float | None = None

    def config_lag_s(self) -> float:
        """Returns for how long a peer has had a newer configuration."""
        since = self.config_behind_since
        return 0.0 if since is None else self.clock() - since

    def review(self) -> None:
        """Checks the digests and queries a peer that has been ahead for long enough."""
        self._note_config_lag()
        ahead = self._most_advanced_peer()
        if ahead is None:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = self.clock()
        elif self.clock() - self.behind_since >= ASK_AFTER_S:
            self._ask(ahead)

    def _note_config_lag(self) -> None:
        version = self.routing.version
        if any(digest.config_version > version for digest in self.digests()):
            if self.config_behind_since is None:
                self.config_behind_since = self.clock()
            self.max_config_lag_s = max(self.max_config_lag_s, self.config_lag_s())
        else:
            self.config_behind_since = None

    def _most_advanced_peer(self) -> GatewayDigest | None:
        """Returns the digest of the most up-to-date peer ahead of this instance.

        Instances choose different peers among those that are equally up to date.
        """
        needs_list = self._needs_list()
        version = self.routing.version
        position = self.discovery.position
        ahead = [
            digest
            for digest in self.digests()
            if digest.config_version > version
            or (needs_list and digest.endpoint_position > position)
        ]
        now = self.clock()
        return max(
            ahead,
            key=lambda digest: (
                self.avoided_until.get(digest.instance, 0.0) <= now,
                digest.config_version,
                digest.endpoint_position if needs_list else StorePosition(),
                hash_rank(self.instance, digest.instance),
            ),
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
            self.timeout_s,
        )
        if isinstance(result, Failure):
            self.timeout_s = min(MAX_TIMEOUT_S, 2 * self.timeout_s)
            self.avoided_until[ahead.instance] = self.clock() + AVOID_PEER_S
            self.event_log.emit(
                "peer_did_not_answer", peer=ahead.instance, reason=str(result.failure())
            )
            return
        self.timeout_s = REQUEST_TIMEOUT_S
        reply = result.unwrap()
        if isinstance(reply, RoutingReply):
            self._apply_reply(reply, ahead.instance)

    def _apply_reply(self, reply: RoutingReply, peer: str) -> None:
        self.avoided_until.pop(peer, None)
        config = self._newest_config(reply)
        if config is not None and self.routing.install(config):
            self.event_log.emit(
                "config_installed",
                version=config.version,
                source="peer",
                peer=peer,
                changes=len(reply.changes),
                lag_ms=round(self.config_lag_s() * 1000),
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

    def _newest_config(self, reply: RoutingReply) -> RoutingConfig | None:
        """Returns the configuration of a reply; None if it has none to install.

        The active configuration may have changed since the request. The changes then
        have another base, and the next review asks again.
        """
        table = self.routing.table
        if not reply.changes or table is None:
            return reply.config
        config = table.config
        for change in reply.changes:
            if change.version > config.version:
                if change.base_version != config.version:
                    return None
                config = apply_change(config, change)
        return config

    def answer(self, request: RoutingRequest) -> RoutingReply:
        """Returns the configuration and endpoints that are newer than the peer's."""
        changes = self.routing.changes_since(request.config_version)
        table = self.routing.table
        config = table.config if table and not changes else None
        if config is not None and config.version <= request.config_version:
            config = None
        position, endpoints, held_for_s = self.discovery.snapshot()
        newer = position > request.endpoint_position
        return RoutingReply(
            config=config,
            changes=changes,
            endpoint_revision=position.revision,
            store_era=position.era,
            endpoints=endpoints if newer else None,
            held_for_s=held_for_s if newer else {},
        )
