"""Engines of a software version, in all zones."""

import contextlib

from review.common.workers import Worker
from standins.metadata_store import MetadataStore

ZONES = ("tunis-a", "tunis-b", "bizerte-a")


def add_engines(
    store: MetadataStore,
    version: str,
    stack: contextlib.ExitStack,
    *,
    events: int,
    in_zone: int = 2,
) -> list[Worker]:
    """Starts some engines of a software version in each zone."""
    workers = []
    for number, zone in enumerate(ZONES * in_zone):
        worker = Worker(
            id=f"i-{version}-{number}",
            service="models",
            zone=zone,
            version=version,
            events=events,
            pause_s=0.1,
        )
        stack.callback(worker.close)
        store.put("servers", worker.id, worker.entry())
        workers.append(worker)
    return workers
