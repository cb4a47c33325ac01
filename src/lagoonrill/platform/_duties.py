"""Leases and usage reports in the platform's store, and the calls to its API."""

import msgspec
from returns.result import Failure, Result, Success

from .._internal.duties.call_outcome import call_outcome
from .._internal.duties.lease import LeaseState
from .._internal.duties.platform_calls import CallOutcome
from .._internal.protocol.errors import StoreConflict, StoreError
from .._internal.protocol.headers import decode_era
from .._internal.protocol.messages import WindowUsage
from .._internal.transport.store_client import StoreClient, StoreResponse
from ._store import (
    ERA_HEADER,
    JSON_HEADERS,
    create_object,
    delete_object,
    object_path,
    put_object,
    replace_object,
    unwatched_source,
)

LEASE_KIND = "duties"
REPORT_KIND = "usage-reports"
# Counts of instances that are cut off from the holder of the lease.
COUNTS_KIND = "usage-counts"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
HOLDER_HEADER = "Lease-Holder"
TOKEN_HEADER = "Fencing-Token"
# A renewal has to end well before the lease time; the store responds in milliseconds.
STORE_TIMEOUT_S = 0.75
# A call to the API that takes longer is repeated. A renewal that waits for it must
# still come before a candidate takes the lease.
API_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
CONNECTIONS = 1


class WireRevision(msgspec.Struct, rename="pascal"):
    """Metadata of an object; without a revision if an answer does not name it."""

    revision: int = 0


class WireLease(msgspec.Struct, rename="pascal"):
    """Content of a lease object."""

    holder: str = ""
    incarnation: str = ""
    token: int = 0
    renewals: int = 0
    released: bool = False
    previous: str = ""
    progress: dict[str, int] = {}


class WireLeaseObject(msgspec.Struct, rename="pascal"):
    """A lease object."""

    metadata: WireRevision
    spec: WireLease


class WireReport(msgspec.Struct, rename="pascal"):
    """Content of a report object."""

    counts: dict[str, int]


class WireCounts(msgspec.Struct, rename="pascal"):
    """Content of an object with counts."""

    usage: list[WindowUsage]


class WireReportObject(msgspec.Struct, rename="pascal"):
    """A report object."""

    spec: WireReport


def decode_lease(response: StoreResponse) -> LeaseState:
    """Returns the lease in an answer; raises `ValueError` if it has none."""
    wire = msgspec.json.decode(response.data, type=WireLeaseObject)
    return LeaseState(
        **msgspec.structs.asdict(wire.spec),
        revision=wire.metadata.revision,
        era=decode_era(response.headers.get(ERA_HEADER)),
    )


class StoreDuties:
    """Lease objects and report objects in the platform's store."""

    def __init__(self, *, client: StoreClient):
        self.client = client
        self.counts = unwatched_source(client, COUNTS_KIND, decode_counts)

    def read(self, name: str) -> Result[LeaseState | None, StoreError]:
        """Returns a lease, or None if it does not exist."""
        label = f"get {LEASE_KIND}"
        return self.client.call(label, "GET", object_path(LEASE_KIND, name)).bind(
            lambda response: self.client.decoded(
                label,
                lambda: None if response.status == 404 else decode_lease(response),
            )
        )

    def write(
        self, name: str, state: LeaseState, revision: int | None
    ) -> Result[LeaseState, StoreError]:
        """Replaces a revision of a lease, or creates it without one."""
        wire = WireLease(
            **{field: getattr(state, field) for field in WireLease.__struct_fields__}
        )
        if revision is None:
            result = create_object(self.client, LEASE_KIND, name, wire)
        else:
            result = replace_object(
                self.client, LEASE_KIND, name, wire, Revision=revision
            )
        return result.bind(lambda response: self._written(name, state, response))

    def _written(
        self, name: str, state: LeaseState, response: StoreResponse
    ) -> Result[LeaseState, StoreError]:
        """Returns the written lease with its revision, which may have to be read."""
        if response.status == 404:
            return Failure(StoreConflict(message="the lease does not exist"))
        try:
            written = decode_lease(response)
        except ValueError:
            written = None
        if written is not None and written.revision:
            return Success(written)
        return self.read(name).bind(state.confirmed_by)

    def create_report(
        self, window: int, counts: dict[str, int]
    ) -> Result[object, StoreError]:
        """Creates the report of a window; fails if there is one."""
        wire = WireReport(counts=counts)
        return create_object(self.client, REPORT_KIND, str(window), wire)

    def read_report(self, window: int) -> Result[dict[str, int] | None, StoreError]:
        """Returns the counts of a window, or None if there is no report."""
        label = f"get {REPORT_KIND}"
        path = object_path(REPORT_KIND, str(window))
        return self.client.call(label, "GET", path).bind(
            lambda response: self.client.decoded(label, lambda: decode_report(response))
        )

    def remove_report(self, window: int) -> Result[object, StoreError]:
        """Removes a report; it is no error if the store does not have it."""
        return delete_object(self.client, REPORT_KIND, str(window))

    def write_counts(
        self, instance: str, usage: list[WindowUsage]
    ) -> Result[object, StoreError]:
        """Replaces the counts that an instance has written, or creates the object."""
        return put_object(self.client, COUNTS_KIND, instance, WireCounts(usage=usage))

    def read_counts(self) -> Result[list[WindowUsage], StoreError]:
        """Returns the counts of all objects; those that are invalid are left out."""
        return self.counts.list().map(
            lambda found: [entry for usage in found.contents() for entry in usage]
        )


def decode_counts(name: str, spec: object) -> list[WindowUsage]:
    """Returns the counts in an object; raises `ValueError` if it is invalid."""
    return msgspec.convert(spec, WireCounts).usage


def decode_report(response: StoreResponse) -> dict[str, int] | None:
    """Returns the counts in an answer; raises `ValueError` if it has none."""
    if response.status == 404:
        return None
    return msgspec.json.decode(response.data, type=WireReportObject).spec.counts


class PlatformCalls:
    """Calls of the holder of a lease to the platform's API."""

    def __init__(self, *, client: StoreClient, instance: str):
        self.client = client
        self.instance = instance

    def report_usage(
        self, *, window: int, counts: dict[str, int], token: int
    ) -> CallOutcome:
        """Reports the requests of each team in a window."""
        return self._post(USAGE_PATH, {"Window": window, "Counts": counts}, token)

    def order_endpoints(
        self, *, service: str, zone: str, count: int, spot: bool, token: int
    ) -> CallOutcome:
        """Orders the number of endpoints of one kind that a zone should have."""
        body = {"Service": service, "Zone": zone, "Desired": count}
        if spot:
            body["Spot"] = True
        return self._post(SCALE_PATH, body, token)

    def _post(self, path: str, body: dict, token: int) -> CallOutcome:
        headers = {HOLDER_HEADER: self.instance, TOKEN_HEADER: str(token)}
        result = self.client.call(
            path,
            "POST",
            path,
            headers=headers | JSON_HEADERS,
            body=msgspec.json.encode(body),
        )
        return call_outcome(result)


def open_store_duties(store_address: str) -> StoreDuties:
    """Returns the leases and reports in the store at an address."""
    return StoreDuties(client=open_client(store_address, STORE_TIMEOUT_S))


def open_calls(address: str, instance: str) -> PlatformCalls:
    """Returns the calls of an instance to the API at an address."""
    return PlatformCalls(client=open_client(address, API_TIMEOUT_S), instance=instance)


def open_client(address: str, timeout_s: float) -> StoreClient:
    return StoreClient(
        url=f"http://{address}",
        call_timeout_s=timeout_s,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        connections=CONNECTIONS,
    )
