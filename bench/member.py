"""Runs memberships, and optionally an endpoint monitor, as a separate process.

`python -m bench.member CONFIG` takes a JSON `MemberConfig`, prints `ready <port>` (the
peer port of the first member) and, if `measure_s` is set, the `MemberFigures` of the
whole process as one line of JSON. It runs until it is terminated.
"""

import os
import signal
import socket
import struct
import sys
import threading
import time

import logbook
import msgspec
import psutil

from lagoonrill._internal.coordination.endpoint_monitor import EndpointMonitor
from lagoonrill._internal.coordination.membership import (
    LocalState,
    Membership,
    PeerReports,
)
from lagoonrill._internal.protocol.codec import from_json, to_json
from lagoonrill._internal.protocol.manifest import Endpoint, Manifest
from lagoonrill._internal.protocol.messages import EndpointLoad, EndpointUse
from lagoonrill._internal.protocol.settings import PeerSettings
from lagoonrill._internal.state.membership_table import ListedMember
from lagoonrill._internal.transport.load_client import LoadClient
from lagoonrill._internal.transport.peer_link import PeerLink

# Offsets of tcpi_bytes_acked, tcpi_bytes_received, tcpi_segs_out and tcpi_segs_in.
TCP_INFO_COUNTERS = struct.Struct("=120xQQII")
# IPv4 and TCP headers with the timestamp option.
HEADER_BYTES = 52


class MemberConfig(msgspec.Struct, kw_only=True):
    """Configures one process; all of its members share the same lists."""

    instances: list[str]
    zones: list[str]
    ports: list[int] = []
    seeds: list[str] = []
    listed: list[ListedMember] = []
    endpoints: list[Endpoint] = []
    monitor: bool = False
    uses: list[EndpointUse] = []
    loads: list[EndpointLoad] = []
    heartbeat_interval_s: float = 0.5
    large_fleet: bool = False
    warm_up_s: float = 3.0
    measure_s: float = 0.0


class MemberFigures(msgspec.Struct, kw_only=True):
    """Resource use of the process in the measurement; bytes include TCP/IP headers."""

    cpu_percent: float
    rss_mb: float
    sent_bytes_s: float
    received_bytes_s: float
    threads: int
    links: int
    live_peers: int
    polled: int
    polls_s: float


class LargeFleetMembership(Membership):
    """Sends the heartbeats of a large fleet, although it has only a few peers."""

    def full_mesh(self) -> bool:
        return False


class NullTable:
    """An endpoint table that discards all updates."""

    def report_load(self, endpoint_id, report) -> None:
        pass

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        pass

    def clear_leaving(self, endpoint_id: str, source: str) -> None:
        pass

    def mark_down(self, endpoint_id: str, reason: str) -> None:
        pass

    def mark_up(self, endpoint_id: str) -> None:
        pass


class TcpCounters(msgspec.Struct, kw_only=True):
    """Bytes transferred over the open TCP connections of this process."""

    sent: int
    received: int


def tcp_counters() -> TcpCounters:
    """Sums the kernel's TCP counters over the open connections."""
    total = TcpCounters(sent=0, received=0)
    for name in os.listdir("/proc/self/fd"):
        try:
            if not os.readlink(f"/proc/self/fd/{name}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(name))) as connection:
                info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 144)
        except OSError:
            continue
        sent, received, segments_out, segments_in = TCP_INFO_COUNTERS.unpack(info)
        total.sent += sent + segments_out * HEADER_BYTES
        total.received += received + segments_in * HEADER_BYTES
    return total


class MemberProcess:
    """Manages the memberships and the monitor of one process."""

    def __init__(self, *, config: MemberConfig):
        self.config = config
        self.monitor: EndpointMonitor | None = None
        self.members: list[Membership] = []
        for index, (instance, zone) in enumerate(
            zip(config.instances, config.zones, strict=True)
        ):
            port = config.ports[index] if config.ports else 0
            self.members.append(self._member(instance, zone, port))
        if config.monitor:
            self.monitor = self._monitor(self.members[0])

    def _member(self, instance: str, zone: str, port: int) -> Membership:
        kind = LargeFleetMembership if self.config.large_fleet else Membership
        return kind(
            instance=instance,
            zone=zone,
            link=PeerLink(host="127.0.0.1", port=port),
            settings=PeerSettings(
                host="127.0.0.1",
                port=port,
                addresses=self.config.seeds,
                heartbeat_interval_s=self.config.heartbeat_interval_s,
            ),
            local=LocalState(
                uses=lambda: self.config.uses,
                loads=self._loads,
                leaving_endpoints=self._leaving,
                down_endpoints=self._down,
            ),
            reports=PeerReports(
                leaving_endpoints=lambda names: self._monitor_method(
                    "update_peer_leaving"
                )(names),
                down_endpoints=lambda names: self._monitor_method("update_peer_down")(
                    names
                ),
                loads=lambda loads: self._monitor_method("take_loads")(loads),
            ),
        )

    def _monitor_method(self, name: str):
        return getattr(self.monitor, name) if self.monitor else lambda _: None

    def _loads(self) -> list[EndpointLoad]:
        return self.monitor.loads_to_share() if self.monitor else self.config.loads

    def _leaving(self) -> list[str]:
        return self.monitor.leaving_endpoints() if self.monitor else []

    def _down(self) -> list[str]:
        return self.monitor.down_endpoints() if self.monitor else []

    def _monitor(self, member: Membership) -> EndpointMonitor:
        monitor = EndpointMonitor(
            instance=member.instance,
            zone=member.zone,
            table=NullTable(),
            fetch_load=LoadClient(threads=8).fetch,
            members=member.members,
            send_early_heartbeat=member.send_early_heartbeat,
        )
        monitor.apply_manifest(
            Manifest(classes=[], endpoints=self.config.endpoints, teams=[])
        )
        return monitor

    def start(self) -> None:
        """Starts the members, then the monitor."""
        for member in self.members:
            member.start()
            member.update_listed(self.config.listed)
        if self.monitor:
            self.monitor.start()

    def stop(self) -> None:
        """Stops the monitor, announces the members' exit and stops them."""
        if self.monitor:
            self.monitor.stop()
        for member in self.members:
            member.announce_exit()
            member.stop()

    def measure(self) -> MemberFigures:
        """Waits for the warm-up, then measures this process for `measure_s`."""
        time.sleep(self.config.warm_up_s)
        process = psutil.Process()
        polls = self.monitor.polls if self.monitor else 0
        before, cpu_before, began = tcp_counters(), time.process_time(), time.time()
        time.sleep(self.config.measure_s)
        cpu_s, elapsed = time.process_time() - cpu_before, time.time() - began
        after = tcp_counters()
        polled = self.monitor.dump().endpoints if self.monitor else []
        return MemberFigures(
            cpu_percent=100 * cpu_s / elapsed,
            rss_mb=process.memory_info().rss / 1e6,
            sent_bytes_s=(after.sent - before.sent) / elapsed,
            received_bytes_s=(after.received - before.received) / elapsed,
            threads=threading.active_count(),
            links=sum(len(member.link.addresses()) for member in self.members),
            live_peers=len(self.members[0].live_peers()),
            polled=sum(entry.polled for entry in polled),
            polls_s=(self.monitor.polls - polls) / elapsed if self.monitor else 0.0,
        )


def main() -> None:
    """Runs the configuration given as the first argument."""
    logbook.StreamHandler(sys.stderr).push_application()
    config = from_json(sys.argv[1], MemberConfig)
    process = MemberProcess(config=config)
    process.start()
    # Blocked before `ready` is printed: a SIGTERM then stays pending until `sigwait`.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    print(f"ready {process.members[0].link.port}", flush=True)
    if config.measure_s:
        print(to_json(process.measure()).decode(), flush=True)
    signal.sigwait({signal.SIGTERM})
    process.stop()


if __name__ == "__main__":
    main()
