"""Backends, routers and client calls shared by the tests of the request path."""

import contextlib
import json
import socket
import time

import urllib3

from bench.local_router import KEY, MODEL, LocalRouter, local_manifest
from bench.processes import start_stand_in
from lagoonrill._internal.coordination.streams import StreamLimits
from standins.engine import expected_text

HTTP = urllib3.PoolManager(retries=False, maxsize=8)
AUTH = {"Authorization": f"Bearer {KEY}"}
FAST_LIMITS = StreamLimits(stall_timeout_s=0.5, retry_pause_s=0.05)


def start_engine(*arguments):
    return start_stand_in(
        "engine", "--model", MODEL, "--token-ms", "4", "--threads", "24", *arguments
    )


@contextlib.contextmanager
def running_router(*, engines=(), services=(), **options):
    manifest = local_manifest(
        engine_urls=[engine.url for engine in engines],
        service_urls=[getattr(service, "url", service) for service in services],
    )
    router = LocalRouter(manifest=manifest, limits=FAST_LIMITS, **options)
    router.start()
    try:
        yield router
    finally:
        router.stop()


def base_url(router):
    return f"http://127.0.0.1:{router.listener.port}"


def set_faults(process, **faults):
    HTTP.request("POST", f"{process.url}/faults", json=faults)


def fetch(process, path):
    return HTTP.request("GET", process.url + path).json()


def chat_fields(question, *, max_tokens=20, stream=True):
    messages = [{"role": "user", "content": question}]
    return {
        "model": MODEL,
        "messages": messages,
        "stream": stream,
        "max_tokens": max_tokens,
    }


def expected(fields):
    return expected_text(fields["messages"], max_tokens=fields["max_tokens"])


def post_chat(router, fields, **headers):
    url = f"{base_url(router)}/v1/chat/completions"
    return HTTP.request("POST", url, json=fields, headers=AUTH | headers)


def call_service(router, method, path, *, body=b"", **headers):
    url = f"{base_url(router)}/services/orders{path}"
    return HTTP.request(method, url, body=body, headers=AUTH | headers)


def read_events(body):
    """Returns the text of a streamed response and its last event."""
    events = [block for block in body.decode().split("\n\n") if block]
    text = []
    for event in events:
        data = event.split("data: ", 1)[1]
        if event.startswith("id:"):
            delta = json.loads(data)["choices"][0]["delta"]
            text.append(delta.get("content", ""))
    return "".join(text), events[-1]


def error_of(response):
    return response.json()["error"]


def wait_until(condition, timeout_s=3.0):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.01)


def raw_connection(router, *, receive_buffer=0):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(5)
    connection.connect(("127.0.0.1", router.listener.port))
    return connection


def raw_chat(router, fields, *, receive_buffer=0, **headers):
    """Sends a chat request on a new socket and returns the socket."""
    # Encodes JSON as urllib3 does, so that a retry sends the same bytes.
    body = json.dumps(fields, separators=(",", ":")).encode()
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: router",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (AUTH | headers).items()),
    ]
    connection = raw_connection(router, receive_buffer=receive_buffer)
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return connection


def receive_all(connection):
    received = b""
    with contextlib.suppress(OSError):
        while part := connection.recv(65_536):
            received += part
    return received


def closed_port_url():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{unused.getsockname()[1]}"
