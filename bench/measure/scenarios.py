"""Benchmark scenarios: changes of the arrivals, and injected faults."""

from collections.abc import Callable

import msgspec

from .arrivals import Shape
from .caller import Callers
from .measured_fleet import MeasuredFleet

STRAGGLER_FACTOR = 5.0
CRASH_DOWN_S = 3.0

Fault = Callable[[MeasuredFleet, Callers], None]


class Scenario(msgspec.Struct, kw_only=True, frozen=True):
    """A scenario of the benchmark.

    The `early` fault is injected before the first arrival, the `late` one halfway
    through the run. With `is_fault` the goals compare goodput and wasted work with the
    baseline policies.
    """

    name: str
    shape: Shape = Shape()
    early: Fault | None = None
    late: Fault | None = None
    is_fault: bool = False


def slow_engine(fleet: MeasuredFleet, callers: Callers) -> None:
    """Slows one engine down by `STRAGGLER_FACTOR`."""
    engine = next(iter(fleet.engines.values()))
    fleet.set_faults(engine, straggler=STRAGGLER_FACTOR)


def crash_engine(fleet: MeasuredFleet, callers: Callers) -> None:
    """Crashes one engine at its next token, for `CRASH_DOWN_S`."""
    engine = next(iter(fleet.engines.values()))
    fleet.set_faults(engine, crash_after_tokens=1, down_s=CRASH_DOWN_S)


def kill_daemon(fleet: MeasuredFleet, callers: Callers) -> None:
    """Kills one daemon and removes it from the load balancer."""
    daemon = list(fleet.daemons.values())[1]
    url = daemon.callers_url
    daemon.process.kill()
    fleet.unregister(daemon.instance)
    callers.removed_urls.add(url)


def stop_store(fleet: MeasuredFleet, callers: Callers) -> None:
    """Makes the object store refuse connections from then on."""
    fleet.set_faults(fleet.store, down=True)


SCENARIOS = (
    Scenario(name="calm"),
    Scenario(name="burst", shape=Shape(burst_class="counter"), is_fault=True),
    Scenario(name="plans", shape=Shape(factors={"plan": 3.0}), is_fault=True),
    Scenario(name="straggler", early=slow_engine, is_fault=True),
    Scenario(name="crash", late=crash_engine, is_fault=True),
    Scenario(name="daemon_loss", late=kill_daemon, is_fault=True),
    Scenario(name="store_outage", early=stop_store, is_fault=True),
    Scenario(name="noisy_team", shape=Shape(noisy_team=True), is_fault=True),
)
