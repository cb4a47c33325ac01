"""Members on loopback, a relay that can interrupt a link, and waiting."""

import socket
import threading
import time
from collections.abc import Callable

from lagoonrill._internal.coordination.membership import (
    LocalState,
    Membership,
    PeerReports,
)
from lagoonrill._internal.protocol.settings import PeerSettings
from lagoonrill._internal.transport.peer_link import PeerLink


def wait_until(condition: Callable[[], object], timeout_s: float = 10.0) -> float:
    """Waits for a condition and returns the time taken; fails after the timeout."""
    began = time.monotonic()
    while not condition():
        waited_s = time.monotonic() - began
        assert waited_s < timeout_s, f"condition not met within {timeout_s} s"
        time.sleep(0.01)
    return time.monotonic() - began


def start_member(
    instance: str,
    *seeds: str,
    zone: str = "tunis-a",
    link: PeerLink | None = None,
    local: LocalState | None = None,
    reports: PeerReports | None = None,
    incarnation: int | None = None,
    **settings,
) -> Membership:
    """Starts a membership on an ephemeral port."""
    member = Membership(
        instance=instance,
        zone=zone,
        link=link or PeerLink(host="127.0.0.1", port=0),
        settings=PeerSettings(
            host="127.0.0.1", port=0, addresses=list(seeds), **settings
        ),
        local=local or LocalState(),
        reports=reports or PeerReports(),
        incarnation=incarnation,
    )
    member.start()
    return member


def states(member: Membership) -> dict[str, str]:
    """Returns the state of each peer that a member knows."""
    return {view.instance: str(view.state) for view in member.peers()}


class Relay:
    """Forwards TCP connections.

    While `open` is clear, it holds back all bytes and keeps the connections open.
    """

    def __init__(self):
        self.target: tuple[str, int] | None = None
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.sockets = [self.listener]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def close(self) -> None:
        self.open.set()
        for item in self.sockets:
            item.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.target)
            except OSError:
                return
            self.sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self.open.wait()
                sink.sendall(data)
        except OSError:
            pass
        source.close()
        sink.close()


class RelayedLink(PeerLink):
    """Peer link that advertises the address of a relay in front of it."""

    def __init__(self, *, relay: Relay):
        super().__init__(host="127.0.0.1", port=0)
        self.relay = relay

    @property
    def address(self) -> str:
        return self.relay.address

    def start(self) -> None:
        super().start()
        self.relay.target = (self.host, self.port)
