"""Answers of the store are lost and writes come late; a gateway is stopped."""

import contextlib
import os
import sys
import tempfile
import time
from pathlib import Path

from review.common.gateways import Gateway, wait_until_ready
from review.common.lossy_store import start_lossy_store
from review.common.main import run_case
from review.common.record import Record
from review.common.take_ups import MOST_MIXED, StreamConsumers
from review.common.versions import ZONES, add_engines

SEED = int(os.environ.get("SEED", "5"))
# A stream of this many events lasts 14 s, less than the timeout of its route.
EVENTS = 140
LOST_S = 4.5
# The gateway keeps the records of five seconds of the time of day in one object. The
# disruption begins this long after the begin of such a span.
SPAN_S = 5.0
PHASE_S = float(os.environ.get("PHASE_S", "0.5"))
# Streams a second that begin at one gateway: of the sheet's 13.7, the share of a zone
# that has a single machine.
STREAMS_PER_S = 4.4
# The gateway is stopped after this time, and streams begin until shortly after that. It
# ends the streams when its time is over, after the last of the late writes.
STOPPED_AFTER_S = 4.6
BEGUN_S = 6.5


def play(stack: contextlib.ExitStack, record: Record, *, trouble: str) -> bool:
    """Returns whether the rule ORDER held."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    store, server = start_lossy_store(record=record, seed=SEED)
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
    time.sleep(2 + (PHASE_S - 2 - time.time()) % SPAN_S)
    consumers = StreamConsumers(
        record=record, port=gateways[2].port, other=gateways[0], tries=1
    )
    began_at = time.monotonic()
    store.loses = trouble == "1"
    is_stopped = False
    while (now := time.monotonic()) < began_at + BEGUN_S:
        if now >= began_at + LOST_S:
            store.loses = False
        if not is_stopped and now >= began_at + STOPPED_AFTER_S:
            is_stopped = True
            gateways[2].stop()
            record.line(f"{gateways[2].name} is stopped as planned")
        consumers.begin()
        time.sleep(1 / STREAMS_PER_S)
    mixed = consumers.mixed()
    for worker in workers:
        for at, request, after in worker.runs:
            record.line(f"{worker.id} ran {request} after event {after}", at=at)
    return mixed <= MOST_MIXED


if __name__ == "__main__":
    sys.exit(run_case(play, folder=Path(__file__).parent))
