#!/bin/sh
# TROUBLE=0 leaves both disruptions out, TROUBLE=kill only that of the gateway.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:src:. exec python3 review/3/case.py
