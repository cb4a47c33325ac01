"""Guards against a store that comes back from an older copy and reuses revisions.

What was written since the copy is lost until its writers write it again.
"""

import json
import time

import pytest

from lagoonrill._internal.protocol.gateway_settings import GatewayBounds
from standins.platform_objects import configuration, versioned_configuration
from tests.gateway_kit import wait_until
from tests.platform.test_daemon_process import Instance
from tests.platform.test_silent_store import Fleet

CONTACT_S = GatewayBounds().contact_ms / 1000
APPLY_S = GatewayBounds().config_apply_ms / 1000
DRAIN_S = GatewayBounds().drain_ms / 1000
OUTAGE_S = 0.6
# In this time, both copies of an instance reach the newest revision of the store.
FOLLOW_S = 2.5


class RestoredFleet(Fleet):
    """Two instances whose store goes back, at a time that the test sets."""

    version = 9
    # Time of the copy from which the store comes back.
    copied_at = 0.0

    def settle(self) -> None:
        assert wait_until(lambda: self.all_meet(Instance.ready), 10)
        time.sleep(1.0)
        self.copied_at = time.monotonic()

    def write_lost_changes(self, *excluded) -> None:
        """Writes a configuration and entries that the copy does not have."""
        self.write_configuration()
        self.write_entries(*excluded)
        assert wait_until(self.knows_version, APPLY_S)
        time.sleep(FOLLOW_S)

    def write_entries(self, *excluded) -> None:
        for endpoint in self.endpoints:
            if endpoint not in excluded:
                self.register(endpoint, ColdRemainingMs=self.version)

    def write_configuration(self) -> None:
        self.version += 1
        self.store.put("config", "main", versioned_configuration(self.version))

    def restore(self, *, silent: bool = False, meanwhile=lambda: None) -> None:
        """Takes the store away for a moment; it comes back from the copy."""
        self.store.silent = silent
        self.store.refusal_status = 0 if silent else 503
        self.store.restore(time.monotonic() - self.copied_at)
        meanwhile()
        time.sleep(OUTAGE_S)
        self.store.refusal_status = 0
        self.store.silent = False

    def knows_version(self) -> bool:
        return self.all_meet(lambda one: one.state()["config_version"] == self.version)

    def lines(self, event: str) -> list[dict]:
        found = []
        for instance in self.instances:
            for line in instance.log.read_text().splitlines():
                if f'"{event}"' in line:
                    found.append(json.loads(line))
        return found

    def usable(self, endpoint) -> bool:
        """Returns whether some instance would send requests to an endpoint."""
        return not self.all_meet(
            lambda one: (
                not any(
                    item["record"]["id"] == endpoint.id
                    and not item["record"]["leaving"]
                    for item in one.state()["endpoints"]
                )
            )
        )


@pytest.fixture
def fleet(tmp_path):
    built = RestoredFleet(tmp_path)
    built.settle()
    yield built
    built.close()


def test_a_configuration_written_after_a_restore_is_in_force_in_time(fleet):
    fleet.write_lost_changes()
    fleet.restore()
    time.sleep(CONTACT_S)
    fleet.write_configuration()
    assert wait_until(fleet.knows_version, APPLY_S)


def test_changes_below_a_reused_revision_are_known(fleet):
    left = fleet.endpoints[0]
    fleet.write_lost_changes()

    def pass_the_old_revision():
        fleet.store.delete("servers", left.id)
        for _ in range(2):
            fleet.write_configuration()
            fleet.write_entries(left)

    fleet.restore(silent=True, meanwhile=pass_the_old_revision)
    assert wait_until(lambda: not fleet.usable(left), CONTACT_S + DRAIN_S)


@pytest.mark.parametrize("change", ["drain", "remove"])
def test_an_endpoint_that_left_in_the_lost_seconds_stays_out_of_use(fleet, change):
    left = fleet.endpoints[0]
    if change == "drain":
        fleet.register(left, State="draining")
    else:
        fleet.store.delete("servers", left.id)
    fleet.write_lost_changes(left)
    fleet.restore()
    until = time.monotonic() + CONTACT_S
    while time.monotonic() < until:
        assert not fleet.usable(left)
        time.sleep(0.1)


def test_an_endpoint_that_came_in_the_lost_seconds_stays_in_use(fleet):
    came = fleet.endpoints[0]
    fleet.store.delete("servers", came.id)
    time.sleep(FOLLOW_S)
    fleet.copied_at = time.monotonic()
    fleet.register(came)
    fleet.write_lost_changes()
    assert fleet.usable(came)
    fleet.restore()
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        assert fleet.usable(came)
        time.sleep(0.1)
    fleet.register(came)
    time.sleep(CONTACT_S)
    assert fleet.usable(came)


def test_an_endpoint_that_left_after_a_restore_is_known_in_time(fleet):
    fleet.write_lost_changes()
    fleet.restore()
    time.sleep(CONTACT_S)
    left = fleet.endpoints[0]
    fleet.register(left, State="draining")
    assert wait_until(lambda: not fleet.usable(left), DRAIN_S)


def test_a_store_that_went_back_is_not_asked_without_pause(fleet):
    fleet.write_lost_changes()
    fleet.restore()
    time.sleep(CONTACT_S)
    before = fleet.store.calls
    time.sleep(CONTACT_S)
    # One instance asks every 0.8 s, and both list again once for each kind.
    assert fleet.store.calls - before <= 12
    assert len(fleet.lines("store_answer_stale")) <= 4


def test_a_version_of_the_old_copy_does_not_replace_a_newer_one(fleet):
    fleet.write_lost_changes()
    fleet.restore()
    time.sleep(1.0)
    fleet.store.put("config", "main", configuration(Version=3))
    time.sleep(1.0)
    assert fleet.knows_version()
