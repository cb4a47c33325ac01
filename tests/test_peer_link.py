"""Guards the links between daemons: encryption, invalid input, unreachable peers."""

import time

import pytest
import zmq
from returns.pipeline import is_successful

from lagoonrill._internal.protocol.messages import (
    Leaving,
    StreamLocate,
    StreamLocation,
    encode_message,
)
from lagoonrill._internal.protocol.settings import CurveSettings
from lagoonrill._internal.transport.peer_link import QUEUE_LIMIT, PeerLink

from .support import wait_until

LOCATE_REQUEST = StreamLocate(stream_id="s")


def new_keys() -> CurveSettings:
    public, secret = zmq.curve_keypair()
    return CurveSettings(public_key=public.decode(), secret_key=secret.decode())


SHARED_KEYS = new_keys()
OTHER_KEYS = new_keys()


@pytest.fixture
def links():
    """Starts links on demand and stops them at the end."""
    started = []

    def start(curve=None, handler=None, **options) -> PeerLink:
        link = PeerLink(host="127.0.0.1", port=0, curve=curve, **options)
        answer = StreamLocation(stream_id="s", endpoint="llm-1")
        link.register_handler(StreamLocate, handler or (lambda message: answer))
        link.start()
        started.append(link)
        return link

    yield start
    for link in started:
        link.stop()


def ask(sender: PeerLink, receiver: PeerLink, timeout_s: float = 1.0):
    sender.connect(receiver.address)
    return sender.request(receiver.address, LOCATE_REQUEST, timeout_s)


@pytest.mark.parametrize("keys", [None, SHARED_KEYS], ids=["plain", "curve"])
def test_request_gets_its_own_reply(links, keys):
    """Guards against a reply that reaches another request."""

    def echo(message):
        time.sleep(0.05 if message.stream_id == "slow" else 0)
        return StreamLocation(stream_id=message.stream_id, endpoint="llm-1")

    sender, receiver = links(keys), links(keys, echo)
    assert is_successful(ask(sender, receiver, 5.0))
    late = sender.request(receiver.address, StreamLocate(stream_id="slow"), 0.01)
    assert not is_successful(late)
    for name in ("slow", "a", "b"):
        message = StreamLocate(stream_id=name)
        reply = sender.request(receiver.address, message, 5.0).unwrap()
        assert reply.stream_id == name
    # Handlers run in several threads, so the late reply may be the last one.
    wait_until(lambda: sender.counters.late_replies == 1)


@pytest.mark.parametrize("keys", [None, OTHER_KEYS], ids=["no key", "other key"])
def test_peer_without_the_shared_key_is_refused(links, keys):
    """Guards against a listener that accepts or answers unauthorized peers."""
    sender, receiver = links(keys), links(SHARED_KEYS)
    assert not is_successful(ask(sender, receiver))
    assert receiver.counters.received == 0
    assert is_successful(ask(links(SHARED_KEYS), receiver, 5.0))


def test_unauthorized_peer_with_the_public_key_is_refused(links):
    """Guards against a server that accepts every client key (libzmq's default)."""
    receiver = links(SHARED_KEYS)
    public, secret = zmq.curve_keypair()
    with zmq.Context() as context, context.socket(zmq.DEALER) as other_peer:
        other_peer.linger = 0
        other_peer.curve_serverkey = SHARED_KEYS.public_key.encode()
        other_peer.curve_publickey, other_peer.curve_secretkey = public, secret
        other_peer.connect(f"tcp://{receiver.address}")
        other_peer.send_multipart([b"12345678", encode_message(LOCATE_REQUEST)])
        assert other_peer.poll(1_000) == 0
    assert receiver.counters.received == 0


def test_undecodable_message_is_counted_and_dropped(links):
    """Guards against an invalid message that ends the receiving thread."""
    sender, receiver = links(), links()
    with zmq.Context() as context, context.socket(zmq.DEALER) as raw:
        raw.linger = 0
        raw.connect(f"tcp://{receiver.address}")
        for frames in ([b"", b"\xc1"], [b"", b"\x81\xa4type\xa1x"], [b"x"], [b""] * 5):
            raw.send_multipart(frames)
        wait_until(lambda: receiver.counters.undecodable == 4)
    assert is_successful(ask(sender, receiver, 5.0))


def test_failing_handler_is_answered_at_once(links):
    """Guards against an exception that ends the handler thread or causes a timeout."""

    def fail(message):
        raise RuntimeError("fault of the test")

    sender, receiver = links(), links(None, fail)
    for _ in range(2):
        began = time.monotonic()
        assert not is_successful(ask(sender, receiver, 5.0))
        assert time.monotonic() - began < 4.0
    assert receiver.counters.handler_errors == 2


def test_dead_peer_does_not_block_a_caller(links):
    """Guards against callers and messages to other peers blocked by a dead peer."""
    sender, receiver, dead = links(), links(), links()
    sender.connect(dead.address)
    dead.stop()
    assert is_successful(ask(sender, receiver, 5.0))
    began = time.monotonic()
    sent = [sender.send(dead.address, Leaving(instance="a")) for _ in range(1000)]
    assert time.monotonic() - began < 1.0
    assert sum(sent) <= QUEUE_LIMIT + 64
    assert is_successful(ask(sender, receiver, 1.0))


def test_slow_handlers_do_not_hold_up_other_messages(links):
    """Guards against heartbeats that are queued behind slow requests."""
    sender = links()
    receiver = links(None, lambda message: time.sleep(1.0), handler_threads=1)
    seen = []
    receiver.register_handler(Leaving, seen.append, inline=True)
    sender.connect(receiver.address)
    for _ in range(3):
        sender.send(receiver.address, LOCATE_REQUEST)
    sender.send(receiver.address, Leaving(instance="a"))
    assert wait_until(lambda: seen) < 0.9
