"""The store comes back from an older copy, while a gateway is stopped as planned."""

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

# A stream of this many events lasts 13 s, less than the timeout of its route.
EVENTS = 130
# Times after the planned stop of a gateway, which ends its streams after 7.14 s. The
# store is away for a moment around that end, and comes back from a copy that is some
# seconds old.
STREAMS_FROM_S, STREAMS_UNTIL_S = 0.2, 1.9
AWAY_FROM_S, AWAY_UNTIL_S = 6.3, 7.35
COPY_AGE_S = 7.2
# Streams a second that begin at the gateway: of the sheet's 13.7, the share of a zone
# that has a single machine.
STREAMS_PER_S = 4.4


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
    workers += add_engines(store, "v2", stack, events=EVENTS, in_zone=3)
    record.line("workers of version v2 serve too")
    time.sleep(3)
    consumers = StreamConsumers(
        record=record, port=gateways[2].port, other=gateways[0], tries=1
    )
    gateways[2].stop()
    stopped_at = time.monotonic()
    record.line(f"{gateways[2].name} is stopped as planned")
    time.sleep(STREAMS_FROM_S)
    while time.monotonic() < stopped_at + STREAMS_UNTIL_S:
        consumers.begin()
        time.sleep(1 / STREAMS_PER_S)
    time.sleep(stopped_at + AWAY_FROM_S - time.monotonic())
    if trouble == "1":
        store.refusal_status = 503
        record.line("the store is away")
        time.sleep(stopped_at + AWAY_UNTIL_S - time.monotonic())
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
