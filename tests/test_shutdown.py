"""Guards against a shutdown, also a repeated one, that interrupts requests."""

import signal
import threading
import time

import pytest
import urllib3

from bench.processes import Process
from lagoonrill._internal.coordination.shutdown import PlannedShutdown

from .support import wait_until


def new_shutdown(calls: list[str], in_flight=lambda: 0, **steps) -> PlannedShutdown:
    names = ["refuse_new", "begin_leaving", "hand_over", "announce_exit"]
    recorded = {name: lambda name=name: calls.append(name) for name in names}
    return PlannedShutdown(notice_s=0.2, in_flight=in_flight, **recorded | steps)


def test_sigterm_twice_with_requests_in_flight():
    """Guards against requests that a first or a second SIGTERM interrupts."""
    server = Process(name="server", arguments=["-m", "tests.draining_server"])
    try:
        stop_twice_with_requests_in_flight(server)
    finally:
        server.kill()


def stop_twice_with_requests_in_flight(server: Process) -> None:
    pool = urllib3.PoolManager(retries=False, maxsize=4)
    answers = []

    def get(seconds):
        answer = pool.request("GET", f"{server.url}/{seconds}", timeout=10.0)
        answers.append(answer.data)

    threads = [threading.Thread(target=get, args=(2.0,)) for _ in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    server.signal(signal.SIGTERM)
    time.sleep(0.1)
    get(0.0)
    assert answers == [b"done"]
    time.sleep(0.7)
    server.signal(signal.SIGTERM)
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.PoolManager(retries=False).request("GET", f"{server.url}/0")
    for thread in threads:
        thread.join()
    assert answers == [b"done"] * 4
    assert server.popen.wait(5.0) == 0


def test_sequence_runs_once_and_in_order():
    """Guards against a repeated drain that restarts or shortens the sequence."""
    calls, busy = [], [2]
    shutdown = new_shutdown(calls, in_flight=lambda: busy[0])
    shutdown.start()
    assert shutdown.not_ready_reason() == ""
    for _ in range(3):
        shutdown.request("drain")
    wait_until(lambda: shutdown.phase == "draining")
    assert shutdown.not_ready_reason() == "shutting down: draining"
    time.sleep(0.3)
    assert calls == ["begin_leaving", "refuse_new"]
    assert shutdown.dump().in_flight == 2
    busy[0] = 0
    assert shutdown.wait() == 0
    assert calls == ["begin_leaving", "refuse_new", "hand_over", "announce_exit"]
    assert shutdown.dump().ignored_requests == 2


def test_failed_step_does_not_skip_the_others():
    """Guards against a failed step that prevents the announcement of the exit."""
    calls = []

    def fail():
        raise OSError("fault of the test")

    shutdown = new_shutdown(calls, refuse_new=fail)
    shutdown.start()
    shutdown.request("drain")
    assert shutdown.wait() == 1
    assert calls == ["begin_leaving", "hand_over", "announce_exit"]
    assert shutdown.dump().failed_steps == ["refuse_new"]
