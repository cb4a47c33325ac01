"""Allocates ports for processes whose port must be known before they start."""

import fcntl
import random
import socket
import tempfile
from pathlib import Path

# Below the kernel's ephemeral port range, so that no outgoing connection occupies a
# port before its process binds it.
FIRST_PORT, LAST_PORT = 12_000, 31_000
_random = random.SystemRandom()
# Lock files of the allocated ports, held until this process ends. Without them,
# concurrent test runs picked the same port before either had bound it.
_allocated = []


def free_port() -> int:
    """Returns a loopback port that is unused and not allocated by another process."""
    folder = Path(tempfile.gettempdir()) / "lagoonrill-ports"
    folder.mkdir(exist_ok=True)
    while True:
        port = _random.randrange(FIRST_PORT, LAST_PORT)
        lock = (folder / str(port)).open("a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            continue
        _allocated.append(lock)
        return port
