"""Guards against a gateway that a signal blocks for ever."""

import queue
import signal
import sys
import threading

import pytest

from lagoonrill._internal.gateway_daemon import GatewayDaemon

# The wait of the main thread ends by itself after this time.
WAIT_S = 0.05


@pytest.fixture
def handlers():
    """Restores the handlers of the test's own process."""
    numbers = (signal.SIGTERM, signal.SIGHUP)
    before = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, before, strict=True):
        signal.signal(number, handler)


def waiting_daemon() -> GatewayDaemon:
    """Returns a daemon of which only the part that waits for signals is set up."""
    daemon = GatewayDaemon.__new__(GatewayDaemon)
    daemon.arrived_signals = queue.SimpleQueue()
    daemon.stop_requested = daemon.reload_requested = False
    return daemon


def run_with_signal_at(step: int, daemon: GatewayDaemon, number: int) -> bool:
    """Waits while a signal arrives after a number of steps of the interpreter.

    Returns whether the wait has ended.
    """
    handler = signal.getsignal(number)
    left = [step]

    def trace(frame, event, argument):
        frame.f_trace_opcodes = True
        left[0] -= 1
        if left[0] == 0:
            sys.settrace(None)
            handler(number, frame)
        return trace

    def wait() -> None:
        sys.settrace(trace)
        daemon.wait_for_stop(WAIT_S)
        sys.settrace(None)

    thread = threading.Thread(target=wait, daemon=True)
    thread.start()
    thread.join(20 * WAIT_S)
    return not thread.is_alive()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_at_any_step_of_a_wait_blocks_nothing(handlers, number):
    """A handler that took a lock of the interrupted wait never returned."""
    for step in range(1, 80):
        daemon = waiting_daemon()
        daemon.install_signal_handlers()
        assert run_with_signal_at(step, daemon, number), step
        daemon.wait_for_stop(0.001)
        assert daemon.stop_requested == (number == signal.SIGTERM)
        assert daemon.reload_requested == (number == signal.SIGHUP)
