"""Creates, starts and stops the duties of one instance."""

import secrets

import msgspec

from ..coordination.gateway_peers import GatewayPeers
from ..event_log import EventLog
from ..protocol.gateway_settings import AUTOSCALE, USAGE_REPORT, GatewaySettings
from ..state.gateway_metrics import GatewayMetrics
from ..transport.peer_link import PeerLink
from .lease import DutyLease, LeaseStore
from .platform_calls import DutyCaller
from .runner import DutyRunner, LeasedCaller
from .usage import UsageLedger, WindowClock
from .usage_exchange import CountStore, UsageExchange
from .usage_report import REPORT_AFTER_SHARE, ReportStore, UsageReporter

# One lease covers all duties.
LEASE_NAME = "platform-calls"
# JSON numbers are exact up to 2**53.
INCARNATION_BITS = 48
# Counts have to reach the reporter this long before it reports their window.
COUNT_MARGIN_S = 1.0


class DutyBackend(msgspec.Struct, kw_only=True):
    """What duties need of the platform."""

    leases: LeaseStore
    reports: ReportStore
    counts: CountStore
    caller: DutyCaller


class FleetDuties:
    """Lease, usage reports and further duties, which are added to `runner.duties`.

    `ledger` is None if the settings ask for no usage reports.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        backend: DutyBackend,
        link: PeerLink,
        peers: GatewayPeers,
        metrics: GatewayMetrics,
        event_log: EventLog,
    ):
        self.settings = settings
        self.event_log = event_log
        self.metrics = metrics
        bounds = settings.bounds
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self.lease = DutyLease(
            name=LEASE_NAME,
            instance=settings.instance,
            store=backend.leases,
            lease_s=bounds.lease_ms / 1000,
            event_log=event_log,
            incarnation=f"{self.incarnation:x}",
        )
        self.caller = LeasedCaller(
            caller=backend.caller,
            lease=self.lease,
            calls_per_s=settings.duties.calls_per_s,
            metrics=metrics,
        )
        self.runner = DutyRunner(
            lease=self.lease,
            caller=self.caller,
            is_first=lambda: peers.store_rank() == 0,
            event_log=event_log,
        )
        self.ledger: UsageLedger | None = None
        self.exchange: UsageExchange | None = None
        self.reporter: UsageReporter | None = None
        if USAGE_REPORT in settings.duties.names:
            self._build_usage(backend, link, peers)
        unknown = set(settings.duties.names) - {USAGE_REPORT, AUTOSCALE}
        if unknown:
            event_log.emit("duties_unknown", names=sorted(unknown))
        metrics.register_gauge(
            "duty_lease_held", lambda: int(self.lease.token() is not None)
        )
        metrics.register_gauge("duty_fencing_token", lambda: self.lease.held or 0)
        metrics.register_gauge("duty_leases_lost_total", lambda: self.lease.losses)

    def _build_usage(
        self, backend: DutyBackend, link: PeerLink, peers: GatewayPeers
    ) -> None:
        bounds = self.settings.bounds
        clock = WindowClock(window_s=bounds.report_window_s)
        report_after_s = REPORT_AFTER_SHARE * bounds.usage_late_s
        self.ledger = UsageLedger(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            clock=clock,
            late_after_s=max(0.0, report_after_s - COUNT_MARGIN_S),
            tolerance=bounds.usage_tolerance,
        )
        self.exchange = UsageExchange(
            zone=self.settings.zone,
            ledger=self.ledger,
            clock=clock,
            link=link,
            live_digests=peers.live_digests,
            instances=peers.live_instances,
            known_instances=lambda: 1 + len(peers.views),
            counts=backend.counts,
            held_token=self.lease.token,
            event_log=self.event_log,
        )
        self.reporter = UsageReporter(
            ledger=self.ledger,
            clock=clock,
            lease=self.lease,
            reports=backend.reports,
            caller=self.caller,
            is_complete=self.exchange.is_complete,
            fetch=self.exchange.fetch,
            late_s=bounds.usage_late_s,
            event_log=self.event_log,
        )
        self.runner.duties.append(self.reporter)
        for name, read in (
            ("usage_window_reported", self.reporter.done),
            ("usage_reports_total", lambda: self.reporter.reported),
            ("usage_reports_late_total", lambda: self.reporter.reported_late),
            ("usage_reports_repeated_total", lambda: self.reporter.repeats),
            ("usage_windows_unknown_total", lambda: self.reporter.unknown),
            ("usage_requests_late_total", lambda: self.ledger.late),
            ("usage_windows_inaccurate_total", lambda: len(self.ledger.inaccurate)),
        ):
            self.metrics.register_gauge(name, read)

    def start(self) -> None:
        if self.exchange is not None:
            self.exchange.start()
        self.runner.start()

    def stop(self) -> None:
        """Sends the last counts to the collectors, and releases the lease."""
        if self.exchange is not None:
            self.exchange.stop()
        self.runner.stop()

    def dump(self) -> dict:
        """Returns the state of the lease and of the reports."""
        state = {"lease": self.lease.dump()}
        if self.reporter is not None:
            state["usage_report"] = self.reporter.dump()
            state["usage_exchange"] = self.exchange.dump()
        return state
