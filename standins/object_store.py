"""Simulates the Object API.

The server uses an event loop because hundreds of watches wait concurrently. It prints
`ready <port> <control port>`. The control port serves the same paths and stays open
while `down` closes the main port, so that the fault can be cleared.

`GET /stats` returns the counters and the control port; `POST /faults` sets fields of
`Faults`.
"""

import asyncio
import random
import signal

import msgspec
from aiohttp import web
from sortedcontainers import SortedDict

from lagoonrill._internal.protocol.objects import VersionedObject, WatchBatch

from .server import argument_parser

MAX_VALUE_BYTES = 1_000_000
# Older deletions are discarded; a watch that starts before them is answered with 410.
MAX_DELETIONS = 100_000
CLOSE_WAIT_S = 0.01


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; `prefix` limits write faults to names that start with it.

    `down` refuses connections. `slow_ms` delays each call before it takes effect. The
    `lose_*` faults drop the connection after the write took effect; the `late_*` faults
    drop it `late_ms` before. Calls of `refused_instances` are dropped without effect.
    """

    down: bool = False
    slow_ms: float = 0.0
    prefix: str = ""
    lose_share: float = 0.0
    lose_next: int = 0
    late_share: float = 0.0
    late_next: int = 0
    late_ms: float = 100.0
    silent_watches: bool = False
    refused_instances: list[str] = []


class Stats(msgspec.Struct, kw_only=True):
    """Counters of calls, body bytes and calls affected by faults."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    watches: int = 0
    waiting_watches: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    lost_answers: int = 0
    late_writes: int = 0
    refused: int = 0
    revision: int = 0
    objects: int = 0
    control_port: int = 0


class Conflict(Exception):
    """Raised when the version condition of a write is not met."""


class ObjectStore:
    """Versioned objects; the version of an object is the revision of its last write."""

    def __init__(self):
        self.revision = 0
        self.objects: SortedDict[str, VersionedObject] = SortedDict()
        # Both are ordered by revision, since a name is reinserted when it changes.
        self.changed: dict[str, int] = {}
        self.deleted: dict[str, int] = {}
        self.compacted_revision = 0

    def get(self, name: str) -> VersionedObject | None:
        """Returns an object, or None if it does not exist."""
        return self.objects.get(name)

    def put(self, name: str, value: bytes, *, condition: int | None = None) -> int:
        """Writes an object and returns its version.

        `condition` is the expected current version, 0 if the object must not exist.
        """
        self.check(name, condition)
        self.revision += 1
        self.objects[name] = VersionedObject(
            name=name, version=self.revision, value=value
        )
        self.deleted.pop(name, None)
        self.changed.pop(name, None)
        self.changed[name] = self.revision
        return self.revision

    def delete(self, name: str, *, condition: int | None = None) -> bool:
        """Deletes an object; returns whether it existed."""
        self.check(name, condition)
        if self.objects.pop(name, None) is None:
            return False
        self.revision += 1
        self.changed.pop(name)
        self.deleted[name] = self.revision
        if len(self.deleted) > MAX_DELETIONS:
            self.compacted_revision = self.deleted.pop(next(iter(self.deleted)))
        return True

    def check(self, name: str, condition: int | None) -> None:
        """Raises `Conflict` if the current version differs from `condition`."""
        current = self.objects.get(name)
        if condition is not None and condition != (current.version if current else 0):
            raise Conflict(f"{name} is at {current.version if current else 'no'}")

    def list(self, prefix: str, after: str, limit: int) -> list[VersionedObject]:
        """Returns up to `limit` objects with the prefix and a name above `after`."""
        found = []
        for name in self.objects.irange(max(prefix, after)):
            if len(found) == limit or not name.startswith(prefix):
                break
            if name > after:
                found.append(self.objects[name])
        return found

    def changes(self, prefix: str, since: int) -> WatchBatch:
        """Returns the objects that were written or deleted after a revision."""
        objects = [
            self.objects[name]
            for name in names_changed_since(self.changed, prefix, since)
        ]
        deleted = names_changed_since(self.deleted, prefix, since) if since else []
        return WatchBatch(revision=self.revision, objects=objects, deleted=deleted)


def names_changed_since(
    revisions: dict[str, int], prefix: str, since: int
) -> list[str]:
    """Returns the names with a revision above `since`, oldest first."""
    names = []
    for name, revision in reversed(revisions.items()):
        if revision <= since:
            break
        if name.startswith(prefix):
            names.append(name)
    return names[::-1]


class ObjectStoreServer:
    """Serves an `ObjectStore` over HTTP with faults and counters."""

    def __init__(self, *, seed: int = 0):
        self.store = ObjectStore()
        self.faults = Faults()
        self.stats = Stats()
        self.random = random.Random(seed)
        self.waiting: dict[str, set[asyncio.Future]] = {}
        self.server = web.Server(self.handle, access_log=None)
        self.runner = web.ServerRunner(self.server)
        self.site: web.TCPSite | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, host: str, port: int) -> tuple[int, int]:
        """Opens the main port and the control port and returns both."""
        await self.runner.setup()
        self.address = (host, port)
        await self.open_port()
        control = web.TCPSite(self.runner, host, 0)
        await control.start()
        self.stats.control_port = self.runner.addresses[-1][1]
        return self.address[1], self.stats.control_port

    async def open_port(self) -> None:
        """Opens the main port, again on the same number after a fault."""
        host, port = self.address
        self.site = web.TCPSite(self.runner, host, port)
        await self.site.start()
        self.address = (host, self.site._server.sockets[0].getsockname()[1])

    async def close_port(self, except_for: web.BaseRequest) -> None:
        """Closes the main port and aborts its open connections."""
        await self.site.stop()
        self.site = None
        for connection in self.server.connections:
            transport = connection.transport
            if transport is None or transport is except_for.transport:
                continue
            if transport.get_extra_info("sockname")[1] == self.address[1]:
                transport.abort()
        # The event loop closes aborted connections in its next iteration; the fault
        # must be in effect before the response to `POST /faults` is sent.
        await asyncio.sleep(CLOSE_WAIT_S)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Dispatches a request by its path and applies the faults."""
        if request.path == "/faults":
            return await self.handle_faults(request)
        if request.path == "/stats":
            return self.answer_stats()
        if request.headers.get("X-Instance", "") in self.faults.refused_instances:
            self.stats.refused += 1
            return self.drop(request)
        if request.path == "/watch" and request.method == "GET":
            return await self.watch(request)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if request.path == "/objects" and request.method == "GET":
            return self.list(request)
        if request.path.startswith("/objects/"):
            return await self.handle_object(request, request.path[len("/objects/") :])
        return web.Response(status=400, text="no such path")

    async def handle_faults(self, request: web.BaseRequest) -> web.Response:
        """Returns the active faults, after a POST has updated the given fields."""
        if request.method == "POST":
            try:
                changes = msgspec.json.decode(await request.read())
                merged = msgspec.to_builtins(self.faults) | changes
                self.faults = msgspec.convert(merged, Faults)
            except (msgspec.DecodeError, TypeError) as error:
                return web.Response(status=400, text=str(error))
            if self.faults.down and self.site:
                await self.close_port(request)
            elif not self.faults.down and not self.site:
                await self.open_port()
        answer = json_answer(self.faults)
        if self.faults.down:
            answer.force_close()
        return answer

    def answer_stats(self) -> web.Response:
        """Returns the counters."""
        self.stats.revision = self.store.revision
        self.stats.objects = len(self.store.objects)
        self.stats.waiting_watches = sum(map(len, self.waiting.values()))
        return json_answer(self.stats)

    async def handle_object(self, request: web.BaseRequest, name: str):
        """Reads, writes or deletes an object."""
        if request.method == "GET":
            return self.get(name)
        value = await request.read()
        self.stats.writes += 1
        self.stats.received_bytes += len(value)
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413, text="value above 1 MB")
        write = self.prepare_write(request, name, value)
        if self.fault_applies(name, "late"):
            self.stats.late_writes += 1
            asyncio.get_running_loop().call_later(self.faults.late_ms / 1000, write)
            return self.drop(request)
        answer = write()
        if answer.status < 300 and self.fault_applies(name, "lose"):
            self.stats.lost_answers += 1
            return self.drop(request)
        return answer

    def prepare_write(self, request: web.BaseRequest, name: str, value: bytes):
        """Returns a function that applies the write and returns the response."""
        method = request.method
        condition = None
        if request.headers.get("If-None-Match") == "*":
            condition = 0
        elif "If-Match" in request.headers:
            condition = int(request.headers["If-Match"])

        def write() -> web.Response:
            try:
                return self.write(method, name, value, condition)
            except Conflict as error:
                self.stats.conflicts += 1
                return web.Response(status=412, text=str(error))

        return write

    def write(self, method, name, value, condition) -> web.Response:
        """Applies a write and notifies the watches on a prefix of the name."""
        if method == "PUT":
            version = self.store.put(name, value, condition=condition)
            answer = web.Response(headers={"ETag": str(version)})
        elif method == "DELETE":
            existed = self.store.delete(name, condition=condition)
            answer = web.Response(status=204 if existed else 404)
        else:
            return web.Response(status=405)
        if not self.faults.silent_watches:
            self.wake(name)
        return answer

    def wake(self, name: str) -> None:
        """Notifies the watches whose prefix matches a name."""
        for prefix, watches in self.waiting.items():
            if name.startswith(prefix):
                for watch in watches:
                    if not watch.done():
                        watch.set_result(None)

    def fault_applies(self, name: str, fault: str) -> bool:
        """Returns whether the write fault applies to this write."""
        if not name.startswith(self.faults.prefix):
            return False
        left = getattr(self.faults, f"{fault}_next")
        if left > 0:
            setattr(self.faults, f"{fault}_next", left - 1)
            return True
        share = getattr(self.faults, f"{fault}_share")
        return share > 0 and self.random.random() < share

    def drop(self, request: web.BaseRequest) -> web.Response:
        """Aborts the connection, so that no response is sent."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    def get(self, name: str) -> web.Response:
        """Returns an object with its version as `ETag`."""
        self.stats.reads += 1
        found = self.store.get(name)
        if found is None:
            return web.Response(status=404)
        self.stats.sent_bytes += len(found.value)
        return web.Response(body=found.value, headers={"ETag": str(found.version)})

    def list(self, request: web.BaseRequest) -> web.Response:
        """Returns a page of the objects with a prefix."""
        self.stats.reads += 1
        query = request.query
        page = self.store.list(
            query.get("prefix", ""), query.get("after", ""), int(query["limit"])
        )
        return self.count_sent_bytes(json_answer(page))

    async def watch(self, request: web.BaseRequest) -> web.Response:
        """Returns the changes under a prefix, or waits for one up to `wait_s`."""
        self.stats.watches += 1
        prefix = request.query.get("prefix", "")
        since = int(request.query.get("since", "0"))
        wait_s = float(request.query.get("wait_s", "0"))
        if since and since < self.store.compacted_revision:
            return web.Response(status=410, text="revision too old, start from 0")
        batch = self.store.changes(prefix, since)
        if self.faults.silent_watches or not (batch.objects or batch.deleted):
            await self.wait(prefix, wait_s)
            batch = self.store.changes(prefix, since)
        if self.faults.silent_watches:
            batch = WatchBatch(revision=since, objects=[])
        return self.count_sent_bytes(json_answer(batch))

    async def wait(self, prefix: str, wait_s: float) -> None:
        """Waits until an object with the prefix changes or `wait_s` has passed."""
        changed = asyncio.get_running_loop().create_future()
        watches = self.waiting.setdefault(prefix, set())
        watches.add(changed)
        try:
            await asyncio.wait([changed], timeout=wait_s)
        finally:
            watches.discard(changed)
            if not watches and self.waiting.get(prefix) is watches:
                del self.waiting[prefix]

    def count_sent_bytes(self, answer: web.Response) -> web.Response:
        """Adds the response body to the `sent_bytes` counter."""
        self.stats.sent_bytes += len(answer.body)
        return answer


def json_answer(value: object) -> web.Response:
    """Encodes a value as the JSON body of a response."""
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


async def serve(host: str, port: int, seed: int) -> None:
    """Runs the server until SIGTERM or SIGINT."""
    server = ObjectStoreServer(seed=seed)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    port, control_port = await server.start(host, port)
    print(f"ready {port} {control_port}", flush=True)
    await stopped.wait()


def main() -> None:
    """Parses the arguments and runs the server."""
    parser = argument_parser(__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.host, arguments.port, arguments.seed))


if __name__ == "__main__":
    main()
