"""Creates, starts and stops the components of one daemon."""

import contextlib
from collections.abc import Callable

import msgspec

from . import logs
from .coordination.cache_events import CacheEventPoll
from .coordination.caller_thread_limit import CallerThreadLimit
from .coordination.claims import ClaimService
from .coordination.dispatch import Dispatcher
from .coordination.endpoint_monitor import EndpointMonitor
from .coordination.instance_watch import InstanceWatch
from .coordination.membership import LocalState, Membership, PeerReports
from .coordination.policy import build_policy
from .coordination.rollout import Rollout
from .coordination.serving import ConfirmedManifest, EndpointReports, PeerClaims
from .coordination.shutdown import PlannedShutdown
from .coordination.streams import StreamRelay
from .protocol.messages import ClaimRequest, EndpointUse
from .protocol.objects import ConfigRecord, ListedInstance
from .protocol.settings import Settings
from .state.endpoint_table import EndpointTable
from .state.generation import GenerationState
from .state.membership_table import ListedMember
from .state.metrics import Metrics
from .state.request_queue import Scheduler
from .state.stream_registry import StreamRegistry
from .transport.caller_listener import CallerListener
from .transport.endpoint_client import EndpointClient
from .transport.instance_list import InstanceList
from .transport.load_client import LoadClient
from .transport.object_api import ObjectApi
from .transport.operator_listener import OperatorListener
from .transport.peer_link import PeerLink

logger = logs.get_logger("daemon")

LOAD_THREADS = 8


class BoundPorts(msgspec.Struct, kw_only=True):
    """Bound ports; they differ from the settings only where a setting is 0."""

    callers: int
    operators: int
    peers: int


class Daemon:
    """One instance of the router; `run` returns the exit status."""

    def __init__(self, *, settings: Settings):
        self.settings = settings
        self.metrics = Metrics()
        self.generations = GenerationState()
        self._build_platform()
        self._build_endpoints()
        self._build_peers()
        self._build_coordination()
        self._build_request_path()
        self._build_operation()
        self.generations.subscribe(self._apply)

    def _build_platform(self) -> None:
        settings = self.settings
        self.store = ObjectApi(settings=settings.platform, instance=settings.instance)
        self.instance_list = InstanceList(
            settings=settings.platform, instance=settings.instance
        )

    def _build_endpoints(self) -> None:
        settings = self.settings
        self.table = EndpointTable()
        self.policy = build_policy(settings.policy, zone=settings.zone)
        self.scheduler = Scheduler(
            instance=settings.instance, table=self.table, policy=self.policy
        )
        self.load_client = LoadClient(threads=LOAD_THREADS)
        self.monitor = EndpointMonitor(
            instance=settings.instance,
            zone=settings.zone,
            table=self.table,
            fetch_load=self.load_client.fetch,
            members=lambda: self.membership.members(),
            send_early_heartbeat=lambda: self.membership.send_early_heartbeat(),
            threads=LOAD_THREADS,
        )

    def _build_peers(self) -> None:
        settings = self.settings
        self.link = PeerLink(
            host=settings.peers.host,
            port=settings.peers.port,
            curve=settings.peers.curve,
            advertised_address=settings.peers.advertised_address,
        )
        self.membership = Membership(
            instance=settings.instance,
            zone=settings.zone,
            link=self.link,
            settings=settings.peers,
            local=LocalState(
                generation=self.generations.generation,
                uses=self.scheduler.local_uses,
                leaving_endpoints=self.monitor.leaving_endpoints,
                down_endpoints=self.monitor.down_endpoints,
                loads=self.monitor.loads_to_share,
            ),
            reports=PeerReports(
                generation=lambda *seen: self.rollout.fetch_peer_generation(*seen),
                uses=self._update_peer_uses,
                leaving_endpoints=self.monitor.update_peer_leaving,
                down_endpoints=self.monitor.update_peer_down,
                loads=self.monitor.take_loads,
            ),
        )
        self.instance_watch = InstanceWatch(
            instance_list=self.instance_list,
            interval_s=settings.platform.poll_interval_s,
            subscribers=[self._update_members, self.monitor.update_listed],
        )

    def _update_peer_uses(self, uses: dict[str, list[EndpointUse]]) -> None:
        # The usage of live instances without a link is unknown, but their shares of the
        # slots stay reserved for them.
        unlinked = {view.instance: [] for view in self.membership.live_peers()}
        self.scheduler.update_peers(unlinked | uses)

    def _update_members(self, instances: list[ListedInstance]) -> None:
        members = [
            ListedMember(
                instance=item.id,
                zone=item.zone,
                peer_address=item.peer_address,
                leaving=item.state == "leaving",
            )
            for item in instances
            if item.role == "entry" and item.peer_address
        ]
        self.membership.update_listed(members)

    def _build_coordination(self) -> None:
        settings = self.settings
        self.claims = ClaimService(
            store=self.store,
            settings=settings.claims,
            instance=settings.instance,
            ask_peer=PeerClaims(membership=self.membership).ask,
        )
        self.membership.register_handler(ClaimRequest, self.claims.serve)
        self.rollout = Rollout(
            instance=settings.instance,
            zone=settings.zone,
            store=self.store,
            membership=self.membership,
            generations=self.generations,
            watch_wait_s=settings.platform.watch_wait_s,
        )

    def _build_request_path(self) -> None:
        settings = self.settings
        reports = EndpointReports(monitor=self.monitor)
        self.registry = StreamRegistry(
            instance=settings.instance, membership=self.membership
        )
        self.client = EndpointClient(instance=settings.instance)
        self.cache_events = CacheEventPoll(
            client=self.client, prefixes=self.policy.prefixes
        )
        self.relay = StreamRelay(
            client=self.client,
            scheduler=self.scheduler,
            endpoint_table=reports,
            registry=self.registry,
            retry_budget=self.policy.retries,
            record_wasted=self.metrics.record_wasted,
            candidates=self.table.candidates,
        )
        self.dispatcher = Dispatcher(
            generation=ConfirmedManifest(
                generations=self.generations, rollout=self.rollout
            ),
            scheduler=self.scheduler,
            endpoint_table=reports,
            claims=self.claims,
            registry=self.registry,
            client=self.client,
            retry_budget=self.policy.retries,
            relay=self.relay,
            caller_thread_limit=CallerThreadLimit(threads=settings.callers.threads),
            max_prompt_characters=settings.callers.max_prompt_characters,
        )
        self.callers = CallerListener(
            settings=settings.callers,
            dispatcher=self.dispatcher,
            metrics=self.metrics,
        )

    def _build_operation(self) -> None:
        settings = self.settings
        self.shutdown = PlannedShutdown(
            notice_s=settings.shutdown_notice_s,
            in_flight=self.callers.in_flight,
            refuse_new=self.callers.refuse_new,
            begin_leaving=self.membership.begin_leaving,
            hand_over=self.registry.hand_over,
            announce_exit=self.membership.announce_exit,
        )
        self.operators = OperatorListener(
            settings=settings.operators,
            readiness=[self._not_ready_reason, self.shutdown.not_ready_reason],
            metrics=[self.metrics.exposition],
            dumps=self._dumps(),
            drain=self.shutdown.request,
        )

    def _not_ready_reason(self) -> str:
        return self.rollout.ready().reason

    def _dumps(self) -> dict[str, Callable[[], object]]:
        return {
            "object_api": self.store.dump,
            "instance_list": self.instance_watch.dump,
            "rollout": self.rollout.dump,
            "membership": self.membership.dump,
            "peer_link": self.link.dump,
            "endpoints": self.table.dump,
            "endpoint_monitor": self.monitor.dump,
            "scheduler": self.scheduler.dump,
            "cache_events": self.cache_events.dump,
            "retries": self.policy.retries.dump,
            "claims": self.claims.dump,
            "streams": self.registry.dump,
            "metrics": self.metrics.dump,
            "shutdown": self.shutdown.dump,
        }

    def _apply(self, record: ConfigRecord) -> None:
        self.table.apply_manifest(record.manifest)
        self.scheduler.apply_manifest(record.manifest)
        self.monitor.apply_manifest(record.manifest)
        self.cache_events.apply_manifest(record.manifest)

    def start(self) -> BoundPorts:
        """Starts all components and returns the bound ports."""
        self.membership.start()
        self.instance_watch.start()
        self.monitor.start()
        self.claims.start()
        self.rollout.start()
        self.relay.start()
        self.cache_events.start()
        self.callers.start()
        self.operators.start()
        self.shutdown.start()
        ports = BoundPorts(
            callers=self.callers.port,
            operators=self.operators.port,
            peers=self.link.port,
        )
        logger.info("instance {} started: {}", self.settings.instance, ports)
        return ports

    def run(self) -> int:
        """Serves until the graceful shutdown has completed; returns the exit status."""
        status = self.shutdown.wait()
        self._stop()
        logger.info("instance {} stopped", self.settings.instance)
        return status

    def _stop(self) -> None:
        steps = (
            self.callers.stop,
            self.relay.stop,
            self.cache_events.stop,
            self.claims.stop,
            self.rollout.stop,
            self.instance_watch.stop,
            self.monitor.stop,
            self.membership.stop,
            self.operators.stop,
            self.client.close,
            self.load_client.close,
        )
        for step in steps:
            with contextlib.suppress(Exception):
                step()
