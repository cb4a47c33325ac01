#!/bin/sh
# TROUBLE=0 leaves out the disruption of the store; the planned stop stays.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:src:. exec python3 review/2/case.py
