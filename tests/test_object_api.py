"""Guards against Object API failures that report an unknown outcome as known."""

import json
import socket
import threading
import time

import pytest
import urllib3
from returns.result import Success

from bench.processes import start_stand_in
from lagoonrill._internal.protocol.errors import (
    StoreConflict,
    StoreHistoryGone,
    StoreInDoubt,
    StoreRejected,
    StoreUnavailable,
)
from lagoonrill._internal.protocol.settings import PlatformSettings
from lagoonrill._internal.transport.object_api import ObjectApi


def client(url, timeout_s=1.0):
    settings = PlatformSettings(
        object_api_url=url, instance_list_url="", call_timeout_s=timeout_s
    )
    return ObjectApi(settings=settings, instance="a")


@pytest.fixture
def store():
    process = start_stand_in("object_store")
    yield process
    process.kill()


def set_faults(url, **faults):
    return urllib3.request("POST", f"{url}/faults", body=json.dumps(faults))


def kind(result):
    return "ok" if isinstance(result, Success) else type(result.failure())


def test_conditional_writes_check_the_version(store):
    api = client(store.url)
    assert api.get("a/b").unwrap() is None
    version = api.create("a/b", b"1").unwrap()
    assert kind(api.create("a/b", b"2")) is StoreConflict
    newer = api.update("a/b", b"2", version=version).unwrap()
    assert kind(api.update("a/b", b"3", version=version)) is StoreConflict
    assert kind(api.update("a/c", b"3", version=version)) is StoreConflict
    assert kind(api.delete("a/b", version=version)) is StoreConflict
    assert kind(api.delete("a/b", version=newer)) == "ok"
    assert kind(api.delete("a/b")) == "ok"
    # Versions are never reused, so an old condition cannot match a new object.
    assert api.create("a/b", b"1").unwrap() > newer
    assert kind(api.create("a/large", bytes(1_000_001))) is StoreRejected


def test_list_pages_in_the_order_of_names(store):
    api = client(store.url)
    for name in ("p/3", "p/1", "q/1", "p/2"):
        api.create(name, name.encode())
    first = api.list("p/", limit=2).unwrap()
    rest = api.list("p/", after=first[-1].name, limit=2).unwrap()
    assert [item.name for item in first + rest] == ["p/1", "p/2", "p/3"]
    assert rest[0].value == b"p/3"


def test_watch_returns_changes_and_deletions_once(store):
    api = client(store.url)
    api.create("w/1", b"1")
    batch = api.watch("w/", since=0, wait_s=1.0).unwrap()
    assert [item.name for item in batch.objects] == ["w/1"]
    threading.Timer(0.2, lambda: client(store.url).delete("w/1")).start()
    started = time.monotonic()
    batch = api.watch("w/", since=batch.revision, wait_s=5.0).unwrap()
    assert batch.deleted == ["w/1"]
    assert 0.1 < time.monotonic() - started < 2.0
    assert api.watch("w/", since=batch.revision, wait_s=0.1).unwrap().objects == []


def test_a_store_that_went_back_to_an_older_copy_is_noticed(store):
    api = client(store.url)
    api.create("w/1", b"1")
    revision = api.watch("w/", since=0, wait_s=1.0).unwrap().revision
    result = api.watch("w/", since=revision + 5, wait_s=0.1)
    assert isinstance(result.failure(), StoreHistoryGone)


def test_faults_of_the_store_map_to_error_types(store):
    api = client(store.url, timeout_s=0.3)
    set_faults(store.url, lose_next=1, prefix="f/")
    assert kind(api.create("other", b"1")) == "ok"
    assert kind(api.create("f/lost", b"1")) is StoreInDoubt
    assert api.get("f/lost").unwrap().value == b"1"
    set_faults(store.url, late_next=1, late_ms=300)
    assert kind(api.create("f/late", b"1")) is StoreInDoubt
    assert api.get("f/late").unwrap() is None
    time.sleep(0.5)
    assert api.get("f/late").unwrap().value == b"1"
    set_faults(store.url, slow_ms=600)
    assert kind(api.create("f/slow", b"1")) is StoreInDoubt
    set_faults(store.url, slow_ms=0, refused_instances=["a"])
    assert kind(api.get("f/slow")) is StoreInDoubt
    assert api.dump().failures["create StoreInDoubt"] == 3


def test_down_refuses_connections_until_the_control_port_clears_it(store):
    api = client(store.url)
    assert kind(api.create("x", b"1")) == "ok"
    control = json.loads(urllib3.request("GET", f"{store.url}/stats").data)
    set_faults(store.url, down=True)
    assert kind(api.create("y", b"1")) is StoreUnavailable
    set_faults(f"http://127.0.0.1:{control['control_port']}", down=False)
    assert kind(api.create("y", b"1")) == "ok"


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"", StoreInDoubt),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", StoreInDoubt),
        (b"HTTP/1.1 200 OK\r\nETag: 1\r\nContent-Length: 9\r\n\r\nx", StoreInDoubt),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", StoreInDoubt),
        (b"HTTP/1.1 307 No\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", StoreInDoubt),
        (b"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", StoreRejected),
        (b"HTTP/1.1 412 No\r\nContent-Length: 0\r\n\r\n", StoreConflict),
    ],
)
def test_each_request_is_sent_once(answer, expected):
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(2.0)
        connections = []

        def serve():
            connection, _ = server.accept()
            connections.append(connection.recv(4096))
            connection.sendall(answer)
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        api = client(f"http://127.0.0.1:{server.getsockname()[1]}")
        assert kind(api.create("x", b"1")) is expected
        thread.join()
        server.settimeout(0.1)
        with pytest.raises(TimeoutError):
            server.accept()
    assert len(connections) == 1
    assert sum(api.dump().calls.values()) == 1
