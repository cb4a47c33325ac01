"""Ports for processes that have to know theirs before they start."""

import fcntl
import random
import socket
import tempfile
from pathlib import Path

# Below the range from which the kernel takes the ports of outgoing connections, so that
# none of these takes the port before its process binds it.
FIRST_PORT, LAST_PORT = 12_000, 31_000
_chance = random.SystemRandom()
# A port is drawn by one process at a time, until that process ends: runs beside each
# other drew the same one before either had bound it.
_drawn = []


def free_port() -> int:
    """Returns a port of loopback that nobody listens on and nobody else has drawn."""
    folder = Path(tempfile.gettempdir()) / "lagoonrill-ports"
    folder.mkdir(exist_ok=True)
    while True:
        port = _chance.randrange(FIRST_PORT, LAST_PORT)
        lock = (folder / str(port)).open("a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        _drawn.append(lock)
        return port
