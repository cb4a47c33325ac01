"""Guards against processes of tests that are ended from outside."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.gateway_kit import wait_until

ROOT = Path(__file__).parents[1]
# Stops a process, waits until the shell that started this one has ended, and writes
# whether the process still lives.
SCRIPT = """
import os, signal, sys, time
from bench.processes import Process
code = "import time; print('ready 1', flush=True); time.sleep(30)"
process = Process(name="stopped", arguments=["-c", code])
process.signal(signal.SIGSTOP)
parent = os.getppid()
until = time.monotonic() + 10
while os.getppid() == parent and time.monotonic() < until:
    time.sleep(0.05)
time.sleep(0.5)
with open(sys.argv[1], "w") as result:
    result.write(f"{os.getppid() != parent} {process.popen.poll()}")
process.kill()
"""
# A shell with job control gives its children a process group of their own, which has no
# link to the session any more when the shell ends.
SHELL = 'set -m; "$0" -c "$1" "$2" & sleep 1.5'


@pytest.mark.parametrize("run", range(2))
def test_a_stopped_process_outlives_the_shell_that_started_the_tests(tmp_path, run):
    """Its process group got SIGHUP, which ended it, when the shell was gone."""
    result = tmp_path / "result"
    shell = subprocess.Popen(
        [
            "bash",
            "-c",
            SHELL,
            sys.executable,
            SCRIPT,
            str(result),
        ],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    assert shell.wait(10) == 0
    assert wait_until(result.exists, 10)
    assert wait_until(lambda: result.read_text() == "True None", 2), result.read_text()
