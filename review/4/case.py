"""The store comes back from an older copy; a gateway dies while the store is away."""

import contextlib
import sys
import tempfile
import time
from pathlib import Path

from review.common.gateways import Gateway, wait_until_ready
from review.common.main import run_case
from review.common.platform import configuration, start_store
from review.common.record import Record
from review.common.take_ups import MOST_MIXED, StreamConsumers
from review.common.versions import ZONES, add_engines

# A stream of this many events lasts 10 s.
EVENTS = 100
STREAMS = 14
STREAM_SPACING_S = 0.25
# The store is away for this long, and comes back from a copy of this age.
AWAY_S = 1.0
COPY_AGE_S = 5.0
# The gateway dies in the middle of that time.
KILLED_AFTER_S = 0.5


def play(stack: contextlib.ExitStack, record: Record, *, trouble: str) -> bool:
    """Returns whether the rule ORDER held."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    store, server = start_store()
    stack.callback(server.close)
    workers = add_engines(store, "v1", stack, events=EVENTS, in_zone=1)
    gateways = [
        Gateway(name=f"edge-{n}", zone=zone, folder=folder, store=server.address)
        for n, zone in enumerate(ZONES)
    ]
    for gateway in gateways:
        stack.callback(gateway.kill)
        gateway.start([item.peer for item in gateways])
    wait_until_ready(gateways)
    record.line("all gateways are ready; all workers have version v1")
    time.sleep(2)
    workers += add_engines(store, "v2", stack, events=EVENTS)
    record.line("workers of version v2 serve too")
    # Their entries are older than the copy from which the store comes back.
    time.sleep(COPY_AGE_S)
    consumers = StreamConsumers(
        record=record, port=gateways[2].port, other=gateways[0], tries=4
    )
    for _ in range(STREAMS):
        consumers.begin()
        time.sleep(STREAM_SPACING_S)
    if trouble == "1":
        store.refusal_status = 503
        record.line("the store is away")
    time.sleep(KILLED_AFTER_S)
    if trouble != "0":
        gateways[2].kill()
        record.line(f"{gateways[2].name} is killed")
    time.sleep(AWAY_S - KILLED_AFTER_S)
    if trouble == "1":
        store.restore(COPY_AGE_S)
        store.put("config", "main", configuration())
        for worker in workers:
            store.put("servers", worker.id, worker.entry())
        store.refusal_status = 0
        record.line(f"the store is back from a copy that is {COPY_AGE_S:g} s old")
    mixed = consumers.mixed()
    for worker in workers:
        for at, request, after in worker.runs:
            record.line(f"{worker.id} ran {request} after event {after}", at=at)
    return mixed <= MOST_MIXED


if __name__ == "__main__":
    sys.exit(run_case(play, folder=Path(__file__).parent))
