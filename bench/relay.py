"""Relays TCP between daemons on loopback, to simulate network partitions.

Each daemon advertises the address of a relay in place of its peer socket. The relay
identifies the daemon that opened a connection by the process that owns the source port.
"""

import contextlib
import socket
import threading
import time

import psutil

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
ATTACH_TIMEOUT_S = 5.0


class Link:
    """A relayed connection from a source instance to a target instance."""

    __slots__ = ("target_socket", "source_socket", "source", "target")

    def __init__(self, *, source: str, target: str, source_socket, target_socket):
        self.source = source
        self.target = target
        self.source_socket = source_socket
        self.target_socket = target_socket

    def close(self) -> None:
        """Closes both sides of the connection."""
        for end in (self.source_socket, self.target_socket):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class PeerRelays:
    """Runs one relay for each instance; `cut` partitions instances from the others."""

    def __init__(self):
        self.lock = threading.Lock()
        self.listeners: dict[str, socket.socket] = {}
        self.targets: dict[str, int] = {}
        self.instances: dict[int, str] = {}
        self.isolated: set[str] = set()
        self.links: list[Link] = []
        self.closed = False

    def open(self, instance: str) -> str:
        """Opens the relay of an instance and returns its address."""
        listener = socket.create_server((HOST, 0))
        self.listeners[instance] = listener
        threading.Thread(
            target=self._accept, args=(instance, listener), daemon=True
        ).start()
        return f"{HOST}:{listener.getsockname()[1]}"

    def attach(self, instance: str, pid: int, port: int) -> None:
        """Sets the process ID and the peer port of the instance behind a relay."""
        with self.lock:
            self.targets[instance] = port
            self.instances[pid] = instance

    def cut(self, instances: set[str]) -> None:
        """Partitions the given instances from all others, but not from each other.

        Replaces the previous partition and closes the connections across the new one.
        """
        with self.lock:
            self.isolated = set(instances)
            dropped = [link for link in self.links if self._crosses_partition(link)]
            self.links = [link for link in self.links if link not in dropped]
        for link in dropped:
            link.close()

    def _crosses_partition(self, link: Link) -> bool:
        return (link.source in self.isolated) != (link.target in self.isolated)

    def _accept(self, instance: str, listener: socket.socket) -> None:
        while True:
            try:
                source_socket, address = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect,
                args=(instance, source_socket, address[1]),
                daemon=True,
            ).start()

    def _connect(
        self, target: str, source_socket: socket.socket, source_port: int
    ) -> None:
        source = self._wait_for_source(source_port)
        try:
            target_socket = socket.create_connection(
                (HOST, self.targets[target]), timeout=2
            )
        except (OSError, KeyError):
            source_socket.close()
            return
        target_socket.settimeout(None)
        link = Link(
            source=source,
            target=target,
            source_socket=source_socket,
            target_socket=target_socket,
        )
        with self.lock:
            refused = self.closed or self._crosses_partition(link)
            if not refused:
                self.links.append(link)
        if refused:
            link.close()
            return
        threading.Thread(
            target=copy, args=(target_socket, source_socket, link), daemon=True
        ).start()
        copy(source_socket, target_socket, link)

    def _wait_for_source(self, port: int) -> str:
        # A daemon may connect to its peers before `attach` has set its process ID.
        until = time.monotonic() + ATTACH_TIMEOUT_S
        while not (source := self._instance_with_port(port)):
            if time.monotonic() > until:
                break
            time.sleep(0.05)
        return source

    def _instance_with_port(self, port: int) -> str:
        for pid, instance in list(self.instances.items()):
            with contextlib.suppress(psutil.Error, OSError):
                for connection in psutil.Process(pid).net_connections("tcp4"):
                    if connection.laddr.port == port:
                        return instance
        return ""

    def close(self) -> None:
        """Closes all relays and their connections."""
        with self.lock:
            self.closed = True
            links, self.links = self.links, []
        for listener in self.listeners.values():
            listener.close()
        for link in links:
            link.close()


def copy(source: socket.socket, target: socket.socket, link: Link) -> None:
    """Copies bytes in one direction until either side closes, then closes the link."""
    with contextlib.suppress(OSError):
        while received := source.recv(CHUNK_BYTES):
            target.sendall(received)
    link.close()
