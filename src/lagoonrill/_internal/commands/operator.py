"""`lagoonrill dump` and `drain`: calls to the operators' listener of a daemon."""

import msgspec

from .exit_status import ExitStatus
from .http import DaemonClient
from .output import print_json


class DumpCommand:
    """Prints the state dump of a daemon as JSON."""

    def __init__(self, *, client: DaemonClient):
        self.client = client

    def run(self) -> ExitStatus:
        """Returns OK; a failed call raises `CommandError`."""
        data = self.client.call("GET", "/dump")
        print(msgspec.json.format(data, indent=2).decode())
        return ExitStatus.OK


class DrainReport(msgspec.Struct, kw_only=True):
    """Result of a drain request."""

    address: str
    draining: bool


class DrainCommand:
    """Starts a graceful shutdown of a daemon."""

    def __init__(self, *, client: DaemonClient, as_json: bool):
        self.client = client
        self.as_json = as_json

    def run(self) -> ExitStatus:
        """Returns OK once the daemon has accepted the request."""
        self.client.call("POST", "/drain")
        if self.as_json:
            print_json(DrainReport(address=self.client.url, draining=True))
        else:
            print(f"{self.client.url}: draining")
        return ExitStatus.OK
