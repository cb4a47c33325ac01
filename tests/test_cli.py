"""Guards against wrong exit statuses for pipelines, and against keys in output."""

import json
import os
import re
import subprocess
import sys

import msgspec
import pytest
from typer.testing import CliRunner

from lagoonrill._internal import cli
from lagoonrill._internal.commands import connection
from lagoonrill._internal.commands.exit_status import ExitStatus
from lagoonrill._internal.coordination.apply import ManifestRollout
from lagoonrill._internal.coordination.fleet_report import read_fleet
from lagoonrill._internal.protocol.codec import to_json
from standins.server import Response, StandIn, json_response
from tests.rollout_fleet import StoreClient, manifest, start_fleet
from tests.test_manifest import DOCS, example

KEY = "sk-operator-0123456789"
URLS = ["--object-api-url", "http://127.0.0.1:1"]
URLS += ["--instance-list-url", "http://127.0.0.1:1"]


def run_tool(*arguments: str, **environment: str) -> subprocess.CompletedProcess:
    """Runs the tool as a subprocess, as pipelines do."""
    return subprocess.run(
        [sys.executable, "-c", "from lagoonrill._internal.cli import main; main()"]
        + list(arguments),
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | environment,
    )


@pytest.fixture
def fleet(monkeypatch):
    return connect_fleet(monkeypatch)


def connect_fleet(monkeypatch):
    """Connects the tool's clients to an in-memory fleet with a simulated clock."""
    fleet = start_fleet("a1", "b1")
    store = StoreClient(fleet.store)
    monkeypatch.setattr(connection, "open_store", lambda settings: store)
    monkeypatch.setattr(connection, "open_instance_list", lambda settings: fleet.list)
    for function in (ManifestRollout.__init__, read_fleet):
        defaults = function.__kwdefaults__
        for name in ("clock", "wall_clock"):
            monkeypatch.setitem(defaults, name, fleet.clock)
    set_sleep(monkeypatch, fleet.advance)
    return fleet


def set_sleep(monkeypatch, sleep) -> None:
    monkeypatch.setitem(ManifestRollout.__init__.__kwdefaults__, "sleep", sleep)


def invoke(*arguments: str):
    return CliRunner().invoke(cli.app, [*arguments])


def write_manifest(tmp_path, number: int) -> str:
    path = tmp_path / f"{number}.json"
    document = msgspec.json.decode(to_json(manifest(number)))
    # The fleet's manifests name no model, which full validation rejects.
    document["models"] = [{"name": "m", "default_class": "c"}]
    document["endpoints"][0]["models"] = ["m"]
    path.write_text(json.dumps(document))
    return str(path)


def test_check_lists_every_mistake(tmp_path):
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(example()))
    assert run_tool("check", str(path)).returncode == ExitStatus.OK
    document = example()
    document["classes"][0]["tier"] = -1
    document["teams"][0]["key_digests"] = [KEY]
    path.write_text(json.dumps(document))
    result = run_tool("check", str(path))
    assert result.returncode == ExitStatus.USAGE
    assert len(result.stderr.splitlines()) == 2
    assert KEY not in result.stderr
    report = json.loads(run_tool("check", str(path), "--json").stdout)
    keys = [error["key"] for error in report["errors"]]
    assert keys == ["classes[0].tier", "teams[0].key_digests[0]"]


def test_apply_accepted_lost_race_and_pending(fleet, tmp_path):
    path = write_manifest(tmp_path, 2)
    result = invoke("apply", path, *URLS, "--json")
    assert result.exit_code == ExitStatus.OK
    assert json.loads(result.stdout)["zones"][0]["state"] == "accepted"
    again = invoke("apply", path, *URLS)
    assert again.exit_code == ExitStatus.OK
    assert "nothing written" in again.stdout
    other = write_manifest(tmp_path, 3)
    result = invoke("apply", other, *URLS, "--base-generation", "1")
    assert result.exit_code == ExitStatus.LOST_RACE
    del fleet.nodes["b1"]
    result = invoke("apply", other, *URLS, "--timeout-s", "5")
    assert result.exit_code == ExitStatus.PENDING
    assert "b1: pending, generation 2 (has not staged the proposal" in result.stdout


def test_apply_refused_and_unreachable(fleet, tmp_path):
    path = write_manifest(tmp_path, 2)
    fleet.nodes["a1"].rollout._validate_proposal = lambda found: "too many classes"
    result = invoke("apply", path, *URLS)
    assert result.exit_code == ExitStatus.REFUSED
    assert "too many classes" in result.stdout
    fleet.store.down = True
    result = invoke("apply", path, *URLS, "--timeout-s", "2")
    assert result.exit_code == ExitStatus.UNREACHABLE
    assert invoke("status", *URLS).exception.status == ExitStatus.UNREACHABLE


def test_interrupted_apply_withdraws_its_proposal(fleet, tmp_path, monkeypatch):
    def interrupt(seconds):
        raise KeyboardInterrupt

    set_sleep(monkeypatch, interrupt)
    result = invoke("apply", write_manifest(tmp_path, 2), *URLS)
    assert result.exit_code == ExitStatus.PENDING
    assert "interrupted" in result.stdout
    assert "config/proposal" not in fleet.store.objects


def test_status_names_pending_instances(fleet):
    result = invoke("status", *URLS, "--json")
    assert result.exit_code == ExitStatus.OK
    assert json.loads(result.stdout)["generation"] == 1
    fleet.list.add("b2", "b")
    result = invoke("status", *URLS)
    assert result.exit_code == ExitStatus.PENDING
    assert "b2: pending, generation 0 (has not reported yet)" in result.stdout


def test_usage_errors_name_the_remedy(tmp_path):
    settings = tmp_path / "tool.json"
    settings.write_text('{"object_api_url": "http://x", "instance_lst_url": "y"}')
    for arguments, text in [
        (["apply", str(tmp_path / "none.json"), *URLS], "Check the path"),
        (["status"], "--object-api-url"),
        (["status", "--config", str(settings)], "instance_list_url"),
        (["dump", "10.0.0.5:9000"], "LAGOONRILL_OPERATOR_KEY"),
        (["dump", "entry-1:9000", "--operator-key-file", __file__], "control"),
        (["schema", "x"], "'manifest' or 'settings'"),
    ]:
        result = run_tool(*arguments)
        assert result.returncode == ExitStatus.USAGE, arguments
        assert text in result.stderr


def test_no_option_takes_a_key():
    for command in ("dump", "drain", "ask"):
        result = run_tool(command, "x", "--operator-key", KEY, "--team-key", KEY)
        assert result.returncode == ExitStatus.USAGE


def test_documented_exit_statuses_are_those_of_the_tool():
    page = (DOCS / "cli.md").read_text()
    documented = re.findall(r"^\| (\d+) \| `(\w+)` \|", page, re.M)
    assert documented == [(str(int(status)), status.name) for status in ExitStatus]


def test_unreachable_daemon_and_completion():
    result = run_tool("dump", "127.0.0.1:1", LAGOONRILL_OPERATOR_KEY=KEY)
    assert result.returncode == ExitStatus.UNREACHABLE
    assert KEY not in result.stderr
    completed = run_tool(
        _LAGOONRILL_COMPLETE="complete_bash", COMP_WORDS="lagoonrill s", COMP_CWORD="1"
    )
    assert completed.stdout.split() == ["status", "schema"]


class Daemon(StandIn):
    """Stub of a daemon's listeners; `answer` is the response to chat requests."""

    def __init__(self):
        super().__init__(faults=msgspec.defstruct("Faults", [])())
        self.answer = Response()
        self.drained = False
        self.add_route("GET", "/dump", self.dump)
        self.add_route("POST", "/drain", self.drain)
        self.add_route("POST", "/v1/chat/completions", self.ask)

    def allowed(self, request) -> bool:
        return request.header("Authorization") == f"Bearer {KEY}"

    def dump(self, request):
        status = 200 if self.allowed(request) else 401
        return json_response({"generation": 7}, status=status)

    def drain(self, request):
        self.drained = self.allowed(request)
        return json_response({}, status=202 if self.drained else 401)

    def ask(self, request):
        return self.answer


@pytest.fixture
def daemon(monkeypatch):
    import threading

    from cheroot import wsgi

    stand_in = Daemon()
    server = wsgi.Server(("127.0.0.1", 0), stand_in, numthreads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    stand_in.address = f"127.0.0.1:{server.bind_addr[1]}"
    monkeypatch.setenv("LAGOONRILL_OPERATOR_KEY", KEY)
    monkeypatch.setenv("LAGOONRILL_TEAM_KEY", KEY)
    yield stand_in
    server.stop()
    thread.join()


def test_dump_and_drain_send_the_operator_key(daemon, tmp_path):
    result = invoke("dump", daemon.address, "--json")
    assert json.loads(result.stdout) == {"generation": 7}
    assert invoke("drain", daemon.address).exit_code == ExitStatus.OK
    assert daemon.drained
    wrong = tmp_path / "key"
    wrong.write_text("sk-other\n")
    result = invoke("drain", daemon.address, "--operator-key-file", str(wrong))
    assert result.exception.status == ExitStatus.UNAUTHORIZED


PART = b'data: {"choices": [{"delta": {"content": "two "}}]}\n\n'
LAST = b'data: {"choices": [{"delta": {}, "finish_reason": "stop"}]}\n\n'
TRUNCATED = b'data: {"error": {"kind": "truncated", "message": "m", "run": "ran"}}\n\n'
DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize(
    ("events", "status"),
    [
        ([PART, PART, LAST, DONE], ExitStatus.OK),
        ([PART, LAST], ExitStatus.OUTCOME_UNKNOWN),
        ([PART, DONE], ExitStatus.OUTCOME_UNKNOWN),
        ([PART, TRUNCATED], ExitStatus.OUTCOME_UNKNOWN),
        ([b"data: {\n\n"], ExitStatus.OUTCOME_UNKNOWN),
    ],
)
def test_ask_succeeds_only_with_a_complete_answer(daemon, events, status):
    headers = {"Content-Type": "text/event-stream"}
    daemon.answer = Response(body=events, headers=headers)
    result = invoke("ask", "hello", "--model", "m", "--address", daemon.address)
    assert result.exit_code == status
    if status is ExitStatus.OK:
        assert result.stdout == "two two \n"


@pytest.mark.parametrize(
    ("run", "status"),
    [("not_run", ExitStatus.NOT_RUN), ("unknown", ExitStatus.OUTCOME_UNKNOWN)],
)
def test_ask_says_whether_a_refused_request_was_run(daemon, run, status):
    error = {"kind": "overloaded", "message": "full", "run": run}
    daemon.answer = json_response({"error": error}, status=503)
    arguments = ["ask", "hello", "--model", "m", "--address", daemon.address, "--json"]
    result = invoke(*arguments)
    assert result.exit_code == status
    assert json.loads(result.stdout)["error"]["kind"] == "overloaded"
