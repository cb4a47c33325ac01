"""The store turns a gateway away, and that gateway is stopped as planned."""

import contextlib
import sys
import tempfile
import threading
import time
from pathlib import Path

from review.common.gateways import Gateway, wait_until_ready
from review.common.main import run_case
from review.common.platform import Link, start_store
from review.common.record import Record
from review.common.take_ups import MOST_MIXED, StreamConsumers
from review.common.versions import ZONES, add_engines

# A stream of this many events lasts 13 s, less than the timeout of its route.
EVENTS = 130
# The store turns the gateway away for this long; streams begin and the stop follows.
AWAY_S = 9.0
STOPPED_AFTER_S = 1.4
# Streams a second that begin at the gateway, until shortly after the stop: of the
# sheet's 13.7, the share of a zone that has a single machine.
STREAMS_PER_S = 4.4
BEGUN_S = 3.3


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
    consumers = StreamConsumers(
        record=record, port=gateways[2].port, other=gateways[0], tries=1
    )
    if trouble == "1":
        link.reject()
        record.line(f"the store turns {gateways[2].name} away")
        threading.Timer(AWAY_S, link.accept).start()
    began_at = time.monotonic()
    is_stopped = False
    while time.monotonic() < began_at + BEGUN_S:
        if not is_stopped and time.monotonic() >= began_at + STOPPED_AFTER_S:
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
