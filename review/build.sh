#!/bin/sh
# Byte-compiles all stand-ins that the scripts start; nothing else has to be built.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:. exec python3 -m compileall -q standins review
