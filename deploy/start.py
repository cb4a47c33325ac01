"""Starts the gateway from a source tree, without an installation."""

import runpy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
runpy.run_module("lagoonrill.platform", run_name="__main__", alter_sys=True)
