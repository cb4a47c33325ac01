"""Guards against a success for an answer whose head an endpoint did not finish."""

import contextlib
import socket

import pytest

from standins.scripted_endpoint import (
    BEHAVIOURS,
    RESET_ON_CLOSE,
    STREAM_HEAD,
    chunk,
    encode_response,
    encode_response_head,
    event,
    wait_for_close,
)

BODY = b"body of the answer"
ENDINGS = ("close", "reset", "silence")
# Silence lasts until a time limit, so only some lengths are tried with it.
SILENT_STEP = 40


def whole_head(request, *, stream: bool) -> bytes:
    if stream:
        return encode_response_head(request) + STREAM_HEAD
    return encode_response(request, BODY)[: -len(BODY)]


def register_cut(length: int, ending: str, *, stream: bool) -> str:
    """Registers a behaviour that sends the first bytes of a head."""
    name = f"cut_head_{stream}_{ending}_{length}"

    def send(sock, request, endpoint) -> bool:
        endpoint.record_run(request)
        with contextlib.suppress(OSError):
            sock.sendall(whole_head(request, stream=stream)[:length])
        if ending == "silence":
            return wait_for_close(sock, endpoint)
        if ending == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False

    BEHAVIOURS[name] = send
    return name


class Request:
    def __init__(self, id: str):
        self.id = id

    def header(self, name: str) -> str:
        return self.id


def lengths(id: str, ending: str, *, stream: bool) -> range:
    step = SILENT_STEP if ending == "silence" else 1
    return range(0, len(whole_head(Request(id), stream=stream)), step)


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("path", ["/order/1", "/brief/1"])
def test_a_call_with_a_cut_head_is_no_success(gateway_for, path, ending):
    gateway, (endpoint,) = gateway_for("app", ["answer"])
    for length in lengths("r100", ending, stream=False):
        endpoint.script = [register_cut(length, ending, stream=False)]
        headers = {"X-Deadline-Ms": "300"}
        response, body = gateway.ask(path, id=f"r{100 + length}", headers=headers)
        assert response.status >= 500, (length, body)
        assert response.getheader("X-Proof") is None
    assert len(endpoint.runs) == len(lengths("r100", ending, stream=False))


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("path", ["/ask/1", "/plan/1"])
def test_a_stream_with_a_cut_head_is_no_success(gateway_for, path, ending):
    gateway, engines = gateway_for("models", ["stream"], ["stream"])
    for length in lengths("r100", ending, stream=True):
        for engine in engines:
            engine.script = [register_cut(length, ending, stream=True)]
        headers = {"X-Deadline-Ms": "300"}
        response, body = gateway.ask(path, id=f"r{100 + length}", headers=headers)
        assert response.status >= 500, (length, body)
        assert response.getheader("X-Proof") is None
    sends = sum(len(engine.runs) for engine in engines)
    assert sends >= len(lengths("r100", ending, stream=True))


@pytest.mark.parametrize("ending", ENDINGS)
def test_a_stream_that_goes_on_with_a_cut_head_is_not_whole(gateway_for, ending):
    gateway, engines = gateway_for("models", ["stream"], ["stream"])
    name = "begun_then_cut"
    for length in lengths("r100", ending, stream=True):
        cut = BEHAVIOURS[register_cut(length, ending, stream=True)]

        def begun_then_cut(sock, request, endpoint, cut=cut) -> bool:
            if request.header("Last-Event-Id") is not None:
                return cut(sock, request, endpoint)
            endpoint.record_run(request)
            sock.sendall(encode_response_head(request) + STREAM_HEAD + chunk(event(1)))
            return False

        BEHAVIOURS[name] = begun_then_cut
        for engine in engines:
            engine.script = [name]
        headers = {"X-Deadline-Ms": "300"}
        response, body = gateway.ask("/ask/1", id=f"r{100 + length}", headers=headers)
        assert response.status == 200
        assert not response.whole, (length, body)
        assert body == event(1)
