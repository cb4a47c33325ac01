"""Gateway processes, started with the command of the deploy file on loopback."""

import http.client
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

from standins.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20
# Bounds of the small deployments (kit/more/system/SYSTEM.md), which both share.
BOUNDS = {
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_fixed": 54,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "contact_ms": 3000,
}


def start_command() -> list[str]:
    """Returns the command of the deploy file for the gateway."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        words = tomllib.load(file)["roles"]["gateway"]["run"].split()
    if words[0] == "python3":
        words[0] = sys.executable
    return words


class Gateway:
    """A gateway process; it keeps its addresses when it is started again."""

    def __init__(
        self, *, name: str, zone: str, store: str, folder: Path, memory_mb: int = 430
    ):
        self.name = name
        self.port = free_port()
        self.readiness_port = free_port()
        self.peer = f"127.0.0.1:{free_port()}"
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.settings = {
            "instance": name,
            "zone": zone,
            "callers_address": f"127.0.0.1:{self.port}",
            "readiness_address": f"127.0.0.1:{self.readiness_port}",
            "peer_address": self.peer,
            "store_address": store,
            "max_descriptors": 6150,
            "memory_mb": memory_mb,
            "store_writes_per_s": 400,
            "bounds": BOUNDS,
        }
        self.process: subprocess.Popen | None = None

    def start(self, seeds: list[str]) -> None:
        """Writes the settings and starts the process."""
        self.settings_path.write_text(json.dumps({**self.settings, "seeds": seeds}))
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment = {
            **kept,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LAGOONRILL_CONFIG": str(self.settings_path),
        }
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                start_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def exit_status(self) -> int | None:
        """Returns the exit status, or None while the process runs."""
        return self.process.poll()

    def signal(self, number: int) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it runs, and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness_port, timeout=1
        )
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def memory_mb(self) -> float:
        """Returns the memory of the process without pages of files; 0 at its end."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0


def start_fleet(gateways: list[Gateway]) -> bool:
    """Starts all gateways; returns whether all of them became ready."""
    for gateway in gateways:
        gateway.start([item.peer for item in gateways[:3]])
    until = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < until:
        if all(gateway.is_ready() for gateway in gateways):
            return True
        time.sleep(0.1)
    return False


def run_case(main: Callable[[], int]) -> int:
    """Returns the exit status of a case: 2 if it fails for a reason of its own.

    A script that is stopped ends its processes first.
    """

    def stop(number, frame) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        return main()
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        return 2
