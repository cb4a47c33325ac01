"""Starts daemons and stand-ins as child processes and stops them by process ID."""

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 15.0


class Process:
    """A child process that prints `ready <port> ...` once it is listening."""

    def __init__(
        self, *, name: str, arguments: list[str], log_path: Path | None = None
    ):
        self.name = name
        with open(log_path or os.devnull, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                # A process group whose shell ends gets SIGHUP if a process of it is
                # stopped.
                start_new_session=True,
            )
        self.ports = self._read_ports()
        self.port = self.ports[0]

    def _read_ports(self) -> list[int]:
        line = self.popen.stdout.readline()
        if not line.startswith("ready "):
            self.kill()
            raise RuntimeError(
                f"{self.name} did not start: expected `ready`, got {line!r}"
            )
        return [int(port) for port in line.split()[1:]]

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def signal(self, number: int) -> None:
        """Sends a signal to the process, for example `signal.SIGSTOP`."""
        os.kill(self.popen.pid, number)

    def stop(self) -> int:
        """Terminates the process gracefully; kills it after `STOP_TIMEOUT_S`."""
        if self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        try:
            self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self.popen.stdout.close()
        return self.popen.returncode

    def kill(self) -> None:
        """Kills the process immediately."""
        if self.popen.poll() is None:
            self.signal(signal.SIGKILL)
        self.popen.wait()
        self.popen.stdout.close()


def start_stand_in(module: str, *arguments: str, name: str = "") -> Process:
    """Starts `standins.<module>` on an ephemeral loopback port."""
    return Process(
        name=name or module, arguments=["-m", f"standins.{module}", *arguments]
    )
