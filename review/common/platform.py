"""The platform's store, its links to single gateways, and the configuration."""

import contextlib
import socket
import struct
import threading
import time

from review.common.consumers import HOST, KEY
from standins.metadata_store import MetadataStore, MetadataStoreServer
from standins.threaded_listener import ThreadedListener


def configuration() -> dict:
    """Returns a configuration with a route of each kind."""
    ask = {
        "Name": "r-ask",
        "Host": HOST,
        "PathPrefix": "/ask/",
        "Type": "streaming",
        "TimeoutMs": 15000,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": "models",
        "Attempts": 2,
        "AllowAnonymous": False,
        "SessionAffinity": True,
        "StreamResume": True,
        "GapAimMs": 300,
    }
    plan = {
        **ask,
        "Name": "r-plan",
        "PathPrefix": "/plan/",
        "TimeoutMs": 5000,
        "TargetLatencyMs": 800,
        "Priority": 1,
        "Attempts": 1,
        "StreamResume": False,
        "GapAimMs": 500,
    }
    order = {
        "Name": "r-order",
        "Host": HOST,
        "PathPrefix": "/order/",
        "Type": "unsafe",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "desk",
        "Attempts": 1,
        "AllowAnonymous": False,
    }
    look = {**order, "Name": "r-look", "PathPrefix": "/look/", "Type": "safe"}
    engine = {
        "Slots": 64,
        "KvTokens": 339744,
        "KvBytes": 18432,
        "LinkMbps": 280000.0,
        "Stride": 5,
        "Models": [{"Name": "m"}],
    }
    return {
        "Version": 2,
        "Routes": [plan, ask, order, {**look, "Attempts": 2}],
        "Services": [
            {
                "Name": "models",
                "HealthPath": "/healthz",
                "MaxConns": 360,
                "Engine": engine,
            },
            {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "huka270", "ApiKeys": [KEY], "Priority": 1}],
    }


# Writers of entries write them again at this interval, and the store removes an entry
# after three intervals of silence. An entry changes only when more than its `Sequence`
# changes, so that nobody but the store sees these writes.
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
# Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EntryStore(MetadataStore):
    """A store in which the entries of silent writers expire."""

    def __init__(self):
        super().__init__()
        self.heard_at: dict[str, float] = {}
        # Names of the entries that their writers write again.
        self.beating: set[str] = set()
        threading.Thread(target=self.run_heartbeats, daemon=True).start()

    def put(self, kind: str, name: str, spec: object) -> None:
        if kind == "servers":
            self.heard_at[name] = time.monotonic()
            self.beating.add(name)
        super().put(kind, name, spec)

    def run_heartbeats(self) -> None:
        """Hears the writers while the store takes calls; removes silent entries."""
        while not self.closed.wait(HEARTBEAT_S / 4):
            now = time.monotonic()
            if not self.refusal_status:
                for name in list(self.beating):
                    if now - self.heard_at[name] >= HEARTBEAT_S:
                        self.heard_at[name] = now
            for name, at in list(self.heard_at.items()):
                if now - at > SILENT_HEARTBEATS * HEARTBEAT_S:
                    del self.heard_at[name]
                    self.delete("servers", name)


class Link:
    """Loopback proxy between one gateway and the store, or callers and a gateway."""

    def __init__(self, *, target: str):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.rejects = False
        self.lock = threading.Lock()
        self.open: list[socket.socket] = []
        self.listener = ThreadedListener(serve=self.relay)
        self.address = self.listener.address
        self.port = self.listener.port

    def reset_all(self) -> None:
        """Ends all open connections."""
        with self.lock:
            ended, self.open = self.open, []
        for sock in ended:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def reject(self) -> None:
        """Ends all connections, and new ones at once, until `accept` is called."""
        self.rejects = True
        self.reset_all()

    def accept(self) -> None:
        self.rejects = False

    def relay(self, client: socket.socket) -> None:
        if self.rejects:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.close()
            return
        try:
            server = socket.create_connection(self.target, 1)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        with self.lock:
            self.open += [client, server]
        backward = threading.Thread(
            target=self.pump, args=(server, client), daemon=True
        )
        backward.start()
        self.pump(client, server)
        backward.join()
        with self.lock:
            self.open = [item for item in self.open if item not in (client, server)]
        client.close()
        server.close()

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)


def start_store() -> tuple[EntryStore, MetadataStoreServer]:
    """Returns a running store with the configuration."""
    store = EntryStore()
    store.put("config", "main", configuration())
    return store, MetadataStoreServer(store)
