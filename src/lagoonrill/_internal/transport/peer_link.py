"""Messages between daemons over ZeroMQ.

`PeerLink` binds one ROUTER socket to receive messages, and has a `PeerConnection` with
a DEALER socket for each peer address. Each socket is used by one thread only; other
threads put messages into bounded queues and wake the owner of the socket with an
eventfd. A message on the wire has two frames: the request id (empty for one-way
messages) and the MessagePack payload. A reply has the id of its request; an empty reply
payload means that the peer did not run the request.
"""

import contextlib
import hmac
import os
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import logbook
import msgspec
import zmq
from returns.result import Failure, Result, Success
from zmq.auth.thread import ThreadAuthenticator

from ..protocol.errors import PeerError
from ..protocol.messages import PeerMessage, decode_message, encode_message
from ..protocol.settings import CurveSettings

log = logbook.Logger("peer-link")

QUEUE_LIMIT = 256
HANDLER_THREADS = 8
ONE_WAY_LIFETIME_S = 5.0
# Large enough for a committed manifest, at most 1 MB as JSON, sent as MessagePack.
MAX_MESSAGE_BYTES = 4_000_000
SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 1_000
RECONNECT_FIRST_MS = 100
RECONNECT_MAX_MS = 2_000
# Closes a connection whose packets are no longer acknowledged, so that reconnecting
# does not wait for the exponential retransmission backoff of TCP.
UNACKNOWLEDGED_MS = 6_000
# ZeroMQ heartbeats detect a connection that failed without a reset, and replace it.
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 2_500
FLUSH_ON_STOP_MS = 500
BATCH_MESSAGES = 64

Handler = Callable[[PeerMessage], PeerMessage | None]


class Wakeup:
    """An eventfd that wakes a thread which polls sockets."""

    __slots__ = ("fd", "lock")

    def __init__(self):
        # Prevents a late `set` from writing to a descriptor that was closed and reused.
        self.lock = threading.Lock()
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def set(self) -> None:
        """Wakes the owner; thread-safe, and without effect after `close`."""
        with self.lock:
            if self.fd >= 0:
                os.eventfd_write(self.fd, 1)

    def clear(self) -> None:
        """Resets the eventfd after a wake-up."""
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)

    def close(self) -> None:
        """Closes the eventfd."""
        with self.lock:
            os.close(self.fd)
            self.fd = -1


class OutgoingMessage:
    """A queued message; it is dropped if it is still unsent at `expires_at`."""

    __slots__ = ("expires_at", "payload", "request_id")

    def __init__(self, *, request_id: bytes, payload: bytes, expires_at: float):
        self.request_id = request_id
        self.payload = payload
        self.expires_at = expires_at


class PendingReply:
    """A request that waits for its reply."""

    __slots__ = ("answered", "payload")

    def __init__(self):
        self.answered = threading.Event()
        self.payload: bytes | None = None


class LinkCounters(msgspec.Struct, kw_only=True):
    """Counters of a `PeerLink`; bytes are payloads and ids without TCP/IP headers."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    undecodable: int = 0
    refused_queue_full: int = 0
    expired: int = 0
    late_replies: int = 0
    handler_errors: int = 0
    handlers_busy: int = 0


class LinkDump(msgspec.Struct, kw_only=True):
    """Addresses and counters in the state dump."""

    address: str
    connections: list[str]
    encrypted: bool
    counters: LinkCounters


class PeerConnection:
    """Sends messages to one peer from a thread that owns a DEALER socket."""

    def __init__(
        self,
        *,
        context: zmq.Context,
        address: str,
        curve: CurveSettings | None,
        counters: LinkCounters,
    ):
        self.context = context
        self.address = address
        self.curve = curve
        self.counters = counters
        self.lock = threading.Lock()
        self.queue: deque[OutgoingMessage] = deque()
        # State updates supersede each other, so only the latest one is kept for a slow
        # peer.
        self.latest: OutgoingMessage | None = None
        self.pending: dict[bytes, PendingReply] = {}
        self.next_id = 0
        self.stopping = False
        self.wakeup = Wakeup()
        self.thread = threading.Thread(
            target=self._run, name=f"peer-{address}", daemon=True
        )
        self.thread.start()

    def put(self, payload: bytes) -> bool:
        """Queues a one-way message; returns False if the queue is full."""
        expires_at = time.monotonic() + ONE_WAY_LIFETIME_S
        return self._enqueue(
            OutgoingMessage(request_id=b"", payload=payload, expires_at=expires_at)
        )

    def put_latest(self, payload: bytes, lifetime_s: float) -> None:
        """Queues a state update, which replaces an earlier unsent one."""
        expires_at = time.monotonic() + lifetime_s
        with self.lock:
            if self.stopping:
                return
            self.latest = OutgoingMessage(
                request_id=b"", payload=payload, expires_at=expires_at
            )
            self.wakeup.set()

    def request(self, payload: bytes, timeout_s: float) -> Result[bytes, PeerError]:
        """Sends a request and waits for its reply, at most `timeout_s`."""
        pending = PendingReply()
        with self.lock:
            self.next_id += 1
            request_id = self.next_id.to_bytes(8, "big")
            self.pending[request_id] = pending
        expires_at = time.monotonic() + timeout_s
        queued = self._enqueue(
            OutgoingMessage(
                request_id=request_id, payload=payload, expires_at=expires_at
            )
        )
        if queued:
            pending.answered.wait(timeout_s)
        with self.lock:
            self.pending.pop(request_id, None)
        if not queued:
            return Failure(PeerError(message=f"queue to peer {self.address} is full"))
        if not pending.answered.is_set():
            message = f"peer {self.address} did not answer within {timeout_s:g} s"
            return Failure(PeerError(message=message))
        if not pending.payload:
            return Failure(
                PeerError(message=f"peer {self.address} did not run the request")
            )
        return Success(pending.payload)

    def stop(self) -> None:
        """Sends queued messages if the peer accepts them at once, then closes."""
        with self.lock:
            if self.stopping:
                return
            self.stopping = True
            waiting = list(self.pending.values())
            self.wakeup.set()
        for pending in waiting:
            pending.answered.set()

    def _enqueue(self, outgoing: OutgoingMessage) -> bool:
        with self.lock:
            if self.stopping or len(self.queue) >= QUEUE_LIMIT:
                self.counters.refused_queue_full += 1
                return False
            self.queue.append(outgoing)
            self.wakeup.set()
        return True

    def _open_socket(self) -> zmq.Socket:
        socket = self.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, FLUSH_ON_STOP_MS)
        socket.setsockopt(zmq.SNDHWM, SEND_BUFFER_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        # Without IMMEDIATE, stale heartbeats would be queued for a disconnected peer.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_FIRST_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        if self.curve is not None:
            socket.curve_serverkey = self.curve.public_key.encode()
            socket.curve_publickey = self.curve.public_key.encode()
            socket.curve_secretkey = self.curve.secret_key.encode()
        socket.connect(f"tcp://{self.address}")
        return socket

    def _run(self) -> None:
        # `PeerLink.stop` waits until every socket is closed.
        with contextlib.closing(self._open_socket()) as socket:
            self._serve(socket)
        self.wakeup.close()

    def _serve(self, socket: zmq.Socket) -> None:
        poller = zmq.Poller()
        poller.register(self.wakeup.fd, zmq.POLLIN)
        poller.register(socket, zmq.POLLIN)
        blocked = False
        while not self.stopping:
            events = dict(poller.poll())
            if self.wakeup.fd in events:
                self.wakeup.clear()
            if events.get(socket, 0) & zmq.POLLIN:
                self._receive(socket)
            was_blocked, blocked = blocked, not self._flush(socket)
            if blocked != was_blocked:
                poller.modify(socket, zmq.POLLIN | (zmq.POLLOUT if blocked else 0))
        self._flush(socket)

    def _take(self) -> OutgoingMessage | None:
        with self.lock:
            if self.queue:
                return self.queue.popleft()
            latest, self.latest = self.latest, None
            return latest

    def _put_back(self, outgoing: OutgoingMessage, *, was_latest: bool) -> None:
        with self.lock:
            if not was_latest:
                self.queue.appendleft(outgoing)
            elif self.latest is None:
                self.latest = outgoing

    def _flush(self, socket: zmq.Socket) -> bool:
        """Sends queued messages; returns False if the socket would block."""
        while True:
            was_latest = not self.queue
            outgoing = self._take()
            if outgoing is None:
                return True
            if time.monotonic() >= outgoing.expires_at:
                self.counters.expired += 1
                continue
            try:
                socket.send_multipart(
                    [outgoing.request_id, outgoing.payload], zmq.NOBLOCK
                )
            except zmq.Again:
                self._put_back(outgoing, was_latest=was_latest)
                return False
            self.counters.sent += 1
            self.counters.sent_bytes += len(outgoing.payload) + 8

    def _receive(self, socket: zmq.Socket) -> None:
        for _ in range(BATCH_MESSAGES):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            if len(frames) != 2:
                self.counters.undecodable += 1
                continue
            self.counters.received += 1
            self.counters.received_bytes += len(frames[1]) + 8
            with self.lock:
                pending = self.pending.pop(frames[0], None)
            if pending is None:
                self.counters.late_replies += 1
                continue
            pending.payload = frames[1]
            pending.answered.set()


class PeerLink:
    """Receives messages from all peers and sends messages to each of them.

    `inline` handlers run on the receiving thread and must not block. All others run on
    a thread pool with a bounded queue; a request is refused if the queue is full.
    `port` 0 binds an ephemeral port, which `address` contains after `start()`.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        curve: CurveSettings | None = None,
        advertised_address: str | None = None,
        handler_threads: int = HANDLER_THREADS,
    ):
        self.host = host
        self.port = port
        self.advertised_address = advertised_address
        self.curve = curve
        self.lock = threading.Lock()
        self.counters = LinkCounters()
        self.handlers: dict[type, Handler] = {}
        self.inline: set[type] = set()
        self.connections: dict[str, PeerConnection] = {}
        self.replies: deque[list[bytes]] = deque()
        self.free_handlers = threading.BoundedSemaphore(QUEUE_LIMIT)
        self.pool = ThreadPoolExecutor(handler_threads, "peer-handler")
        self.wakeup = Wakeup()
        self.stopping = False
        self.context: zmq.Context | None = None
        self.authenticator: ThreadAuthenticator | None = None
        self.thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Returns the address for peers to connect to, such as `10.0.0.1:7000`."""
        return self.advertised_address or f"{self.host}:{self.port}"

    def register_handler(
        self, message_type: type, handler: Handler, *, inline: bool = False
    ) -> None:
        """Sets the handler of a message type; a handler returns the reply or None."""
        self.handlers[message_type] = handler
        if inline:
            self.inline.add(message_type)

    def start(self) -> None:
        """Binds the socket; raises `zmq.ZMQError` if the address is in use."""
        self.context = zmq.Context()
        if self.curve is not None:
            self._start_authenticator()
        socket = self._open_socket()
        self.thread = threading.Thread(
            target=self._run, args=(socket,), name="peer-receive", daemon=True
        )
        self.thread.start()

    def stop(self) -> None:
        """Sends messages that are already queued and closes all sockets."""
        with self.lock:
            if self.stopping or self.context is None:
                return
            self.stopping = True
            connections = list(self.connections.values())
            self.connections.clear()
        for connection in connections:
            connection.stop()
        for connection in connections:
            connection.thread.join()
        self.wakeup.set()
        self.thread.join()
        self.pool.shutdown(wait=False, cancel_futures=True)
        if self.authenticator is not None:
            self.authenticator.stop()
        self.context.term()

    def connect(self, address: str) -> None:
        """Opens a connection to an address if there is none yet."""
        with self.lock:
            if self.stopping or address in self.connections:
                return
            self.connections[address] = PeerConnection(
                context=self.context,
                address=address,
                curve=self.curve,
                counters=self.counters,
            )

    def disconnect(self, address: str) -> None:
        """Closes the connection to an address."""
        with self.lock:
            connection = self.connections.pop(address, None)
        if connection is not None:
            connection.stop()

    def addresses(self) -> set[str]:
        """Returns the addresses with a connection."""
        with self.lock:
            return set(self.connections)

    def send(self, address: str, message: PeerMessage) -> bool:
        """Queues a one-way message; returns False if it was dropped."""
        connection = self._connection(address)
        return connection is not None and connection.put(encode_message(message))

    def send_to(self, addresses: set[str], message: PeerMessage) -> None:
        """Queues a one-way message, encoded once, for several peers."""
        payload = encode_message(message)
        with self.lock:
            connections = [self.connections.get(address) for address in addresses]
        for connection in connections:
            if connection is not None:
                connection.put(payload)

    def send_latest(self, address: str, payload: bytes, lifetime_s: float) -> None:
        """Queues an encoded state update, which replaces an earlier unsent one."""
        connection = self._connection(address)
        if connection is not None:
            connection.put_latest(payload, lifetime_s)

    def request(
        self, address: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, PeerError]:
        """Sends a request and waits for the reply, at most `timeout_s`."""
        connection = self._connection(address)
        if connection is None:
            return Failure(PeerError(message=f"no connection to peer {address}"))
        reply = connection.request(encode_message(message), timeout_s)
        return reply.bind(self._decode_reply)

    def dump(self) -> LinkDump:
        """Returns addresses and counters."""
        return LinkDump(
            address=self.address,
            connections=sorted(self.addresses()),
            encrypted=self.curve is not None,
            counters=msgspec.structs.replace(self.counters),
        )

    def _connection(self, address: str) -> PeerConnection | None:
        with self.lock:
            return self.connections.get(address)

    def _decode_reply(self, payload: bytes) -> Result[PeerMessage, PeerError]:
        try:
            return Success(decode_message(payload))
        except msgspec.DecodeError as error:
            self.counters.undecodable += 1
            return Failure(PeerError(message=f"undecodable reply: {error}"))

    def _start_authenticator(self) -> None:
        # Without an authenticator, libzmq accepts every client key.
        self.authenticator = ThreadAuthenticator(self.context)
        self.authenticator.start()
        self.authenticator.configure_curve_callback(credentials_provider=self)

    def callback(self, domain: str, key: bytes) -> bool:
        """Accepts clients that hold the shared key; called by the authenticator."""
        return hmac.compare_digest(bytes(key), self.curve.public_key.encode())

    def _open_socket(self) -> zmq.Socket:
        socket = self.context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, FLUSH_ON_STOP_MS)
        socket.setsockopt(zmq.SNDHWM, SEND_BUFFER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_BUFFER_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        if self.curve is not None:
            socket.curve_server = True
            socket.curve_publickey = self.curve.public_key.encode()
            socket.curve_secretkey = self.curve.secret_key.encode()
        if self.port == 0:
            self.port = socket.bind_to_random_port(f"tcp://{self.host}")
        else:
            socket.bind(f"tcp://{self.host}:{self.port}")
        return socket

    def _run(self, socket: zmq.Socket) -> None:
        with contextlib.closing(socket):
            self._serve(socket)
        self.wakeup.close()

    def _serve(self, socket: zmq.Socket) -> None:
        poller = zmq.Poller()
        poller.register(socket, zmq.POLLIN)
        poller.register(self.wakeup.fd, zmq.POLLIN)
        while not self.stopping:
            events = dict(poller.poll())
            if self.wakeup.fd in events:
                self.wakeup.clear()
            if socket in events:
                self._receive(socket)
            self._send_replies(socket)

    def _receive(self, socket: zmq.Socket) -> None:
        for _ in range(BATCH_MESSAGES):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._accept(frames)

    def _accept(self, frames: list[bytes]) -> None:
        self.counters.received += 1
        self.counters.received_bytes += sum(len(frame) for frame in frames[1:])
        try:
            identity, request_id, payload = frames
            message = decode_message(payload)
        except ValueError as error:
            # Covers msgspec.DecodeError, and unpacking a wrong number of frames.
            self.counters.undecodable += 1
            log.warning("dropped an undecodable message: {}", error)
            return
        if type(message) in self.inline:
            self._run_handler(identity, request_id, message)
        elif self.free_handlers.acquire(blocking=False):
            self.pool.submit(self._run_pooled, identity, request_id, message)
        else:
            self.counters.handlers_busy += 1
            self._reply(identity, request_id, b"")

    def _run_pooled(
        self, identity: bytes, request_id: bytes, message: PeerMessage
    ) -> None:
        try:
            self._run_handler(identity, request_id, message)
        finally:
            self.free_handlers.release()

    def _run_handler(
        self, identity: bytes, request_id: bytes, message: PeerMessage
    ) -> None:
        handler = self.handlers.get(type(message))
        reply = None
        try:
            reply = handler(message) if handler else None
        except Exception:
            # An error in one handler must not end the thread that serves all peers.
            self.counters.handler_errors += 1
            log.exception("handler of {} failed", type(message).__name__)
        payload = encode_message(reply) if reply is not None else b""
        self._reply(identity, request_id, payload)

    def _reply(self, identity: bytes, request_id: bytes, payload: bytes) -> None:
        if not request_id:
            return
        if len(self.replies) >= QUEUE_LIMIT:
            self.counters.refused_queue_full += 1
            return
        self.replies.append([identity, request_id, payload])
        self.wakeup.set()

    def _send_replies(self, socket: zmq.Socket) -> None:
        while self.replies:
            frames = self.replies.popleft()
            # A ROUTER socket drops messages to disconnected or slow peers.
            with contextlib.suppress(zmq.Again):
                socket.send_multipart(frames, zmq.NOBLOCK)
                self.counters.sent += 1
                self.counters.sent_bytes += len(frames[2]) + 8
