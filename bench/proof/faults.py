"""Faults of the fault matrix, registered in `FAULTS`."""

from collections.abc import Callable

import msgspec

from .fault_context import FaultContext

FAULTS: dict[str, "Fault"] = {}
ORDER = "order"
STREAM = "stream"
MANIFEST = "manifest"
ALL = (ORDER, STREAM, MANIFEST)
# Longer than the 6 s after which peers drop a silent instance.
FREEZE_S = 7.0


class Fault(msgspec.Struct, kw_only=True):
    """A row of the fault matrix.

    `hold_s` is the duration of the fault. `loses_holder` marks faults that stop or
    isolate the process that may know the outcome of an order, so that the final outcome
    may be `unknown`.
    """

    name: str
    inject: Callable[[FaultContext], None]
    applies_to: tuple[str, ...]
    hold_s: float
    loses_holder: bool


def fault(
    name: str,
    *,
    applies_to: tuple[str, ...] = ALL,
    hold_s: float = 1.5,
    loses_holder: bool = False,
):
    """Registers a function that injects a fault into the fleet of a cell."""

    def register(function):
        FAULTS[name] = Fault(
            name=name,
            inject=function,
            applies_to=applies_to,
            hold_s=hold_s,
            loses_holder=loses_holder,
        )
        return function

    return register


@fault("instance killed", loses_holder=True)
def kill_instance(context: FaultContext) -> None:
    context.kill(context.target_instance)


@fault("instance frozen", hold_s=FREEZE_S, loses_holder=True)
def freeze_instance(context: FaultContext) -> None:
    context.freeze(context.fleet.daemons[context.target_instance].process)


@fault("planned stop", hold_s=0.5)
def stop_instance(context: FaultContext) -> None:
    context.stop_gracefully(context.target_instance)


@fault("endpoint killed", applies_to=(ORDER, STREAM), loses_holder=True)
def kill_endpoint(context: FaultContext) -> None:
    for endpoint in context.busy_endpoints():
        endpoint.kill()


@fault("endpoint frozen", applies_to=(ORDER, STREAM), hold_s=4.0)
def freeze_endpoint(context: FaultContext) -> None:
    for endpoint in context.busy_endpoints():
        context.freeze(endpoint)


@fault("straggler", applies_to=(STREAM,))
def slow_engine(context: FaultContext) -> None:
    for engine in context.fleet.engines.values():
        if engine in context.busy_endpoints():
            context.set_faults(engine, {"straggler": 1.0}, straggler=5.0)


@fault("engine crash mid-answer", applies_to=(STREAM,))
def crash_engine(context: FaultContext) -> None:
    undo = {"crash_after_tokens": 0, "down_s": 0.0}
    for engine in context.fleet.engines.values():
        context.set_faults(engine, undo, crash_after_tokens=25, down_s=0.5)


@fault("events late, twice, out of order", applies_to=(STREAM,), hold_s=3.0)
def disturb_events(context: FaultContext) -> None:
    undo = {"duplicate": 0.0, "late": 0.0, "reorder": 0.0}
    for engine in context.fleet.engines.values():
        context.set_faults(engine, undo, duplicate=0.2, late=0.1, reorder=0.1)


@fault("endpoint leaving", applies_to=(ORDER, STREAM), hold_s=3.5)
def leave_endpoint(context: FaultContext) -> None:
    for endpoint in context.busy_endpoints()[:1]:
        context.mark_leaving(endpoint)


@fault("store down", hold_s=2.5)
def stop_store(context: FaultContext) -> None:
    context.set_faults(context.fleet.store, {"down": False}, down=True)


@fault("store slow", hold_s=2.5)
def slow_store(context: FaultContext) -> None:
    context.set_faults(context.fleet.store, {"slow_ms": 0.0}, slow_ms=400.0)


@fault("write took effect, answer lost")
def lose_answers(context: FaultContext) -> None:
    context.set_faults(context.fleet.store, {"lose_next": 0}, lose_next=3)


@fault("write applied late")
def delay_writes(context: FaultContext) -> None:
    undo = {"late_next": 0}
    context.set_faults(context.fleet.store, undo, late_next=3, late_ms=800.0)


@fault("watch silent", applies_to=(MANIFEST,), hold_s=3.0)
def silence_watches(context: FaultContext) -> None:
    undo = {"silent_watches": False}
    context.set_faults(context.fleet.store, undo, silent_watches=True)


@fault("Instance list stale", hold_s=2.5)
def stale_list(context: FaultContext) -> None:
    context.set_faults(context.fleet.list, {"lag_s": 0.0}, lag_s=30.0)


@fault("zone cut off from peers", hold_s=FREEZE_S)
def cut_from_peers(context: FaultContext) -> None:
    context.fleet.relays.cut(set(context.zone_instances()))


@fault("zone cut off from platform", hold_s=2.5)
def cut_from_platform(context: FaultContext) -> None:
    context.cut_from_platform(context.zone_instances())


@fault("zone cut off from both", hold_s=FREEZE_S)
def cut_from_both(context: FaultContext) -> None:
    cut_from_peers(context)
    cut_from_platform(context)
