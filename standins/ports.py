"""Ports for processes that have to know theirs before they start."""

import random
import socket

# Below the range from which the kernel takes the ports of outgoing connections, so that
# none of these takes the port before its process binds it.
FIRST_PORT, LAST_PORT = 12_000, 31_000
_chance = random.SystemRandom()


def free_port() -> int:
    """Returns a port of loopback that nobody listens on."""
    while True:
        port = _chance.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
