"""Configuration, endpoints and findings in the platform's metadata store."""

import ipaddress
from typing import Annotated
from urllib.parse import quote, urlencode

import logbook
import msgspec
from returns.result import Failure, Result, Success

from .._internal.coordination.crash_findings import CrashFinding
from .._internal.coordination.object_names import default_name, finding_name
from .._internal.coordination.policy.crash_evidence import Cause
from .._internal.coordination.policy.stream_history import (
    DefaultVersion,
    StreamRecord,
)
from .._internal.coordination.record_batches import StoredBatch, StoredStream
from .._internal.coordination.store_follower import (
    ObjectChanges,
    ObjectList,
    StoreObject,
)
from .._internal.coordination.stream_records import StoredOrigins
from .._internal.protocol.checks import check_encodable
from .._internal.protocol.errors import StoreConflict, StoreError, StoreInDoubt
from .._internal.protocol.headers import decode_era
from .._internal.protocol.lenient_json import decode_response
from .._internal.protocol.routing import EndpointRecord
from .._internal.transport.sockets import parse_address
from .._internal.transport.store_client import StoreClient, StoreResponse
from .._internal.transport.store_connection import StoreConnection
from ._configuration import decode_configuration

log = logbook.Logger("platform")

OBJECTS_PATH = "/v1/objects/"
JSON_HEADERS = {"Content-Type": "application/json"}
# In all answers; it rises by one each time the store comes back from an older copy.
ERA_HEADER = "Store-Era"
CONFIG_KIND = "config"
# Name of the only configuration object.
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
# Objects of the router itself: what crashes endpoints.
FINDING_KIND = "poison-parts"
# Objects of the router itself: at which software versions streams began.
ORIGIN_KIND = "stream-origins"
# Name of the object of that kind with the era in which it is complete.
ERA_NAME = "complete-era"
# Timeout of a list call, after which it is retried. The store responds within a few
# milliseconds, and within some hundred when it is slow. A call that is lost at the end
# of an outage is repeated early enough for the instance to know all changes three
# seconds after the outage.
CALL_TIMEOUT_S = 1.5
# Short, so that the recovery of an unreachable store is detected quickly.
CONNECT_TIMEOUT_S = 0.7
# Added to the wait of a watch to get its read timeout; the same as of a list.
WATCH_MARGIN_S = CALL_TIMEOUT_S
# A stream waits for the write of its record, which is repeated after this time.
WRITE_TIMEOUT_S = 0.5
# With these statuses, the store has done nothing.
REFUSAL_STATUSES = (503,)
# A call for each of the four kinds; watches have connections of their own.
CONNECTIONS = 4

# Bounds of numbers in entries, beyond what any endpoint writes. Peers exchange integers
# of 64 bits, and other writers may have stored any number.
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 24 * 3_600 * 1000
MAX_LEAVES_MS = 24 * 3_600 * 1000
MAX_UNIX_MS = 2**53
MAX_VERSION_CHARACTERS = 200
# An error may quote text of an entry, which can have any length.
MAX_LOGGED_ERROR_CHARACTERS = 200

LEAVING_BY_STATE = {"ready": False, "draining": True}


UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class WireMetadata(msgspec.Struct, rename="pascal"):
    """Metadata of an object."""

    name: str


class WireObject(msgspec.Struct, rename="pascal"):
    """An object of the store; `spec` is the content set by its writer."""

    metadata: WireMetadata
    spec: object = None


class WireList(msgspec.Struct, rename="pascal"):
    """One page of objects; `more` is set if there are further pages."""

    items: list[object] = []
    more: bool = False
    store_revision: int = 0
    # Not part of the body; see `ERA_HEADER`.
    era: int = 0


class WireEvent(msgspec.Struct):
    """A change; for a removed object, `subject` is its last state."""

    subject: object = msgspec.field(name="Object")
    removed: bool = msgspec.field(name="Removed", default=False)


class WireChanges(msgspec.Struct):
    """Changes after the requested revision."""

    events: list[WireEvent] = []
    store_revision: int = msgspec.field(name="StoreRevision", default=0)
    # Not part of the body; see `ERA_HEADER`.
    era: int = 0


class WireServer(msgspec.Struct, rename="pascal"):
    """The entry that an endpoint writes for itself."""

    service: str
    address: str
    zone: str
    # `ready` if the endpoint accepts new requests, otherwise `draining`.
    state: str
    slots: Annotated[int, msgspec.Meta(ge=-MAX_SLOTS, le=MAX_SLOTS)] = 1
    # Remaining duration of the cold start, in which the endpoint is slow.
    cold_remaining_ms: Annotated[
        float, msgspec.Meta(ge=-MAX_COLD_MS, le=MAX_COLD_MS)
    ] = 0.0
    # Version of the endpoint's software.
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARACTERS)] = ""
    # Start time in Unix milliseconds; it distinguishes restarts under the same id.
    born: UnixMs = msgspec.field(name="born", default=0)
    # Whether the endpoint runs on capacity that may be withdrawn.
    spot: bool = False
    # Time until the endpoint is withdrawn.
    leaves_ms: (
        Annotated[float, msgspec.Meta(ge=-MAX_LEAVES_MS, le=MAX_LEAVES_MS)] | None
    ) = msgspec.field(name="leaves_ms", default=None)


class WireFinding(msgspec.Struct, rename="pascal"):
    """A request, or parts of prompts, that crash the endpoints of a service."""

    service: str
    # Unix time in milliseconds.
    found_ms: UnixMs
    # Fingerprint of the request; empty if the parts are the cause.
    request: str = ""
    parts: list[str] = []


def decode_endpoint(name: str, spec: object) -> EndpointRecord:
    """Returns the endpoint of an entry; raises `ValueError` if it is invalid."""
    wire = msgspec.convert(spec, WireServer)
    check_encodable(name, wire.service, wire.zone, wire.version, wire.address)
    if wire.state not in LEAVING_BY_STATE:
        raise ValueError(f"unknown state {wire.state!r}")
    host, _ = parse_address(wire.address)
    # A name would be looked up on each connect, which may block.
    ipaddress.IPv4Address(host)
    return EndpointRecord(
        id=name,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=max(1, wire.slots),
        leaving=LEAVING_BY_STATE[wire.state],
        incarnation=wire.born,
        cold_s=max(0.0, wire.cold_remaining_ms / 1000),
        version=wire.version,
        spot=wire.spot,
        leaves_s=None if wire.leaves_ms is None else max(0.0, wire.leaves_ms / 1000),
    )


def decode_config_object(name: str, spec: object):
    """Returns the configuration, or None for an object of another name."""
    return decode_configuration(spec) if name == CONFIG_NAME else None


class StoreObjectSource:
    """Lists and watches the objects of one kind for a `StoreFollower`."""

    def __init__(
        self,
        *,
        client: StoreClient,
        kind: str,
        decode,
        watch_connection: StoreConnection,
    ):
        self.client = client
        self.watch_connection = watch_connection
        self.path = OBJECTS_PATH + kind
        self.kind = kind
        self.decode = decode

    def list(self) -> Result[ObjectList, StoreError]:
        """Returns the objects of all pages, with the revision of the first page.

        A change between two pages is reported again by `changes` after that revision.
        """
        objects: list[StoreObject] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        while True:
            query = f"?{urlencode({'After': after})}" if after else ""
            result = self._get("list", self.path + query, WireList)
            if not isinstance(result, Success):
                return result
            page = result.unwrap()
            if era is not None and page.era != era:
                # The pages are from different histories.
                message = "list: the store was restored between two pages"
                return Failure(StoreInDoubt(message=message))
            era = page.era
            found = [self._object(raw) for raw in page.items]
            objects.extend(item for item in found if item is not None)
            revision = page.store_revision if revision is None else revision
            if not (page.more and objects) or objects[-1].name == after:
                return Success(ObjectList(objects=objects, revision=revision, era=era))
            after = objects[-1].name

    def changes(
        self, *, since: int, wait_s: float
    ) -> Result[ObjectChanges, StoreError]:
        """Waits for changes after revision `since` for up to `wait_s` seconds."""
        query = urlencode({"Watch": since, "WaitMs": int(wait_s * 1000)})
        result = self._get(
            "watch",
            f"{self.path}?{query}",
            WireChanges,
            read_timeout_s=wait_s + WATCH_MARGIN_S,
            connection=self.watch_connection,
        )
        return result.map(self._changes)

    def interrupt(self) -> bool:
        """Ends the pending call of `changes`; returns False if none is pending."""
        return self.watch_connection.interrupt()

    def _get(self, call: str, path: str, kind: type, **options):
        label = f"{call} {self.kind}"
        result = self.client.call(label, "GET", path, **options)
        return result.bind(
            lambda response: self.client.decoded(
                label, lambda: self._decode(response, kind)
            )
        )

    def _decode(self, response: StoreResponse, kind: type):
        answer = decode_response(response.data, kind)
        answer.era = decode_era(response.headers.get(ERA_HEADER))
        return answer

    def _changes(self, wire: WireChanges) -> ObjectChanges:
        last: dict[str, tuple[bool, WireObject]] = {}
        has_unnamed = False
        for event in wire.events:
            item = self._named(event.subject)
            if item is None:
                has_unnamed = True
                continue
            # Only the last state of an object is decoded: a configuration is large,
            # and several versions may come at once.
            last.pop(item.metadata.name, None)
            last[item.metadata.name] = (event.removed, item)
        changed = [
            self._decoded(item) for removed, item in last.values() if not removed
        ]
        removed = [name for name, (removed, _) in last.items() if removed]
        return ObjectChanges(
            changed=changed,
            removed=removed,
            revision=wire.store_revision,
            era=wire.era,
            complete=not has_unnamed,
        )

    def _object(self, found: object) -> StoreObject | None:
        wire = self._named(found)
        return None if wire is None else self._decoded(wire)

    def _named(self, found: object) -> WireObject | None:
        """Returns an object whose content is not decoded; None if it has no name."""
        try:
            wire = msgspec.convert(found, WireObject)
            check_encodable(wire.metadata.name)
            return wire
        except ValueError as error:
            # msgspec.ValidationError is a ValueError.
            log.warning(
                "ignored an object of kind {} without a name: {}",
                self.kind,
                repr(error)[:MAX_LOGGED_ERROR_CHARACTERS],
            )
            return None

    def _decoded(self, wire: WireObject) -> StoreObject:
        """Decodes an object; invalid content is returned as None with the name."""
        content = None
        try:
            content = self.decode(wire.metadata.name, wire.spec)
        except Exception as error:
            # Whatever one entry holds, the others have to be read.
            log.warning(
                "ignored invalid content of {} {}: {}",
                self.kind,
                quote(wire.metadata.name),
                repr(error)[:MAX_LOGGED_ERROR_CHARACTERS],
            )
        return StoreObject(name=wire.metadata.name, content=content)


def object_path(kind: str, name: str) -> str:
    return f"{OBJECTS_PATH}{kind}/{quote(name, safe='')}"


def create_object(
    client: StoreClient, kind: str, name: str, wire: msgspec.Struct
) -> Result[StoreResponse, StoreError]:
    """Creates an object; fails if the store has one of that name."""
    body = msgspec.json.encode({"Metadata": {"Name": name}, "Spec": wire})
    path = OBJECTS_PATH + kind
    return client.call(f"create {kind}", "POST", path, headers=JSON_HEADERS, body=body)


def replace_object(
    client: StoreClient, kind: str, name: str, wire: msgspec.Struct, **condition: int
) -> Result[StoreResponse, StoreError]:
    """Replaces an object; the status is 404 if the store has none of that name."""
    metadata = {"Name": name, **condition}
    body = msgspec.json.encode({"Metadata": metadata, "Spec": wire})
    path = object_path(kind, name)
    return client.call(f"write {kind}", "PUT", path, headers=JSON_HEADERS, body=body)


def put_object(
    client: StoreClient, kind: str, name: str, wire: msgspec.Struct
) -> Result[StoreResponse, StoreError]:
    """Replaces an object, or creates it if the store does not have it."""
    result = replace_object(client, kind, name, wire)
    if isinstance(result, Success) and result.unwrap().status == 404:
        return create_object(client, kind, name, wire)
    return result


def delete_object(
    client: StoreClient, kind: str, name: str
) -> Result[StoreResponse, StoreError]:
    """Removes an object; it is no error if the store does not have it."""
    return client.call(f"delete {kind}", "DELETE", object_path(kind, name))


def unwatched_source(client: StoreClient, kind: str, decode) -> StoreObjectSource:
    """Returns a source of the router's own objects, which are only listed."""
    return StoreObjectSource(
        client=client, kind=kind, decode=decode, watch_connection=None
    )


def decode_finding(name: str, spec: object) -> CrashFinding:
    """Returns the finding in an object; raises `ValueError` if it is invalid."""
    wire = msgspec.convert(spec, WireFinding)
    cause = Cause(
        service=wire.service, request=wire.request, parts=frozenset(wire.parts)
    )
    return CrashFinding(cause=cause, found_at=wire.found_ms / 1000)


class StoreFindings:
    """What crashes endpoints, one object for each finding."""

    def __init__(self, *, client: StoreClient):
        self.client = client
        self.source = unwatched_source(client, FINDING_KIND, decode_finding)

    def list(self) -> Result[list[CrashFinding], StoreError]:
        """Returns the findings; objects that cannot be decoded are left out."""
        return self.source.list().map(lambda found: found.contents())

    def add(self, finding: CrashFinding) -> Result[object, StoreError]:
        """Writes a finding, unless the store has it."""
        wire = WireFinding(
            service=finding.cause.service,
            request=finding.cause.request,
            parts=sorted(finding.cause.parts),
            found_ms=round(finding.found_at * 1000),
        )
        result = create_object(self.client, FINDING_KIND, finding_name(finding), wire)
        if isinstance(result, Failure) and isinstance(result.failure(), StoreConflict):
            return Success(None)
        return result

    def remove(self, finding: CrashFinding) -> Result[object, StoreError]:
        """Removes a finding; it is no error if the store does not have it."""
        return delete_object(self.client, FINDING_KIND, finding_name(finding))


class WireDefaultVersion(msgspec.Struct, rename="pascal", tag="default"):
    """The version of streams of a service that are recorded nowhere."""

    service: str
    version: str
    number: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class WireCompleteEra(msgspec.Struct, rename="pascal", tag="complete-era"):
    """The era in which all records of streams are in the store again."""

    era: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class WireStreams(msgspec.Struct, rename="pascal"):
    """Streams of a service that began at a version, with Unix times in ms."""

    service: str
    version: str
    begun: list[tuple[str, UnixMs]]


class WireBatch(msgspec.Struct, rename="pascal", tag="streams"):
    """Records of streams that one instance wrote."""

    instance: str
    streams: list[WireStreams]


def decode_origins(
    name: str, spec: object
) -> DefaultVersion | StoredBatch | WireCompleteEra:
    """Returns what an object says of origins; raises `ValueError` if it is invalid."""
    wire = msgspec.convert(spec, WireDefaultVersion | WireBatch | WireCompleteEra)
    if isinstance(wire, WireCompleteEra):
        return wire
    if isinstance(wire, WireDefaultVersion):
        return DefaultVersion(**msgspec.structs.asdict(wire))
    streams = tuple(
        StoredStream(
            record=StreamRecord(key=key, service=group.service, version=group.version),
            begun_at=begun_ms / 1000,
        )
        for group in wire.streams
        for key, begun_ms in group.begun
    )
    return StoredBatch(name=name, instance=wire.instance, streams=streams)


def encode_batch(batch: StoredBatch) -> WireBatch:
    """Groups the records of a batch, so that versions are not repeated."""
    groups: dict[tuple[str, str], WireStreams] = {}
    for stream in batch.streams:
        record = stream.record
        group = groups.setdefault(
            (record.service, record.version),
            WireStreams(service=record.service, version=record.version, begun=[]),
        )
        group.begun.append((record.key, round(stream.begun_at * 1000)))
    return WireBatch(instance=batch.instance, streams=list(groups.values()))


class StoreOrigins:
    """Origins of streams: objects for batches of records, and for defaults."""

    def __init__(self, *, client: StoreClient):
        self.client = client
        self.source = unwatched_source(client, ORIGIN_KIND, decode_origins)

    def list(self) -> Result[StoredOrigins, StoreError]:
        """Returns the origins; objects that cannot be decoded are left out."""
        return self.source.list().map(self._origins)

    def _origins(self, found: ObjectList) -> StoredOrigins:
        contents = found.contents()
        eras = [item.era for item in contents if isinstance(item, WireCompleteEra)]
        return StoredOrigins(
            era=found.era,
            complete_era=max(eras, default=0),
            defaults=[item for item in contents if isinstance(item, DefaultVersion)],
            batches=[item for item in contents if isinstance(item, StoredBatch)],
        )

    def write(
        self, batch: StoredBatch, *, is_created: bool
    ) -> Result[object, StoreError]:
        """Replaces the object of a batch, or creates it."""
        write = put_object if is_created else create_object
        return write(self.client, ORIGIN_KIND, batch.name, encode_batch(batch))

    def confirm_era(self, era: int) -> Result[object, StoreError]:
        """Stores that all records are there again in this era."""
        return put_object(self.client, ORIGIN_KIND, ERA_NAME, WireCompleteEra(era=era))

    def remove(self, name: str) -> Result[object, StoreError]:
        """Removes a batch; it is no error if the store does not have it."""
        return delete_object(self.client, ORIGIN_KIND, name)

    def add_default(self, default: DefaultVersion) -> Result[object, StoreError]:
        """Creates the object of a default; fails if one of this number exists."""
        wire = WireDefaultVersion(**msgspec.structs.asdict(default))
        return create_object(self.client, ORIGIN_KIND, default_name(default), wire)

    def remove_default(self, default: DefaultVersion) -> Result[object, StoreError]:
        """Removes a replaced default; it is no error if the store does not have it."""
        return delete_object(self.client, ORIGIN_KIND, default_name(default))


class StoreSources(msgspec.Struct, kw_only=True):
    """Everything that the router reads from and writes to the store."""

    configs: StoreObjectSource
    endpoints: StoreObjectSource
    findings: StoreFindings
    origins: StoreOrigins


def open_sources(address: str) -> StoreSources:
    """Returns the sources in the store at an address."""
    client = StoreClient(
        url=f"http://{address}",
        call_timeout_s=CALL_TIMEOUT_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        connections=CONNECTIONS,
        write_timeout_s=WRITE_TIMEOUT_S,
        refusal_statuses=REFUSAL_STATUSES,
    )
    configs, endpoints = (
        StoreObjectSource(
            client=client,
            kind=kind,
            decode=decode,
            watch_connection=client.open_connection(),
        )
        for kind, decode in (
            (CONFIG_KIND, decode_config_object),
            (ENDPOINT_KIND, decode_endpoint),
        )
    )
    return StoreSources(
        configs=configs,
        endpoints=endpoints,
        findings=StoreFindings(client=client),
        origins=StoreOrigins(client=client),
    )
