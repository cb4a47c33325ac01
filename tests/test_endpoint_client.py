"""Guards against endpoint failures that are classified as the wrong error."""

import socket
import threading
import time

import pytest
from returns.result import Failure

from lagoonrill._internal.protocol.endpoint_errors import (
    EndpointBroken,
    EndpointInDoubt,
    EndpointNotReached,
    EndpointRefused,
)
from lagoonrill._internal.protocol.manifest import Endpoint
from lagoonrill._internal.transport.endpoint_client import (
    ChunkedDecoder,
    EndpointClient,
)
from tests.request_path import closed_port_url

ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ScriptedEndpoint:
    """Answers each connection with the given bytes, then closes it."""

    def __init__(self, answer, *, pause_s=0.0):
        self.answer = answer
        self.pause_s = pause_s
        self.connections = 0
        self.listening = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.serve, daemon=True).start()
        url = f"http://127.0.0.1:{self.listening.getsockname()[1]}"
        self.endpoint = Endpoint(id="e", url=url, zone="z", slots=1)

    def serve(self):
        while True:
            connection = self.listening.accept()[0]
            self.connections += 1
            connection.recv(65_536)
            connection.sendall(self.answer)
            time.sleep(self.pause_s)
            connection.close()


@pytest.fixture
def client():
    client = EndpointClient(instance="test", connect_timeout_s=0.3)
    yield client
    client.close()


def call(client, endpoint, **options):
    return client.call(
        endpoint, method="POST", path="/x", body=b"{}", timeout_s=0.4, **options
    )


def stream(client, endpoint, handle=None):
    return client.open_stream(
        endpoint,
        body=b"{}",
        stream_id="s",
        priority=0,
        timeout_s=0.5,
        handle=handle or client.new_handle(),
    )


def test_refused_connection_is_never_sent(client):
    endpoint = Endpoint(id="e", url=closed_port_url(), zone="z", slots=1)
    assert isinstance(call(client, endpoint).failure(), EndpointNotReached)
    assert isinstance(stream(client, endpoint).failure(), EndpointNotReached)


@pytest.mark.parametrize("pause_s", [0.0, 1.0], ids=["closed", "silent"])
def test_sent_without_answer_is_in_doubt_and_not_sent_again(client, pause_s):
    scripted = ScriptedEndpoint(b"", pause_s=pause_s)
    failed = call(client, scripted.endpoint, fresh_connection=True)
    assert isinstance(failed.failure(), EndpointInDoubt)
    assert scripted.connections == 1


def test_answer_that_breaks_off_is_broken(client):
    scripted = ScriptedEndpoint(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    assert isinstance(call(client, scripted.endpoint).failure(), EndpointBroken)


def test_stream_that_breaks_off_is_broken_after_its_content(client):
    scripted = ScriptedEndpoint(ANSWER_HEAD + b"3\r\nabc\r\n")
    source = stream(client, scripted.endpoint).unwrap()
    assert source.read(0.5) == b"abc"
    with pytest.raises(EndpointBroken):
        source.read(0.5)


def test_silent_stream_times_out_and_stays_readable(client):
    scripted = ScriptedEndpoint(ANSWER_HEAD + b"3\r\nabc\r\n", pause_s=1.0)
    source = stream(client, scripted.endpoint).unwrap()
    assert source.read(0.5) == b"abc"
    with pytest.raises(TimeoutError):
        source.read(0.05)


def test_error_status_of_a_stream_is_refused(client):
    head = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"
    error = stream(client, ScriptedEndpoint(head).endpoint).failure()
    assert isinstance(error, EndpointRefused)
    assert (error.status, error.body) == (404, b"{}")


def test_whole_answer_to_a_stream_request_is_broken(client):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    failed = stream(client, ScriptedEndpoint(head).endpoint)
    assert isinstance(failed.failure(), EndpointBroken)


def test_abort_ends_a_call_that_waits(client):
    handle = client.new_handle()
    scripted = ScriptedEndpoint(b"", pause_s=5.0)
    threading.Timer(0.05, handle.abort).start()
    started_at = time.monotonic()
    assert isinstance(stream(client, scripted.endpoint, handle), Failure)
    assert time.monotonic() - started_at < 0.4


def test_waiting_chunks_are_read_together(client):
    chunks = b"".join(b"1\r\n%d\r\n" % digit for digit in range(8))
    scripted = ScriptedEndpoint(ANSWER_HEAD + chunks + b"0\r\n\r\n", pause_s=0.3)
    source = stream(client, scripted.endpoint).unwrap()
    assert source.read(0.5) == b"01234567"
    with pytest.raises(EndpointBroken):
        source.read(0.1)


def test_chunks_may_be_cut_anywhere():
    body = b"3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n"
    for cut in range(1, len(body)):
        decoder = ChunkedDecoder()
        assert decoder.feed(body[:cut]) + decoder.feed(body[cut:]) == b"abcdefg"
        assert decoder.ended
