"""Runs the fault matrix (`make faults`) or a seeded subset of it.

Each cell is a run with a fault at a step. A cell is `held` if the checkers find no
violation in its history and the final response is one that the fault permits.
"""

import argparse
import queue
import random
import sys
import threading
import time
from pathlib import Path

import msgspec

from bench.fleet import Fleet
from bench.processes import ROOT

from .checkers import check_all
from .fault_context import FaultContext
from .faults import FAULTS, MANIFEST, Fault
from .history import History
from .manifest_cells import MANIFEST_STEPS, ManifestCell
from .request_cells import STEPS, RequestCell, Step

HELD = "held"
FAILED = "failed"
NOT_APPLICABLE = "n/a"
FLEETS = 3
PAIRS = 12


class Cell(msgspec.Struct, kw_only=True):
    """A run with faults at a step of a request or of a manifest rollout."""

    faults: list[Fault]
    step: Step
    kind: str
    problems: list[str] = []
    verdict: str = ""
    seconds: float = 0.0

    @property
    def row(self) -> str:
        return " + ".join(fault.name for fault in self.faults)

    @property
    def column(self) -> str:
        return f"{self.kind}: {self.step.name}"


def all_cells(pairs: int, seed: int) -> list[Cell]:
    """Returns all applicable cells, and cells with random pairs of faults."""
    steps = STEPS + MANIFEST_STEPS
    places = [(step, kind) for step in steps for kind in step.kinds]
    cells = [
        Cell(faults=[fault], step=step, kind=kind)
        for fault in FAULTS.values()
        for step, kind in places
        if kind in fault.applies_to
    ]
    rng = random.Random(seed)
    for _ in range(pairs):
        step, kind = rng.choice(places)
        usable = [fault for fault in FAULTS.values() if kind in fault.applies_to]
        faults = rng.sample(usable, 2)
        cells.append(Cell(faults=faults, step=step, kind=kind))
    return cells


def quick_cells(cells: list[Cell], count: int, seed: int) -> list[Cell]:
    """Returns a subset of up to `count` cells that covers the steps and faults."""
    order = list(cells)
    random.Random(seed).shuffle(order)
    chosen: list[Cell] = []
    for cell in order:
        new_row = all(cell.row != other.row for other in chosen)
        new_column = all(cell.column != other.column for other in chosen)
        if (new_row or new_column) and len(chosen) < count:
            chosen.append(cell)
    return chosen


class Runner:
    """Runs cells concurrently on several fleets."""

    def __init__(self, *, cells: list[Cell], fleets: int):
        self.fleets = fleets
        self.waiting: queue.SimpleQueue[Cell] = queue.SimpleQueue()
        for cell in cells:
            self.waiting.put(cell)

    def run(self) -> None:
        """Runs all cells."""
        threads = [threading.Thread(target=self._run_fleet) for _ in range(self.fleets)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_fleet(self) -> None:
        while not self.waiting.empty():
            with Fleet(
                extra_instances=1, worker_slots=2, use_relays=True, token_ms=8.0
            ) as fleet:
                ManifestCell.apply_first(fleet)
                fleet.wait_ready()
                self._run_cells(fleet)

    def _run_cells(self, fleet: Fleet) -> None:
        """Runs cells until the queue is empty or the fleet can't be restored."""
        turn = 0
        while True:
            try:
                cell = self.waiting.get_nowait()
            except queue.Empty:
                return
            target_instance = list(fleet.daemons)[turn % len(fleet.daemons)]
            turn += 1
            context = FaultContext(
                fleet=fleet, history=History(), target_instance=target_instance
            )
            run_cell(cell, context)
            if not restore(cell, context):
                return


def run_cell(cell: Cell, context: FaultContext) -> None:
    """Runs one cell and stores its problems and duration."""
    began = time.monotonic()
    kind = ManifestCell if cell.kind == MANIFEST else RequestCell
    run = kind(context=context, faults=cell.faults, step=cell.step, kind=cell.kind)
    try:
        cell.problems = run.run()
    except Exception as error:
        cell.problems = [f"the run failed: {type(error).__name__}: {error}"]
    cell.seconds = time.monotonic() - began


def restore(cell: Cell, context: FaultContext) -> bool:
    """Restores the fleet and sets the verdict; returns whether the fleet recovered.

    The cell fails if the fleet does not become ready again after the fault.
    """
    try:
        context.restore()
        restored = True
    except Exception as error:
        cell.problems.append(f"not restored: {type(error).__name__}: {error}")
        restored = False
    found = check_all(context.history)
    cell.problems += [f"{item.checker}: {item.detail}" for item in found]
    cell.verdict = FAILED if cell.problems else HELD
    print(f"{cell.verdict:7} {cell.row} at {cell.column} ({cell.seconds:.1f} s)")
    for problem in cell.problems:
        print(f"        {problem}")
    sys.stdout.flush()
    return restored


def table(cells: list[Cell]) -> str:
    """Returns the matrix in Markdown; cells that were not run are empty."""
    columns = list(
        dict.fromkeys(
            f"{kind}: {step.name}"
            for step in STEPS + MANIFEST_STEPS
            for kind in step.kinds
        )
    )
    results = {(cell.row, cell.column): cell.verdict for cell in cells}
    rows = dict.fromkeys([*FAULTS, *(cell.row for cell in cells)])
    lines = ["| fault | " + " | ".join(columns) + " |"]
    lines.append("|---" * (len(columns) + 1) + "|")
    for row in rows:
        verdicts = [
            results.get((row, column), empty_cell(row, column)) for column in columns
        ]
        lines.append(f"| {row} | " + " | ".join(verdicts) + " |")
    return "\n".join(lines)


def empty_cell(row: str, column: str) -> str:
    """Returns the table entry of a cell that was not run."""
    kind = column.partition(":")[0]
    single = FAULTS.get(row)
    if single is not None and kind not in single.applies_to:
        return NOT_APPLICABLE
    return ""


def count_not_applicable() -> int:
    """Returns the number of cells whose fault does not apply to the step."""
    places = [kind for step in STEPS + MANIFEST_STEPS for kind in step.kinds]
    return sum(
        kind not in fault.applies_to for fault in FAULTS.values() for kind in places
    )


def main() -> int:
    """Runs the cells and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", type=int, help="run only this many cells")
    parser.add_argument("--only", default="", help="run cells whose name contains this")
    parser.add_argument("--fleets", type=int, default=FLEETS)
    parser.add_argument("--pairs", type=int, default=PAIRS)
    parser.add_argument("--write", action="store_true", help="write the page in docs/")
    arguments = parser.parse_args()
    cells = all_cells(arguments.pairs, arguments.seed)
    if arguments.quick:
        cells = quick_cells(cells, arguments.quick, arguments.seed)
    if arguments.only:
        cells = [c for c in cells if arguments.only in f"{c.row} at {c.column}"]
    print(f"seed {arguments.seed}, {len(cells)} cells")
    Runner(cells=cells, fleets=arguments.fleets).run()
    held = sum(cell.verdict == HELD for cell in cells)
    failed = len(cells) - held
    last = f"faults: {held} held, {failed} failed, "
    last += f"{count_not_applicable()} not applicable"
    page = table(cells)
    print(page)
    if arguments.write:
        write_page(page, last, arguments.seed)
    print(last)
    return 1 if failed else 0


def write_page(page: str, last: str, seed: int) -> None:
    """Writes docs/fault-matrix.md."""
    text = (
        "# Fault matrix\n\nEach cell is a run with the fault of its row at the step of"
    )
    text += " its column.\n`n/a`: the fault does not concern the step. "
    text += f"Written by `make faults` with seed {seed}.\n\n{page}\n\n{last}\n"
    Path(ROOT, "docs", "fault-matrix.md").write_text(text)


if __name__ == "__main__":
    sys.exit(main())
