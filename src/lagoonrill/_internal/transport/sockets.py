"""Socket options and polling helpers for the connections of the gateway."""

import fcntl
import select
import socket
import struct
import termios
import time

MAX_PORT_DIGITS = 5
RECEIVE_BYTES = 65_536
# Messages up to this size are sent with one system call; the body of a larger one is
# not copied behind its head.
MAX_JOINED_BYTES = 65_536
# The socket options accept whole seconds only.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# A peer that becomes unreachable without a reset is detected after three seconds, which
# is as long as a request can wait to be routed to another endpoint.
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3_000
# A failed store connection is detected after two seconds, and earlier if a call is in
# flight: three seconds after a network fault an instance must again have what the store
# acknowledged in the meantime.
STORE_KEEPALIVE_PROBES = 1
STORE_UNACKNOWLEDGED_MS = 1_500


def keepalive_options(
    *, probes: int, unacknowledged_ms: int
) -> list[tuple[int, int, int]]:
    """Returns socket options that close a connection to an unresponsive peer."""
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    ]


KEEPALIVE_OPTIONS = keepalive_options(
    probes=KEEPALIVE_PROBES, unacknowledged_ms=UNACKNOWLEDGED_MS
)
STORE_KEEPALIVE_OPTIONS = keepalive_options(
    probes=STORE_KEEPALIVE_PROBES, unacknowledged_ms=STORE_UNACKNOWLEDGED_MS
)

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerGone(Exception):
    """The caller closed its connection before the response was complete."""

    # How much of the response was sent, as fields of the log event.
    progress: dict[str, int] = {}


def set_options(sock: socket.socket) -> None:
    """Sets TCP_NODELAY and the options that detect an unresponsive peer."""
    for level, option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(level, option, value)


def parse_address(text: str) -> tuple[str, int]:
    """Splits an address into host and port.

    >>> parse_address("10.1.0.19:8740")
    ('10.1.0.19', 8740)
    """
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (separator and host and is_number and 0 < int(port) < 65_536):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def is_disconnected(sock: socket.socket) -> bool:
    """Returns whether the peer has closed or reset the connection."""
    poll = select.poll()
    poll.register(sock, DISCONNECT_EVENTS)
    return bool(poll.poll(0))


def has_input(sock: socket.socket) -> bool:
    """Returns whether an idle connection has input, was closed or has an error."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | DISCONNECT_EVENTS)
    return bool(poll.poll(0))


def wait_for(
    sock: socket.socket, events: int, deadline: float, caller: socket.socket | None
) -> int:
    """Waits for `events` on a socket while monitoring the connection of the caller.

    Returns the events that are ready. Raises `TimeoutError` at `deadline` (monotonic
    clock), and `CallerGone` if the caller disconnects first.
    """
    poll = select.poll()
    poll.register(sock, events)
    if caller is not None:
        poll.register(caller, DISCONNECT_EVENTS)
    watched = sock.fileno()
    while True:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        ready = poll.poll(remaining_s * 1000 + 1)
        # The caller is checked first, because an endpoint that never stops sending is
        # always ready.
        if any(descriptor != watched for descriptor, _ in ready):
            raise CallerGone
        for _, found in ready:
            return found


def joined_if_small(parts: list[bytes]) -> list[bytes]:
    """Returns the parts of a message in one piece, unless that copies a large one.

    >>> joined_if_small([b"head", b"body", b""])
    [b'headbody']
    """
    parts = [part for part in parts if part]
    if sum(map(len, parts)) <= MAX_JOINED_BYTES:
        return [b"".join(parts)]
    return parts


def send_all(
    sock: socket.socket,
    data: bytes,
    deadline: float,
    caller: socket.socket | None = None,
    *,
    stop_on_input: bool = False,
) -> memoryview:
    """Sends all of `data`; the socket is in non-blocking mode.

    With `stop_on_input`, sending stops if the peer responds early. Returns the data
    that was not sent, which is otherwise empty.
    """
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
            continue
        except BlockingIOError:
            events = select.POLLOUT | (select.POLLIN if stop_on_input else 0)
            found = wait_for(sock, events, deadline, caller)
            if stop_on_input and found & select.POLLIN and not found & select.POLLOUT:
                return view
    return view


def is_fully_received(sock: socket.socket) -> bool:
    """Returns whether the peer's kernel has received all that was sent to it.

    A successful `send` only copies data to the send buffer of this host, which holds
    several MB. After the peer has closed its side, a reset no longer makes `recv` fail,
    but it stays visible in `SO_ERROR`. Where the system cannot tell how much is
    unacknowledged, everything sent counts as received.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    # The kernel returns the number of unacknowledged bytes (SIOCOUTQ) as a C int.
    size = struct.calcsize("i")
    try:
        found = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(size))
    except OSError:
        return True
    return struct.unpack("i", found) == (0,)
