"""Tells what is known of a call to the platform from its answer."""

from returns.result import Result, Success

from ..protocol.errors import (
    StoreConflict,
    StoreError,
    StoreRejected,
    StoreUnavailable,
)
from ..transport.store_client import StoreResponse
from .platform_calls import CallOutcome

BUSY_STATUS = 429


def call_outcome(result: Result[StoreResponse, StoreError]) -> CallOutcome:
    """Returns what is known of a call from its answer."""
    if isinstance(result, Success):
        done = result.unwrap().status == 200
        return CallOutcome.DONE if done else CallOutcome.IN_DOUBT
    error = result.failure()
    if isinstance(error, StoreConflict):
        return CallOutcome.REFUSED
    if isinstance(error, StoreRejected) and error.status == BUSY_STATUS:
        return CallOutcome.BUSY
    if isinstance(error, StoreUnavailable):
        return CallOutcome.UNAVAILABLE
    return CallOutcome.IN_DOUBT
