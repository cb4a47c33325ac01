"""Runs a case and turns its result into an exit status."""

import contextlib
import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from review.common.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

Play = Callable[..., bool]


def run_case(play: Play, *, folder: Path) -> int:
    """Returns the exit status of a case.

    `play` gets a stack that ends all that it started, the record and the trouble to
    make; it returns whether the rule held.
    """
    # The stack also ends all processes if the script itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder=folder)
    trouble = os.environ.get("TROUBLE", "1")
    record.line(f"TROUBLE={trouble}")
    with contextlib.ExitStack() as stack:
        try:
            held = play(stack, record, trouble=trouble)
        except Exception as error:
            traceback.print_exc()
            record.line(f"the case could not run: {error!r}")
            return NOT_RUN
    record.line("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
