"""Guards that a stopped fleet leaves no process behind."""

from bench.fleet import Fleet
from bench.processes import Process


def test_healing_after_the_stop_starts_nothing():
    # A timer of a fault's end replaced the endpoints that the stop had just ended.
    fleet = Fleet()
    fleet._start_endpoints("a")
    before = {**fleet.engines, **fleet.workers}
    fleet.stop()
    fleet.restart_exited_endpoints()
    after: dict[str, Process] = {**fleet.engines, **fleet.workers}
    assert after == before
    assert all(process.popen.poll() is not None for process in after.values())
