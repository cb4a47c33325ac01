"""Faults of the fault matrix, registered in `FAULTS`."""

from collections.abc import Callable

import msgspec

from .scene import Scene

FAULTS: dict[str, "Fault"] = {}
ORDER = "order"
STREAM = "stream"
MANIFEST = "manifest"
ALL = (ORDER, STREAM, MANIFEST)
# Longer than the 6 s after which peers drop a silent instance.
FREEZE_S = 7.0


class Fault(msgspec.Struct, kw_only=True):
    """One row of the matrix.

    `hold_s` is the duration of the fault. `loses_holder` marks faults that stop or
    isolate the process that may know the outcome of an order, so that the final outcome
    may be `unknown`.
    """

    name: str
    inject: Callable[[Scene], None]
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
def kill_instance(scene: Scene) -> None:
    scene.kill(scene.victim)


@fault("instance frozen", hold_s=FREEZE_S, loses_holder=True)
def freeze_instance(scene: Scene) -> None:
    scene.freeze(scene.fleet.daemons[scene.victim].process)


@fault("planned stop", hold_s=0.5)
def stop_instance(scene: Scene) -> None:
    scene.stop_gracefully(scene.victim)


@fault("endpoint killed", applies_to=(ORDER, STREAM), loses_holder=True)
def kill_endpoint(scene: Scene) -> None:
    for endpoint in scene.busy_endpoints():
        endpoint.kill()


@fault("endpoint frozen", applies_to=(ORDER, STREAM), hold_s=4.0)
def freeze_endpoint(scene: Scene) -> None:
    for endpoint in scene.busy_endpoints():
        scene.freeze(endpoint)


@fault("straggler", applies_to=(STREAM,))
def slow_engine(scene: Scene) -> None:
    for engine in scene.fleet.engines.values():
        if engine in scene.busy_endpoints():
            scene.set_faults(engine, {"straggler": 1.0}, straggler=5.0)


@fault("engine crash mid-answer", applies_to=(STREAM,))
def crash_engine(scene: Scene) -> None:
    undo = {"crash_after_tokens": 0, "down_s": 0.0}
    for engine in scene.fleet.engines.values():
        scene.set_faults(engine, undo, crash_after_tokens=25, down_s=0.5)


@fault("events late, twice, out of order", applies_to=(STREAM,), hold_s=3.0)
def disturb_events(scene: Scene) -> None:
    undo = {"duplicate": 0.0, "late": 0.0, "reorder": 0.0}
    for engine in scene.fleet.engines.values():
        scene.set_faults(engine, undo, duplicate=0.2, late=0.1, reorder=0.1)


@fault("endpoint leaving", applies_to=(ORDER, STREAM), hold_s=3.5)
def leave_endpoint(scene: Scene) -> None:
    for endpoint in scene.busy_endpoints()[:1]:
        scene.mark_leaving(endpoint)


@fault("store down", hold_s=2.5)
def stop_store(scene: Scene) -> None:
    scene.set_faults(scene.fleet.store, {"down": False}, down=True)


@fault("store slow", hold_s=2.5)
def slow_store(scene: Scene) -> None:
    scene.set_faults(scene.fleet.store, {"slow_ms": 0.0}, slow_ms=400.0)


@fault("write took effect, answer lost")
def lose_answers(scene: Scene) -> None:
    scene.set_faults(scene.fleet.store, {"lose_next": 0}, lose_next=3)


@fault("write applied late")
def delay_writes(scene: Scene) -> None:
    undo = {"late_next": 0}
    scene.set_faults(scene.fleet.store, undo, late_next=3, late_ms=800.0)


@fault("watch silent", applies_to=(MANIFEST,), hold_s=3.0)
def silence_watches(scene: Scene) -> None:
    undo = {"silent_watches": False}
    scene.set_faults(scene.fleet.store, undo, silent_watches=True)


@fault("Instance list stale", hold_s=2.5)
def stale_list(scene: Scene) -> None:
    scene.set_faults(scene.fleet.list, {"lag_s": 0.0}, lag_s=30.0)


@fault("zone cut off from peers", hold_s=FREEZE_S)
def cut_from_peers(scene: Scene) -> None:
    scene.fleet.relays.cut(set(scene.zone_instances()))


@fault("zone cut off from platform", hold_s=2.5)
def cut_from_platform(scene: Scene) -> None:
    scene.cut_from_platform(scene.zone_instances())


@fault("zone cut off from both", hold_s=FREEZE_S)
def cut_from_both(scene: Scene) -> None:
    cut_from_peers(scene)
    cut_from_platform(scene)
