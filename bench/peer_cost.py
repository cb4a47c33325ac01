"""Measures the cost of membership and endpoint monitor for one daemon.

`python -m bench.peer_cost` runs the subject, the process under measurement, with
increasing numbers of linked peers, then with increasing numbers of polled endpoints,
and fits a line to each figure. Finally it runs the subject as one of 390 daemons in
front of 600 endpoints. The peers share a few other processes and send the full
heartbeats of a large fleet. Bytes are the kernel's counts for the subject's TCP
connections plus 52 bytes of headers for each segment.
"""

import argparse
import contextlib
import socket

from bench.fits import Results, fit_line, start_results, write_results
from bench.member import MemberConfig, MemberFigures
from bench.processes import Process
from lagoonrill._internal.coordination.peer_choice import choose_links
from lagoonrill._internal.protocol.codec import from_json, to_json
from lagoonrill._internal.protocol.manifest import Endpoint
from lagoonrill._internal.protocol.messages import EndpointLoad, EndpointUse
from lagoonrill._internal.state.membership_table import ListedMember

PEER_COUNTS = (0, 3, 7, 14, 22, 44)
ENDPOINT_COUNTS = (0, 3, 6, 12, 24, 48)
PEER_PROCESSES = 3
ZONES = 8
TARGET_MEMBERS = 390
TARGET_ENDPOINTS = 600
# At the target size, 8 of about 22 links are to peers in the same zone.
OWN_ZONE_SHARE = 8 / 22
SUBJECT = "subject"
FIELDS = ("cpu_percent", "rss_mb", "sent_bytes_s", "received_bytes_s")
TARGET_FIELDS = (*FIELDS, "threads", "links", "polled", "polls_s")

USES = [EndpointUse(endpoint=f"llm-{n:03}", in_use=2, waiting=0) for n in range(16)]
LOADS = [
    EndpointLoad(endpoint=f"llm-{n:03}", running=4, waiting=1, slots=8, age_ms=300)
    for n in range(8)
]


def reserve_ports(count: int) -> list[int]:
    """Returns distinct free ports."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [item.getsockname()[1] for item in sockets]


def start_member(config: MemberConfig) -> Process:
    """Starts a `bench.member` process."""
    argument = to_json(config).decode()
    return Process(name=config.instances[0], arguments=["-m", "bench.member", argument])


def start_peers(
    stack: contextlib.ExitStack, zones: dict[str, str], ports: dict[str, int], seed: str
) -> None:
    """Starts the subject's peers, distributed over `PEER_PROCESSES` processes."""
    names = list(zones)
    for first in range(min(PEER_PROCESSES, len(names))):
        group = names[first::PEER_PROCESSES]
        config = MemberConfig(
            instances=group,
            zones=[zones[name] for name in group],
            ports=[ports[name] for name in group],
            seeds=[seed],
            uses=USES,
            loads=LOADS,
            large_fleet=True,
        )
        stack.callback(start_member(config).stop)


def measure(config: MemberConfig, zones: dict[str, str]) -> MemberFigures:
    """Runs the subject with the given peers and returns its figures."""
    names = [SUBJECT, *zones]
    ports = dict(zip(names, reserve_ports(len(names)), strict=True))
    config.ports = [ports[SUBJECT]]
    config.seeds = [f"127.0.0.1:{ports[name]}" for name in zones]
    for entry in config.listed:
        entry.peer_address = f"127.0.0.1:{ports.get(entry.instance, 9)}"
    with contextlib.ExitStack() as stack:
        start_peers(stack, zones, ports, f"127.0.0.1:{ports[SUBJECT]}")
        subject = start_member(config)
        stack.callback(subject.stop)
        return from_json(subject.popen.stdout.readline(), MemberFigures)


def subject_config(measure_s: float) -> MemberConfig:
    """Returns the base configuration of the subject for all runs."""
    return MemberConfig(
        instances=[SUBJECT],
        zones=["z0"],
        uses=USES,
        loads=LOADS,
        large_fleet=True,
        measure_s=measure_s,
    )


def peer_run(count: int, measure_s: float) -> MemberFigures:
    """Measures the subject with `count` linked peers and no endpoints."""
    own = round(count * OWN_ZONE_SHARE)
    zones = {
        f"peer-{n:03}": "z0" if n < own else f"z{1 + n % (ZONES - 1)}"
        for n in range(count)
    }
    return measure(subject_config(measure_s), zones)


def endpoints(count: int, url: str) -> list[Endpoint]:
    """Returns endpoints spread over the zones, all served by one load server."""
    return [
        Endpoint(
            id=f"llm-{n:03}", url=f"{url}/llm-{n:03}", zone=f"z{n % ZONES}", slots=8
        )
        for n in range(count)
    ]


def endpoint_run(count: int, url: str, measure_s: float) -> MemberFigures:
    """Measures the subject while it polls `count` endpoints and has no peers."""
    config = subject_config(measure_s)
    config.monitor = True
    config.endpoints = endpoints(count, url)
    return measure(config, {})


def target_run(url: str, measure_s: float) -> MemberFigures:
    """Measures the subject as one of 390 members in front of 600 endpoints."""
    members = {
        f"instance-{n:03}": f"z{n % ZONES}" for n in range(1, TARGET_MEMBERS)
    } | {SUBJECT: "z0"}
    chosen = choose_links(SUBJECT, "z0", members)
    config = subject_config(measure_s)
    config.monitor = True
    config.endpoints = endpoints(TARGET_ENDPOINTS, url)
    config.listed = [
        ListedMember(instance=name, zone=zone, peer_address="")
        for name, zone in members.items()
    ]
    return measure(config, {name: members[name] for name in sorted(chosen)})


def print_run(label: str, figures: MemberFigures) -> None:
    """Prints the figures of one run on one line."""
    print(
        f"{label:<14} cpu {figures.cpu_percent:5.2f} %  rss {figures.rss_mb:5.1f} MB  "
        f"sent {figures.sent_bytes_s:7.0f} B/s  "
        f"received {figures.received_bytes_s:7.0f} B/s  "
        f"threads {figures.threads:3}  links {figures.links:3}  "
        f"live {figures.live_peers:3}  polled {figures.polled:3}  "
        f"polls {figures.polls_s:5.1f} /s",
        flush=True,
    )


def print_fit(unit: str, runs: dict[int, MemberFigures], results: Results) -> None:
    """Fits a line to each figure, prints it and adds it to the results."""
    for field in FIELDS:
        values = [getattr(figures, field) for figures in runs.values()]
        line = fit_line(f"{field} per {unit}", list(runs), values)
        results.fits.append(line)
        print(f"  {line}")


def main() -> None:
    """Runs all measurements and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--measure-s", type=float, default=10.0)
    measure_s = parser.parse_args().measure_s
    results = start_results("peer_cost")
    peer_runs = {}
    for count in PEER_COUNTS:
        peer_runs[count] = peer_run(count, measure_s)
        print_run(f"{count} peers", peer_runs[count])
    print_fit("peer", peer_runs, results)
    server = start_load_server()
    try:
        endpoint_runs = {}
        for count in ENDPOINT_COUNTS:
            endpoint_runs[count] = endpoint_run(count, server.url, measure_s)
            print_run(f"{count} endpoints", endpoint_runs[count])
        print_fit("endpoint", endpoint_runs, results)
        target = target_run(server.url, measure_s)
        print_run("target size", target)
        results.figures = {name: getattr(target, name) for name in TARGET_FIELDS}
    finally:
        server.stop()
    write_results(results)


def start_load_server() -> Process:
    """Starts the server that provides the load reports of all endpoints."""
    return Process(name="load-server", arguments=["-m", "bench.load_server"])


if __name__ == "__main__":
    main()
