#!/bin/sh
# Checks that all that the scripts of the third review start can be loaded. The stand-ins
# are Python, so nothing is compiled; the build of the deploy file comes first, as it puts
# the libraries under target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:. exec python3 -c '
import review.harness_3.clients, review.harness_3.fleet, review.harness_3.workers
import review.harness_3.platform
import standins.metadata_store, standins.platform_objects, standins.ports
'
