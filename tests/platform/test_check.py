"""Guards against operators' configurations that are sent with mistakes."""

import json
import subprocess
import sys

import pytest

from lagoonrill._internal.commands.exit_status import ExitStatus
from standins.platform_objects import configuration


def sound(**changes) -> dict:
    document = configuration(**changes)
    document["Services"].append({"Name": "canary"})
    return document


def check(tmp_path, document, *arguments: str, current=None, settings=None):
    """Runs the command as a pipeline does; returns its status and report."""
    files = {"--current": current, "--settings": settings}
    command = [sys.executable, "-m", "lagoonrill.platform.check"]
    for option, content in {"FILE": document, **files}.items():
        if content is not None:
            path = tmp_path / f"{option.strip('-')}.json"
            path.write_text(json.dumps(content))
            command += [path] if option == "FILE" else [option, path]
    result = subprocess.run(
        [*command, *arguments], capture_output=True, text=True, timeout=60
    )
    return result.returncode, result.stdout, result.stderr


def report_of(*arguments, **options) -> tuple[int, dict]:
    status, output, _ = check(*arguments, "--json", **options)
    return status, json.loads(output)


def test_sound_configuration_and_the_object_that_holds_it(tmp_path):
    stored = {"Metadata": {"Name": "main"}, "Spec": sound()}
    for document in (sound(), stored):
        status, report = report_of(tmp_path, document, current=sound())
        assert status == ExitStatus.OK
        assert report == {
            "valid": True,
            "errors": [],
            "warnings": [],
            "differences": [],
        }


def test_each_entry_that_cannot_be_decoded_is_named(tmp_path):
    document = sound()
    document["Routes"][0]["Attempts"] = "many"
    document["Routes"][2]["Type"] = "other"
    document["Tenants"] = [{"Name": "shop", "ApiKeys": "key-1"}]
    status, output, errors = check(tmp_path, document)
    assert (status, output) == (ExitStatus.USAGE, "")
    places = [line.split(": ")[1] for line in errors.splitlines()]
    assert places == ["Routes[0].Attempts", "Routes[2]", "Tenants[0].ApiKeys"]
    assert "key-1" not in errors


def test_mistakes_have_the_names_of_the_platform(tmp_path):
    document = sound()
    document["Routes"].append({**document["Routes"][2], "Name": "second"})
    document["Routes"][0]["TargetLatencyMs"] = 16_000
    document["Tenants"] += [
        {"Name": "empty"},
        {"Name": "other", "ApiKeys": ["key-1"]},
    ]
    document["Services"].append({"Name": "unused"})
    status, report = report_of(tmp_path, document)
    assert status == ExitStatus.USAGE
    assert [item["key"] for item in report["errors"]] == [
        "Routes[3].PathPrefix",
        "Routes[0].TargetLatencyMs",
        "Tenants[2].ApiKeys[0]",
    ]
    assert [item["key"] for item in report["warnings"]] == [
        "Services[3]",
        "Tenants[1].ApiKeys",
    ]
    assert "key-1" not in json.dumps(report)


def test_settings_of_a_gateway_add_its_limits(tmp_path):
    addresses = ("callers", "readiness", "peer", "store")
    settings = {f"{name}_address": "10.0.0.1:80" for name in addresses}
    settings |= {"instance": "a", "zone": "z", "memory_mb": 2}
    settings["bounds"] = {"retry_ratio": 0.2, "retry_fixed": 0.5}
    status, report = report_of(tmp_path, sound(), settings=settings)
    assert status == ExitStatus.USAGE
    assert [item["key"] for item in report["errors"]] == [
        "Limits.MaxBodyBytes",
        "Routes[0].Attempts",
    ]


def test_differences_have_old_and_new_values_and_no_keys(tmp_path):
    document = sound(Version=8)
    document["Routes"][0]["TimeoutMs"] = 9000
    document["Tenants"][0]["ApiKeys"] = ["key-2"]
    document["Tenants"].append({"Name": "new", "ApiKeys": ["key-3"]})
    status, output, _ = check(tmp_path, document, current=sound())
    assert status == ExitStatus.DIFFERENT
    assert "Version: 7 -> 8" in output
    assert "Routes[ask].TimeoutMs: 15000.0 -> 9000.0" in output
    assert "Tenants[new]: added" in output
    assert output.splitlines()[-1].endswith(": 5")
    report = report_of(tmp_path, document, current=sound())[1]
    assert "key-" not in json.dumps(report) + output


@pytest.mark.parametrize(("version", "valid"), [(6, False), (7, False), (8, True)])
def test_changes_need_a_version_above_the_one_in_force(tmp_path, version, valid):
    document = sound(Version=version)
    document["Routes"][0]["TimeoutMs"] = 9000
    status, report = report_of(tmp_path, document, current=sound())
    assert report["valid"] is valid
    assert status == (ExitStatus.DIFFERENT if valid else ExitStatus.USAGE)


@pytest.mark.parametrize("current", [{}, 3, {"Version": "x"}])
def test_unusable_version_in_force_is_a_usage_error(tmp_path, current):
    status, _, errors = check(tmp_path, sound(), current=current)
    assert status == ExitStatus.USAGE
    assert "current.json" in errors
