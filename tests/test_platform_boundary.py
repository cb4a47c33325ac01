"""Guards against names of the platform in code outside its adapter."""

from pathlib import Path

ROOT = Path(__file__).parents[1]
NAMES = (
    "/v1/kv-",
    "/v1/objects",
    "/v1/ready",
    "/v1/report",
    "AllowAnonymous",
    "ApiKeys",
    "Attempt-Id",
    "ColdRemainingMs",
    "Deadline-Ms: ",
    "Expect-Version",
    "Fencing-Token",
    "GapAimMs",
    "Instance-Id",
    "Kv-",
    "KvTokens",
    "Lease-Holder",
    "Length-Hint",
    "LinkMbps",
    "MaxReplicas",
    "Not-Executed",
    '"PathPrefix"',
    "Pin-Ms",
    "Prompt-Prefix",
    "Request-Priority",
    "Response-Signature",
    "SessionAffinity",
    "StoreRevision",
    "StreamResume",
    "Target-Instance",
    "TargetLatencyMs",
    "Token-Usage",
    "Weight-Versions",
    "ZonePrices",
    "fleetbench",
    "leaves_ms",
)
# The adapter, its tests, and the stand-ins that implement the platform's side.
ALLOWED = (
    "src/lagoonrill/platform/",
    "tests/platform/",
    "tests/test_platform_boundary.py",
    "standins/metadata_store.py",
    "standins/platform_api.py",
    "standins/platform_objects.py",
    "standins/scripted_endpoint.py",
)


def test_names_of_the_platform_stay_in_the_adapter():
    found = []
    for folder in ("src", "bench", "standins", "tests"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            name = path.relative_to(ROOT).as_posix()
            if name.startswith(ALLOWED):
                continue
            text = path.read_text()
            found += [f"{name}: {word}" for word in NAMES if word in text]
    assert found == []


def test_the_product_does_not_import_the_adapter():
    found = [
        path.relative_to(ROOT).as_posix()
        for path in (ROOT / "src/lagoonrill/_internal").rglob("*.py")
        if "lagoonrill.platform" in path.read_text()
        or "from ..platform" in path.read_text()
    ]
    assert found == []


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in (ROOT / "src/lagoonrill/platform").glob("*.py")
    )
    assert lines < 1_200
