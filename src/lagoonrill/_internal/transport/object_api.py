"""Client of the Object API; every failure says whether a write took effect."""

from urllib.parse import quote, urlencode

from returns.result import Result, Success

from ..protocol.codec import from_json
from ..protocol.errors import StoreConflict, StoreError, StoreRejected
from ..protocol.objects import VersionedObject, WatchBatch
from ..protocol.settings import PlatformSettings
from .store_client import StoreClient

# Added to a watch's own wait before its answer counts as lost.
WATCH_MARGIN_S = 2.0
INSTANCE_HEADER = "X-Instance"


class ObjectApi(StoreClient):
    """The Object API over a pool of connections.

    Time-outs are those of `PlatformSettings`.
    """

    def __init__(self, *, settings: PlatformSettings, instance: str = ""):
        super().__init__(
            url=settings.object_api_url,
            call_timeout_s=settings.call_timeout_s,
            headers={INSTANCE_HEADER: instance} if instance else {},
        )

    def get(self, name: str) -> Result[VersionedObject | None, StoreError]:
        """Returns the object, or None if there is none of that name."""
        return self.call("get", "GET", object_path(name)).bind(
            lambda answer: self.decoded("get", lambda: read_object(name, answer))
        )

    def create(self, name: str, value: bytes) -> Result[int, StoreError]:
        """Creates an object and returns its version; `StoreConflict` if it exists."""
        return self._put("create", name, value, {"If-None-Match": "*"})

    def update(
        self, name: str, value: bytes, *, version: int
    ) -> Result[int, StoreError]:
        """Replaces the given version; `StoreConflict` if it is not the current one."""
        return self._put("update", name, value, {"If-Match": str(version)})

    def delete(
        self, name: str, *, version: int | None = None
    ) -> Result[None, StoreError]:
        """Deletes an object, if given only at that version.

        An unconditional delete of an absent object succeeds, a conditional one is a
        `StoreConflict`.
        """
        condition = {} if version is None else {"If-Match": str(version)}
        result = self.call("delete", "DELETE", object_path(name), headers=condition)
        return result.bind(lambda answer: self._deleted(answer, version))

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[list[VersionedObject], StoreError]:
        """Returns objects in the order of their names, those after `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return self.call("list", "GET", f"/objects?{query}").bind(
            lambda answer: self.decoded(
                "list", lambda: from_json(answer.data, list[VersionedObject])
            )
        )

    def watch(
        self, prefix: str, *, since: int, wait_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Waits until something changes after revision `since`, at most `wait_s`.

        The batch is empty if nothing changed; its revision is the next `since`.
        """
        query = urlencode({"prefix": prefix, "since": since, "wait_s": wait_s})
        result = self.call(
            "watch", "GET", f"/watch?{query}", read_timeout_s=wait_s + WATCH_MARGIN_S
        )
        return result.bind(
            lambda answer: self.decoded(
                "watch", lambda: from_json(answer.data, WatchBatch)
            )
        )

    def _put(
        self, kind: str, name: str, value: bytes, condition: dict[str, str]
    ) -> Result[int, StoreError]:
        result = self.call(
            kind, "PUT", object_path(name), headers=condition, body=value
        )
        return result.bind(lambda answer: self._version(kind, name, answer))

    def _version(self, kind, name, answer) -> Result[int, StoreError]:
        if answer.status == 404:
            error = StoreConflict if kind == "update" else StoreRejected
            return self.failed(kind, error(message=f"{kind}: {name} does not exist"))
        return self.decoded(kind, lambda: int(answer.headers["ETag"]))

    def _deleted(self, answer, version: int | None) -> Result[None, StoreError]:
        if answer.status == 404 and version is not None:
            return self.failed("delete", StoreConflict(message="no such object"))
        return Success(None)


def object_path(name: str) -> str:
    """Returns the path of an object.

    >>> object_path("status/tunis-a/entry 1")
    '/objects/status/tunis-a/entry%201'
    """
    return f"/objects/{quote(name)}"


def read_object(name: str, answer) -> VersionedObject | None:
    """Returns the object in an answer, None for 404."""
    if answer.status == 404:
        return None
    version = int(answer.headers["ETag"])
    return VersionedObject(name=name, version=version, value=answer.data)
