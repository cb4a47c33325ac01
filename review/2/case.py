"""The store turns a gateway away; streams of two versions begin there, and it dies."""

import contextlib
import sys
import tempfile
import time
from pathlib import Path

from review.common.gateways import Gateway, wait_until_ready
from review.common.main import run_case
from review.common.platform import Link, start_store
from review.common.record import Record
from review.common.take_ups import MOST_MIXED, StreamConsumers
from review.common.versions import ZONES, add_engines

# A stream of this many events lasts 8 s.
EVENTS = 80
STREAMS = 24
STREAM_SPACING_S = 0.1
# The store turns the gateway away this long before the first of the streams.
AWAY_BEFORE_S = 1.0


def play(stack: contextlib.ExitStack, record: Record, *, trouble: str) -> bool:
    """Returns whether the rule ORDER held."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    store, server = start_store()
    stack.callback(server.close)
    workers = add_engines(store, "v1", stack, events=EVENTS)
    link = Link(target=server.address)
    gateways = [
        Gateway(name=f"edge-{n}", zone=zone, folder=folder, store=address)
        for n, (zone, address) in enumerate(
            zip(ZONES, (server.address, server.address, link.address), strict=True)
        )
    ]
    for gateway in gateways:
        stack.callback(gateway.kill)
        gateway.start([item.peer for item in gateways])
    wait_until_ready(gateways)
    record.line("all gateways are ready; all workers have version v1")
    time.sleep(2)
    workers += add_engines(store, "v2", stack, events=EVENTS)
    record.line("workers of version v2 serve too")
    time.sleep(2)
    if trouble == "1":
        link.reject()
        record.line(f"the store turns {gateways[2].name} away")
    time.sleep(AWAY_BEFORE_S)
    consumers = StreamConsumers(record=record, port=gateways[2].port, other=gateways[0])
    for _ in range(STREAMS):
        consumers.begin()
        time.sleep(STREAM_SPACING_S)
    time.sleep(1)
    if trouble != "0":
        gateways[2].kill()
        record.line(f"{gateways[2].name} is killed")
    mixed = consumers.mixed()
    for worker in workers:
        for at, request, after in worker.runs:
            record.line(f"{worker.id} ran {request} after event {after}", at=at)
    return mixed <= MOST_MIXED


if __name__ == "__main__":
    sys.exit(run_case(play, folder=Path(__file__).parent))
