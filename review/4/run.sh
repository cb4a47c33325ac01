#!/bin/sh
# TROUBLE=0 leaves both disruptions out, TROUBLE=kill only the drill of the store.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:src:. exec python3 review/4/case.py
