"""`lagoonrill status`: prints the committed generation and each instance's state."""

from returns.result import Failure, Success

from ..coordination.fleet_report import (
    FleetReport,
    InstanceState,
    ZoneReport,
    read_fleet,
)
from .exit_status import ExitStatus
from .output import CommandError, print_json


class StatusCommand:
    """Prints the configuration state of the fleet."""

    def __init__(self, *, store, instance_list, as_json: bool):
        self.store = store
        self.instance_list = instance_list
        self.as_json = as_json

    def run(self) -> ExitStatus:
        """Returns OK if the committed generation is in force in every instance."""
        match read_fleet(store=self.store, instance_list=self.instance_list):
            case Success(report):
                pass
            case Failure(error):
                raise CommandError(status=ExitStatus.UNREACHABLE, message=str(error))
        if self.as_json:
            print_json(report)
        else:
            self._print(report)
        done = (InstanceState.ACCEPTED, InstanceState.EMPTY)
        in_force = all(zone.state in done for zone in report.zones)
        committed = report.generation > 0
        return ExitStatus.OK if committed and in_force else ExitStatus.PENDING

    def _print(self, report: FleetReport) -> None:
        if report.generation:
            print(f"generation {report.generation}, digest {report.digest}")
        else:
            print("no manifest has been committed yet")
        if report.open_proposal:
            print(f"open proposal {report.open_proposal}")
        print_zones(report.zones)


def print_zones(zones: list[ZoneReport]) -> None:
    """Prints one line for each zone and each instance."""
    for zone in zones:
        print(f"{zone.zone}: {zone.state}")
        for report in zone.instances:
            line = f"  {report.instance}: {report.state}"
            line += f", generation {report.generation}"
            print(f"{line} ({report.reason})" if report.reason else line)
