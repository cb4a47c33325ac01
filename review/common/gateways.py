"""Starts gateways with the command of the deploy file, on loopback addresses."""

import http.client
import json
import os
import signal
import subprocess
import time
from pathlib import Path

from standins.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
RUN_COMMAND = ("python3", "deploy/start.py")
SETTINGS_VARIABLE = "LAGOONRILL_CONFIG"
READINESS_PATH = "/v1/ready"
START_TIMEOUT_S = 20.0
# Bounds of the small installations, under the names of the settings template.
BOUNDS = {
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_fixed": 54,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "contact_ms": 3000,
}


class Gateway:
    """One gateway process and its addresses."""

    def __init__(self, *, name: str, zone: str, folder: Path, store: str):
        self.name = name
        self.zone = zone
        self.port = free_port()
        self.readiness_port = free_port()
        self.peer = f"127.0.0.1:{free_port()}"
        self.store = store
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self, seeds: list[str]) -> None:
        """Writes the settings, as the template renders them, and starts the process."""
        settings = {
            "instance": self.name,
            "zone": self.zone,
            "callers_address": f"127.0.0.1:{self.port}",
            "readiness_address": f"127.0.0.1:{self.readiness_port}",
            "peer_address": self.peer,
            "store_address": self.store,
            "seeds": seeds,
            "max_descriptors": 6150,
            "memory_mb": 430,
            "store_writes_per_s": 400,
            "bounds": BOUNDS,
        }
        self.settings_path.write_text(json.dumps(settings))
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                RUN_COMMAND,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "target/deps",
                    SETTINGS_VARIABLE: str(self.settings_path),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def stop(self) -> None:
        """Asks the process to end, as the platform does for planned work."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness_port, timeout=1
        )
        try:
            connection.request("GET", READINESS_PATH)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


def wait_until_ready(gateways: list[Gateway]) -> None:
    """Waits until all gateways are ready; raises `RuntimeError` after 20 s."""
    until = time.monotonic() + START_TIMEOUT_S
    while not all(gateway.is_ready() for gateway in gateways):
        if time.monotonic() > until:
            raise RuntimeError("not all gateways were ready in time")
        time.sleep(0.1)
