"""Guards against answers that count as complete although the endpoint failed.

Each row of docs/design/answer-ends.md is a parameter of these tests.
"""

import contextlib
import enum
import socket

import pytest

from lagoonrill._internal.protocol import load
from lagoonrill._internal.protocol.endpoint_errors import EndpointBroken
from lagoonrill._internal.protocol.manifest import Endpoint
from lagoonrill._internal.transport import sockets
from lagoonrill._internal.transport.endpoint_client import EndpointClient
from lagoonrill._internal.transport.load_client import LoadClient
from standins.ending_endpoint import (
    RESET_DELAY_S,
    EndingEndpoint,
    Ends,
    Reads,
    chunked,
    unframed,
    unframed_stream,
    with_length,
)
from standins.scripted_endpoint import ScriptedEndpoint, encode_response, event
from tests.gateway_kit import Gateway, wait_until

SMALL = b"{}"
LARGE = b"x" * (3 * 2**20)
# With a send buffer of this size, the gateway is still writing a large body when the
# answer arrives. By default, its send buffer holds the whole body.
SEND_BUFFER_BYTES = 65_536
# The gateway sees a close within this time, also on a busy processor.
SEEN_DELAY_S = 0.3


class Upload(enum.Enum):
    """What the gateway has done with the body when the answer ends."""

    SMALL = "small"
    IN_SEND_BUFFER = "in send buffer"
    BEING_WRITTEN = "being written"

    @property
    def body(self) -> bytes:
        return SMALL if self is Upload.SMALL else LARGE


@pytest.fixture
def limit_send_buffer(monkeypatch):
    def limit(upload: Upload) -> None:
        if upload is Upload.BEING_WRITTEN:
            option = (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            options = [*sockets.KEEPALIVE_OPTIONS, option]
            monkeypatch.setattr(sockets, "KEEPALIVE_OPTIONS", options)

    return limit


@pytest.fixture
def gateway_before():
    """Returns a function that starts a gateway in front of given endpoints."""
    with contextlib.ExitStack() as opened:

        def build(service: str, *endpoints) -> Gateway:
            for endpoint in endpoints:
                opened.callback(endpoint.close)
            gateway = Gateway({service: list(endpoints)}).start()
            opened.callback(gateway.origins.stop)
            opened.callback(gateway.listener.close)
            return gateway

        yield build


# How much of the upload the endpoint reads, with the sizes to test, and the status that
# the caller of a request that must not be repeated gets for each end.
RESULTS = [
    (Reads.WHOLE, Upload, {Ends.CLOSE: 200, Ends.CLOSE_THEN_RESET: 200}),
    (
        Reads.WHOLE_AFTER_HEAD,
        (Upload.IN_SEND_BUFFER, Upload.BEING_WRITTEN),
        {Ends.CLOSE: 200, Ends.CLOSE_THEN_RESET: 200},
    ),
    (Reads.PART, (Upload.IN_SEND_BUFFER, Upload.BEING_WRITTEN), {}),
    (Reads.NOTHING, (Upload.SMALL,), {Ends.CLOSE: 200, Ends.CLOSE_THEN_RESET: 200}),
    (Reads.NOTHING, (Upload.IN_SEND_BUFFER, Upload.BEING_WRITTEN), {}),
]
ROWS = [
    pytest.param(
        reads,
        upload,
        ends,
        served.get(ends, 502),
        id=f"{reads.value}-{upload.value}-{ends.value}".replace(" ", "_"),
    )
    for reads, uploads, served in RESULTS
    for upload in uploads
    for ends in Ends
]


def keep_connection(gateway: Gateway) -> None:
    """Serves one request, so that the next one is sent on the same connection."""
    assert gateway.ask("/status/0", id="r0")[0].status == 200
    assert wait_until(lambda: any(gateway.pool.idle.values()))


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize(("reads", "upload", "ends", "status"), ROWS)
def test_answer_without_a_length_is_complete_only_after_the_upload(
    gateway_before, limit_send_buffer, reads, upload, ends, status, kept
):
    limit_send_buffer(upload)
    # A caller that is served needs the close to be seen before the reset.
    delay_s = SEEN_DELAY_S if status == 200 else RESET_DELAY_S
    endpoint = EndingEndpoint(
        id="e0", reads=reads, ends=ends, kept=kept, reset_delay_s=delay_s
    )
    gateway = gateway_before("app", endpoint)
    if kept:
        keep_connection(gateway)
    response, answer = gateway.ask("/order/1", body=upload.body)
    assert response.status == status, answer
    if status == 200:
        assert answer == b"answer to r1"
    (*_, sent) = gateway.events("request_sent")
    assert sent["reused"] is kept


@pytest.mark.parametrize("ends", [Ends.CLOSE, Ends.CLOSE_THEN_RESET])
@pytest.mark.parametrize("answer", [with_length, chunked])
def test_early_answer_that_states_its_own_end_is_served(
    gateway_before, limit_send_buffer, answer, ends
):
    # It is complete whatever the endpoint reads of the upload.
    limit_send_buffer(Upload.BEING_WRITTEN)
    endpoint = EndingEndpoint(id="e0", reads=Reads.PART, ends=ends, answer=answer)
    gateway = gateway_before("app", endpoint)
    response, body = gateway.ask("/order/1", body=LARGE)
    assert (response.status, body) == (200, b"answer to r1")


@pytest.mark.parametrize("ends", Ends)
def test_repeatable_request_is_sent_to_another_endpoint(gateway_before, ends):
    failing = EndingEndpoint(id="e0", reads=Reads.PART, ends=ends)
    gateway = gateway_before("app", failing, ScriptedEndpoint(id="e1"))
    response, body = gateway.ask("/status/1", body=LARGE)
    assert (response.status, body) == (200, b"answer to r1")


@pytest.mark.parametrize(("reads", "whole"), [(Reads.WHOLE, True), (Reads.PART, False)])
@pytest.mark.parametrize("upload", [Upload.IN_SEND_BUFFER, Upload.BEING_WRITTEN])
def test_stream_without_chunks_is_complete_only_after_the_upload(
    gateway_before, limit_send_buffer, reads, whole, upload
):
    limit_send_buffer(upload)
    endpoint = EndingEndpoint(id="e0", reads=reads, answer=unframed_stream)
    gateway = gateway_before("models", endpoint)
    response, _ = gateway.ask("/plan/1", body=LARGE)
    assert response.status == 200
    assert response.whole is whole


def interim_then_answer(request) -> bytes:
    return b"HTTP/1.1 102 Processing\r\n\r\n" + unframed(request)


def test_interim_answer_does_not_end_the_upload(gateway_before, limit_send_buffer):
    limit_send_buffer(Upload.BEING_WRITTEN)
    endpoint = EndingEndpoint(
        id="e0", reads=Reads.WHOLE_AFTER_HEAD, answer=interim_then_answer
    )
    response, _ = gateway_before("app", endpoint).ask("/order/1", body=LARGE)
    assert response.status == 200


# The statuses below 100 and above 599 that a status line of three digits can have.
INVALID_STATUSES = (0, 99, 600, 999)


def status_answer(status: int):
    """Returns an answer of a status, with the marks that an answer of 200 has."""

    def build(request) -> bytes:
        options = {"extra": (b"Content-Type: text/event-stream",)}
        return encode_response(request, event(1), b"%03d Odd" % status, **options)

    return build


def answer_after(status: int, extra: bytes):
    """Returns another answer of a status, followed by a sound one."""

    def build(request) -> bytes:
        return b"HTTP/1.1 %03d Odd\r\n%b\r\n" % (status, extra) + with_length(request)

    return build


ODD_ANSWERS = {
    "answer": status_answer,
    "not_run": lambda status: answer_after(status, b"X-Not-Run: 1\r\n"),
    "interim": lambda status: answer_after(status, b""),
    "other_id": lambda status: answer_after(
        status, b"X-Request-Id: r0\r\nContent-Length: 0\r\n"
    ),
}


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("kind", ODD_ANSWERS)
def test_invalid_status_is_a_failure_of_the_endpoint(
    gateway_before, kind, status, kept
):
    odd = ODD_ANSWERS[kind](status)
    gateway = gateway_before("app", EndingEndpoint(id="e0", answer=odd, kept=kept))
    if kept:
        keep_connection(gateway)
    response, _ = gateway.ask("/order/1")
    assert response.status == 502
    assert response.getheader("X-Proof") is None
    assert gateway.registry.is_suspect("e0")


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_repeatable_request_leaves_an_endpoint_with_invalid_statuses(
    gateway_before, status
):
    odd = EndingEndpoint(id="e0", answer=status_answer(status))
    gateway = gateway_before("app", odd, ScriptedEndpoint(id="e1"))
    response, body = gateway.ask("/status/1")
    assert (response.status, body) == (200, b"answer to r1")


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_does_not_enter_a_stream(gateway_before, status):
    odd = EndingEndpoint(id="e0", answer=status_answer(status))
    response, body = gateway_before("models", odd).ask("/plan/1")
    assert response.status == 502
    assert event(1) not in body


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_of_a_load_report_is_a_failure(status):
    # An endpoint that serves no load reports counts as one that answers.
    odd = EndingEndpoint(id="e0", answer=status_answer(status))
    client = LoadClient(threads=1)
    result = client.fetch(f"http://{odd.address}")
    client.close()
    odd.close()
    assert isinstance(result.failure(), load.EndpointSilent)


@pytest.mark.parametrize("status", [600, 999])
@pytest.mark.parametrize("is_stream", [False, True])
def test_invalid_status_of_a_call_by_manifest_is_a_failure(status, is_stream):
    odd = EndingEndpoint(id="e0", answer=status_answer(status))
    endpoint = Endpoint(id="e0", url=f"http://{odd.address}", zone="z", slots=1)
    client = EndpointClient(instance="test")
    if is_stream:
        handle = client.new_handle()
        options = {"stream_id": "s", "priority": 1, "handle": handle}
        result = client.open_stream(endpoint, body=SMALL, timeout_s=1.0, **options)
    else:
        options = {"method": "POST", "path": "/x", "body": SMALL}
        result = client.call(endpoint, timeout_s=1.0, **options)
    client.close()
    odd.close()
    assert isinstance(result.failure(), EndpointBroken)


@pytest.mark.parametrize(
    ("reads", "is_whole"), [(Reads.WHOLE, True), (Reads.PART, False)]
)
def test_call_by_manifest_without_a_length_is_complete_only_after_the_upload(
    reads, is_whole
):
    ending = EndingEndpoint(id="e0", reads=reads)
    endpoint = Endpoint(id="e0", url=f"http://{ending.address}", zone="z", slots=1)
    client = EndpointClient(instance="test")
    result = client.call(endpoint, method="POST", path="/x", body=LARGE, timeout_s=2.0)
    client.close()
    ending.close()
    if is_whole:
        assert result.unwrap().status == 200
    else:
        assert isinstance(result.failure(), EndpointBroken)


def test_reset_after_a_close_is_seen_although_nothing_is_unacknowledged():
    # After a close and a reset, `recv` returns the regular end of the input.
    with socket.create_server(("127.0.0.1", 0)) as listening:
        client = socket.create_connection(listening.getsockname())
        server, _ = listening.accept()
    client.sendall(SMALL)
    assert server.recv(1) == SMALL[:1]
    server.shutdown(socket.SHUT_WR)
    assert client.recv(1) == b""
    assert sockets.is_fully_received(client)
    # Closing with unread input resets the connection.
    server.close()
    assert wait_until(lambda: not sockets.is_fully_received(client))
    assert client.recv(1) == b""
    client.close()


def test_system_that_cannot_count_unacknowledged_bytes(monkeypatch):
    """Failure: every answer without a length would end with an internal error."""

    def unsupported(*args):
        raise OSError("unsupported")

    monkeypatch.setattr(sockets.fcntl, "ioctl", unsupported)
    first, second = socket.socketpair()
    with first, second:
        assert sockets.is_fully_received(first)
