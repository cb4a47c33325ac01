"""The record of a case: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start of the case."""

    def __init__(self, *, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.began_at = time.monotonic()

    def line(self, text: str, *, at: float | None = None) -> None:
        seconds = (time.monotonic() if at is None else at) - self.began_at
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()
