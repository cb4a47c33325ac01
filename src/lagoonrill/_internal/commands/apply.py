"""`lagoonrill apply`: applies a manifest to the fleet."""

from ..coordination.apply import ApplyReport, ApplyResult, ManifestRollout
from ..protocol.manifest import Manifest
from .exit_status import ExitStatus
from .output import print_error, print_json
from .status import print_zones

STATUSES = {
    ApplyResult.ACCEPTED: ExitStatus.OK,
    ApplyResult.PENDING: ExitStatus.PENDING,
    ApplyResult.LOST_RACE: ExitStatus.LOST_RACE,
    ApplyResult.REFUSED: ExitStatus.REFUSED,
    ApplyResult.PLATFORM_ERROR: ExitStatus.UNREACHABLE,
}
COMMIT_LABELS = {True: "committed", False: "not committed", None: "commit unknown"}


class ApplyCommand:
    """Runs a rollout and prints its report."""

    def __init__(
        self,
        *,
        manifest: Manifest,
        store,
        instance_list,
        base_generation: int | None,
        timeout_s: float,
        as_json: bool,
    ):
        self.as_json = as_json
        self.rollout = ManifestRollout(
            manifest=manifest,
            store=store,
            instance_list=instance_list,
            base_generation=base_generation,
            timeout_s=timeout_s,
            on_progress=print_error,
        )

    def run(self) -> ExitStatus:
        """Returns the exit status for the result of the report."""
        try:
            report = self.rollout.run()
        except KeyboardInterrupt:
            # An open proposal would block the next run.
            report = self.rollout.give_up()
            report.reason = f"interrupted; {report.reason}"
        if self.as_json:
            print_json(report)
        else:
            print_report(report)
        return STATUSES[report.result]


def print_report(report: ApplyReport) -> None:
    """Prints the result, followed by the state of each zone and instance."""
    words = report.result.replace("_", " ")
    line = f"{words}: generation {report.generation}"
    line += f", {COMMIT_LABELS[report.committed]}, {report.elapsed_s:.2f} s"
    if report.committed and not report.written:
        line += ", nothing written"
    if report.reason:
        line += f" ({report.reason})"
    print(line)
    print_zones(report.zones)
