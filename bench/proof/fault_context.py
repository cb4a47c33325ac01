"""Fleet and injected faults of one cell of the fault matrix."""

import contextlib
import itertools
import signal
import threading
import time
from collections.abc import Callable

import urllib3

from bench.fleet import Fleet, Process

from .history import EndpointLeaving, History, PlannedStop


class FaultContext:
    """Injects faults into a fleet and undoes them.

    Faults are injected into `target_instance`. Callers send their first attempt to it
    and retry through the other instances.
    """

    def __init__(self, *, fleet: Fleet, history: History, target_instance: str):
        self.fleet = fleet
        self.history = history
        self.target_instance = target_instance
        others = [name for name in fleet.daemons if name != target_instance]
        self.rotation = itertools.cycle([*others, target_instance])
        self.frozen: list[Process] = []
        self.killed_daemons: list[str] = []
        self.faults_to_undo: list[tuple[Process, dict]] = []
        self.heal_lock = threading.Lock()
        self.timer: threading.Timer | None = None

    @property
    def target_zone(self) -> str:
        return self.fleet.daemons[self.target_instance].zone

    def zone_instances(self) -> list[str]:
        """Returns the instances of the target's zone."""
        daemons = self.fleet.daemons.items()
        return [name for name, daemon in daemons if daemon.zone == self.target_zone]

    def busy_endpoints(self) -> list[Process]:
        """Returns the endpoints with calls of the target, or else all of its zone."""
        endpoints = self.fleet.engines | self.fleet.workers
        in_use = {}
        with contextlib.suppress(urllib3.exceptions.HTTPError, KeyError):
            in_use = self.fleet.dump(self.target_instance)["scheduler"]["in_use"]
        busy = [name for name, count in in_use.items() if count > 0]
        zone = self.target_zone
        names = busy or [
            name for name in endpoints if self.fleet.endpoint_zones[name] == zone
        ]
        return [endpoints[name] for name in names]

    def next_instance(self) -> str:
        """Returns the next running instance in rotation."""
        for name in self.rotation:
            if self.fleet.daemons[name].process.popen.poll() is None:
                return name
        raise RuntimeError("no instance is running")

    def set_faults(self, process: Process, undo: dict, **faults) -> None:
        """Sets faults of a simulated service and records how to undo them."""
        self.faults_to_undo.append((process, undo))
        self.fleet.set_faults(process, **faults)

    def kill(self, instance: str) -> None:
        """Kills an instance."""
        self.fleet.daemons[instance].process.kill()
        self.killed_daemons.append(instance)

    def freeze(self, process: Process) -> None:
        """Suspends a process until `heal`."""
        process.signal(signal.SIGSTOP)
        self.frozen.append(process)

    def stop_gracefully(self, instance: str) -> None:
        """Requests a graceful shutdown without waiting for the exit."""
        self.fleet.daemons[instance].process.signal(signal.SIGTERM)
        self.killed_daemons.append(instance)
        self.history.record(PlannedStop(instance=instance))

    def mark_leaving(self, process: Process) -> None:
        """Makes an endpoint report the state `leaving`."""
        self.set_faults(process, {"leaving": False}, leaving=True)
        self.history.record(EndpointLeaving(endpoint=process.name))

    def cut_from_platform(self, instances: list[str]) -> None:
        """Makes the store and the Instance list refuse calls from the instances."""
        undo = {"refused_instances": []}
        for platform in (self.fleet.store, self.fleet.list):
            self.set_faults(platform, undo, refused_instances=instances)

    def heal_after(self, delay_s: float, heal: Callable[[], None]) -> None:
        """Schedules `heal`; `restore` cancels the timer."""
        self.timer = threading.Timer(delay_s, heal)
        self.timer.start()

    def heal(self) -> None:
        """Undoes the faults and replaces endpoints that exited.

        Instances that exited are started again by `restore`.
        """
        with self.heal_lock:
            self._undo_faults()

    def _undo_faults(self) -> None:
        for process in self.frozen:
            process.signal(signal.SIGCONT)
        self.frozen.clear()
        while self.faults_to_undo:
            process, undo = self.faults_to_undo.pop()
            if process.popen.poll() is None:
                self.fleet.set_faults(process, **undo)
        if self.fleet.relays:
            self.fleet.relays.cut(set())
        self.fleet.restart_exited_endpoints()

    def restore(self) -> None:
        """Restarts instances that exited and waits until the fleet is ready."""
        if self.timer:
            self.timer.cancel()
        self.heal()
        for instance in self.killed_daemons:
            self._record_exit(instance)
            self.fleet.restart(instance)
        self.killed_daemons.clear()
        self.fleet.wait_ready()
        if not wait_until(self._endpoints_usable, timeout_s=20.0):
            raise TimeoutError("an endpoint is still marked down or leaving after 20 s")

    def _endpoints_usable(self) -> bool:
        for instance in self.fleet.daemons:
            endpoints = self.fleet.dump(instance)["endpoints"]["endpoints"]
            if any(item["down"] or item["leaving_sources"] for item in endpoints):
                return False
        return True

    def _record_exit(self, instance: str) -> None:
        process = self.fleet.daemons[instance].process
        stopped = [e for e in self.history.of(PlannedStop) if e.instance == instance]
        if stopped:
            status = process.popen.wait(timeout=30)
            self.history.record(PlannedStop(instance=instance, exit_status=status))


def wait_until(condition, timeout_s: float = 5.0) -> bool:
    """Polls a condition; returns whether it became true before the timeout."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.01)
    return False
