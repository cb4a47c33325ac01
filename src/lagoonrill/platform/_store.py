"""The platform's metadata store behind the product's store client."""

from urllib.parse import quote, urlencode

import logbook
import msgspec
from returns.result import Result, Success

from .._internal.coordination.store_follower import (
    ObjectChanges,
    ObjectList,
    StoreObject,
)
from .._internal.protocol import lenient_json
from .._internal.protocol.errors import StoreError
from .._internal.protocol.routing import EndpointRecord
from .._internal.transport.sockets import parse_address
from .._internal.transport.store_client import StoreClient
from ._configuration import decode_configuration

log = logbook.Logger("platform")

OBJECTS_PATH = "/v1/objects/"
CONFIG_KIND = "config"
# The only configuration object.
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
# A list that takes longer is asked for again; the store answers in milliseconds, and
# in some hundred when it is slow.
CALL_TIMEOUT_S = 2.0
# A store that is silent is asked anew often enough to notice its return quickly.
CONNECT_TIMEOUT_S = 0.7
# Added to a watch's own wait before its answer counts as lost.
WATCH_MARGIN_S = 2.0
# One watch for each kind, and a list beside it.
CONNECTIONS = 4

STATES = {"ready": False, "draining": True}


class WireMetadata(msgspec.Struct, rename="pascal"):
    """Identity of an object."""

    name: str


class WireObject(msgspec.Struct, rename="pascal"):
    """An object of the store; `spec` is what its writer put into it."""

    metadata: WireMetadata
    spec: object = None


class WireList(msgspec.Struct, rename="pascal"):
    """One page of objects; `more` asks for another call."""

    items: list[object] = []
    more: bool = False
    store_revision: int = 0


class WireEvent(msgspec.Struct):
    """A change; a removed object is given as it last was."""

    subject: object = msgspec.field(name="Object")
    removed: bool = msgspec.field(name="Removed", default=False)


class WireChanges(msgspec.Struct):
    """Changes after the revision that was asked for."""

    events: list[WireEvent] = []
    store_revision: int = msgspec.field(name="StoreRevision", default=0)


class WireServer(msgspec.Struct, rename="pascal"):
    """An endpoint's own entry."""

    service: str
    address: str
    zone: str
    # Whether it takes new work: `ready` or `draining`.
    state: str
    slots: int = 1
    # How much longer it stays slow.
    cold_remaining_ms: float = 0.0
    # Unix milliseconds of its start; the same id may start again.
    born: int = msgspec.field(name="born", default=0)


def read_answer(data: bytes, kind: type):
    """Decodes an answer; unreadable bytes of one entry leave the others readable.

    Raises `ValueError` if not even the structure can be read.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        log.warning("an answer of the store is read with replacements: {}", error)
        return msgspec.convert(lenient_json.loads(data), kind)


def decode_endpoint(name: str, spec: object) -> EndpointRecord:
    """Returns the endpoint of an entry; raises `ValueError` if it names none."""
    wire = msgspec.convert(spec, WireServer)
    if wire.state not in STATES:
        raise ValueError(f"unknown state {wire.state!r}")
    parse_address(wire.address)
    return EndpointRecord(
        id=name,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=max(1, wire.slots),
        leaving=STATES[wire.state],
        incarnation=wire.born,
        cold_s=wire.cold_remaining_ms / 1000,
    )


def decode_config_object(name: str, spec: object):
    """Returns the configuration, None for an object that is not the configuration."""
    return decode_configuration(spec) if name == CONFIG_NAME else None


class KindSource:
    """One kind of the store's objects, for a `StoreFollower`."""

    def __init__(self, *, client: StoreClient, kind: str, decode):
        self.client = client
        self.path = OBJECTS_PATH + kind
        self.kind = kind
        self.decode = decode

    def list(self) -> Result[ObjectList, StoreError]:
        """Lists all objects; pages are joined, as of the first one's revision.

        What changes between two pages is seen again as a change after that revision.
        """
        objects: list[StoreObject] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"?{urlencode({'After': after})}" if after else ""
            result = self._get("list", self.path + query, WireList)
            if not isinstance(result, Success):
                return result
            page = result.unwrap()
            found = [self._object(raw) for raw in page.items]
            objects.extend(item for item in found if item is not None)
            revision = page.store_revision if revision is None else revision
            if not (page.more and objects) or objects[-1].name == after:
                return Success(ObjectList(objects=objects, revision=revision))
            after = objects[-1].name

    def changes(
        self, *, since: int, wait_s: float
    ) -> Result[ObjectChanges, StoreError]:
        """Waits for changes after `since`."""
        query = urlencode({"Watch": since, "WaitMs": int(wait_s * 1000)})
        result = self._get(
            "watch", f"{self.path}?{query}", WireChanges, wait_s + WATCH_MARGIN_S
        )
        return result.map(self._changes)

    def _get(self, call: str, path: str, kind: type, timeout_s: float | None = None):
        label = f"{call} {self.kind}"
        result = self.client.call(label, "GET", path, read_timeout_s=timeout_s)
        return result.bind(
            lambda answer: self.client.decoded(
                label, lambda: read_answer(answer.data, kind)
            )
        )

    def _changes(self, wire: WireChanges) -> ObjectChanges:
        changed: dict[str, StoreObject] = {}
        removed: dict[str, None] = {}
        nameless = False
        for event in wire.events:
            item = self._object(event.subject)
            if item is None:
                nameless = True
                continue
            if event.removed:
                changed.pop(item.name, None)
                removed[item.name] = None
            else:
                removed.pop(item.name, None)
                changed[item.name] = item
        return ObjectChanges(
            changed=list(changed.values()),
            removed=list(removed),
            revision=wire.store_revision,
            complete=not nameless,
        )

    def _object(self, found: object) -> StoreObject | None:
        """Decodes an object; one without readable content keeps its name."""
        try:
            wire = msgspec.convert(found, WireObject)
        except msgspec.ValidationError as error:
            log.warning("an object of kind {} has no name: {}", self.kind, error)
            return None
        content = None
        try:
            content = self.decode(wire.metadata.name, wire.spec)
        except ValueError as error:
            # msgspec.ValidationError is a ValueError.
            log.warning(
                "{} {} is not used: {}", self.kind, quote(wire.metadata.name), error
            )
        return StoreObject(name=wire.metadata.name, content=content)


def open_sources(address: str) -> tuple[KindSource, KindSource]:
    """Returns the sources of the configuration and of the endpoints."""
    client = StoreClient(
        url=f"http://{address}",
        call_timeout_s=CALL_TIMEOUT_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        connections=CONNECTIONS,
    )
    return (
        KindSource(client=client, kind=CONFIG_KIND, decode=decode_config_object),
        KindSource(client=client, kind=ENDPOINT_KIND, decode=decode_endpoint),
    )
