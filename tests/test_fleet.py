"""Guards against processes that are left running after a fleet has stopped."""

from bench.fleet import Fleet
from bench.processes import Process


def test_end_of_a_fault_after_the_stop_starts_no_process():
    # The timer that ends a fault can fire after the stop. It must not replace the
    # endpoints that were stopped.
    fleet = Fleet()
    fleet._start_endpoints("a")
    before = {**fleet.engines, **fleet.workers}
    fleet.stop()
    fleet.restart_exited_endpoints()
    after: dict[str, Process] = {**fleet.engines, **fleet.workers}
    assert after == before
    assert all(process.popen.poll() is not None for process in after.values())
