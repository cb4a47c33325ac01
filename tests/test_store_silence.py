"""Guards against a stale endpoint list after a connection to the store falls silent.

Connections to the store may stop delivering data without a reset while new ones work.
Three seconds later, a request to an endpoint that has left counts as a violation.
"""

from lagoonrill._internal.coordination.store_follower import (
    CHANGE_SPACING_S,
    FIRST_PAUSE_S,
)
from lagoonrill._internal.protocol.gateway_settings import GatewayBounds
from lagoonrill._internal.transport import sockets

CONTACT_S = GatewayBounds().contact_ms / 1000
# Time to connect, receive and apply the list on a busy processor.
REFRESH_S = 0.3
# The longest backoff after a first failure.
BACKOFF_S = 2 * FIRST_PAUSE_S


def test_a_silent_watch_is_replaced_in_time():
    detection_s = (
        sockets.KEEPALIVE_IDLE_S
        + sockets.KEEPALIVE_INTERVAL_S * sockets.STORE_KEEPALIVE_PROBES
    )
    assert detection_s + BACKOFF_S + REFRESH_S < CONTACT_S


def test_a_call_on_a_connection_that_fell_silent_before_is_repeated_in_time():
    detection_s = CHANGE_SPACING_S + sockets.STORE_UNACKNOWLEDGED_MS / 1000
    assert detection_s + BACKOFF_S + REFRESH_S < CONTACT_S
