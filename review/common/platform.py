"""The platform's store, its links to single gateways, and the configuration."""

import contextlib
import socket
import threading

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


def start_store() -> tuple[MetadataStore, MetadataStoreServer]:
    """Returns a running store with the configuration."""
    store = MetadataStore()
    store.put("config", "main", configuration())
    return store, MetadataStoreServer(store)
