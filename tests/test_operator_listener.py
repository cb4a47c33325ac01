"""Guards the operators' interface: authorization, limits and contents."""

import hashlib
import json
import socket

import pytest
import urllib3

from lagoonrill._internal.protocol.manifest import LatencyTarget, RequestClass
from lagoonrill._internal.protocol.settings import OperatorSettings
from lagoonrill._internal.state.metrics import Metrics
from lagoonrill._internal.transport.operator_listener import OperatorListener

KEY = "operator-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()


def fail():
    raise RuntimeError("fault of the test")


class Operator:
    """A running listener and a client of it."""

    def __init__(self):
        self.reason = ""
        self.drains = []
        self.metrics = Metrics()
        self.listener = OperatorListener(
            settings=OperatorSettings(
                host="127.0.0.1",
                port=0,
                key_digest=DIGEST,
                max_body_bytes=1_000,
                max_header_bytes=2_000,
                idle_timeout_s=0.5,
            ),
            readiness=[lambda: self.reason],
            metrics=[self.metrics.exposition],
            dumps={
                "metrics": self.metrics.dump,
                "broken": fail,
                "settings": lambda: {"key_digest": DIGEST, "list": [{"secret_key": 1}]},
            },
            drain=self.drains.append,
        )
        self.listener.start()
        self.pool = urllib3.PoolManager(retries=False)

    def ask(self, method, path, key=None, **options):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        url = f"http://127.0.0.1:{self.listener.port}{path}"
        headers |= options.pop("headers", {})
        return self.pool.request(method, url, headers=headers, **options)


@pytest.fixture
def operator():
    running = Operator()
    yield running
    running.listener.stop()


@pytest.mark.parametrize("key", [None, "", "wrong", DIGEST, KEY + "x"])
@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/metrics"), ("GET", "/dump"), ("POST", "/drain")]
)
def test_pages_need_the_key(operator, method, path, key):
    """Guards against a page that accepts a missing key or the digest of the key."""
    answer = operator.ask(method, path, key)
    assert answer.status == 401
    assert answer.json()["error"]["kind"] == "unauthorized"
    assert operator.drains == []


def test_health_and_readiness_need_no_key(operator):
    """Guards against a load balancer that cannot read why an instance is not ready."""
    assert operator.ask("GET", "/health").status == 200
    assert operator.ask("GET", "/ready").json() == {"ready": True, "reasons": []}
    operator.reason = "no manifest in force"
    answer = operator.ask("GET", "/ready")
    assert answer.status == 503
    assert answer.json()["reasons"] == ["no manifest in force"]


def test_dump_shows_each_component_and_no_keys(operator):
    """Guards against keys in a dump and a failed component that hides the others."""
    answer = operator.ask("GET", "/dump", KEY)
    assert answer.status == 200
    assert DIGEST not in answer.data.decode()
    dump = json.loads(answer.data)
    assert dump["settings"] == {"list": [{}]}
    assert dump["broken"] == {"error": "fault of the test"}
    assert dump["metrics"]["classes"] == []


def test_drain_is_requested_only_by_post(operator):
    """Guards against a drain that is triggered by a link or a crawler."""
    assert operator.ask("GET", "/drain", KEY).status == 405
    assert operator.drains == []
    assert operator.ask("POST", "/drain", KEY).status == 202
    assert len(operator.drains) == 1


def test_limits_of_the_settings_hold(operator):
    """Guards against clients that send large requests or leave them unfinished."""
    assert operator.ask("POST", "/drain", KEY, body=b"x" * 2_000).status == 413
    large = {"X-Large": "x" * 4_000}
    assert operator.ask("GET", "/health", headers=large).status in (413, 431)
    address = ("127.0.0.1", operator.listener.port)
    with socket.create_connection(address, timeout=5.0) as idle:
        idle.sendall(b"GET /health HTTP/1.1\r\n")
        assert not idle.recv(1_000).startswith(b"HTTP/1.1 200")
    assert operator.ask("GET", "/nothing", KEY).status == 404


def test_metrics_show_attainment_goodput_and_waste(operator):
    """Guards against failures counted as met and caller errors counted as missed."""
    metrics = operator.metrics
    menu = RequestClass(
        name="menu", tier=1, latency=LatencyTarget(first_token_ms=500, token_gap_ms=80)
    )
    met = {"first_token_s": 0.4, "token_gap_s": 0.05, "useful_tokens": 40}
    metrics.record_request(menu, result="ok", **met)
    metrics.record_request(menu, result="ok", first_token_s=0.6, useful_tokens=2)
    metrics.record_request(menu, result="ok", **met | {"token_gap_s": 0.09})
    metrics.record_request(menu, result="truncated", **met)
    metrics.record_request(menu, result="overloaded")
    metrics.record_request(menu, result="bad_request")
    metrics.record_shed("menu", "queue_full")
    metrics.record_wasted("hedge", 7)
    text = operator.ask("GET", "/metrics", KEY).data.decode()
    lines = text.splitlines()
    assert 'lagoonrill_attainment{class="menu"} 0.2' in lines
    assert 'lagoonrill_useful_tokens_total{class="menu"} 82.0' in lines
    assert 'lagoonrill_useful_answers_total{class="menu"} 3.0' in lines
    assert 'lagoonrill_sheds_total{class="menu",reason="queue_full"} 1.0' in lines
    assert 'lagoonrill_wasted_tokens_total{cause="hedge"} 7.0' in lines
    assert 'lagoonrill_requests_total{class="menu",result="overloaded"} 1.0' in lines
    assert 'lagoonrill_first_token_seconds_count{class="menu"} 4.0' in lines
    summary = metrics.dump().classes[0].first_token
    assert summary.p50_s == pytest.approx(0.4, rel=0.02)
    assert summary.max_s == pytest.approx(0.6, rel=0.02)
