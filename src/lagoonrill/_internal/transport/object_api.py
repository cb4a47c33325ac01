"""Client for the Object API; the error type tells whether a write took effect."""

from urllib.parse import quote, urlencode

import logbook
from returns.result import Result, Success

from ..protocol.codec import from_json
from ..protocol.errors import (
    StoreConflict,
    StoreError,
    StoreHistoryGone,
    StoreRejected,
)
from ..protocol.objects import VersionedObject, WatchBatch
from ..protocol.settings import PlatformSettings
from .store_client import StoreClient

log = logbook.Logger("object-api")

# Added to the wait of a watch to get its read timeout.
WATCH_MARGIN_S = 2.0
INSTANCE_HEADER = "X-Instance"


class ObjectApi(StoreClient):
    """Calls the Object API over a connection pool.

    The timeouts are those of `PlatformSettings`.
    """

    def __init__(self, *, settings: PlatformSettings, instance: str = ""):
        super().__init__(
            url=settings.object_api_url,
            call_timeout_s=settings.call_timeout_s,
            headers={INSTANCE_HEADER: instance} if instance else {},
        )

    def get(self, name: str) -> Result[VersionedObject | None, StoreError]:
        """Returns the object, or None if it does not exist."""
        return self.call("get", "GET", object_path(name)).bind(
            lambda response: self.decoded("get", lambda: read_object(name, response))
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
        """Deletes an object; with `version`, only if that is the current version.

        Deleting an absent object succeeds without `version` and is a `StoreConflict`
        with it.
        """
        condition = {} if version is None else {"If-Match": str(version)}
        result = self.call("delete", "DELETE", object_path(name), headers=condition)
        return result.bind(lambda response: self._deleted(response, version))

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[list[VersionedObject], StoreError]:
        """Returns the objects with names after `after`, in the order of their names."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return self.call("list", "GET", f"/objects?{query}").bind(
            lambda response: self.decoded(
                "list", lambda: from_json(response.data, list[VersionedObject])
            )
        )

    def watch(
        self, prefix: str, *, since: int, wait_s: float
    ) -> Result[WatchBatch, StoreError]:
        """Waits for changes after revision `since` for up to `wait_s` seconds.

        The batch is empty if nothing changed. Its revision is `since` of the next call.
        """
        query = urlencode({"prefix": prefix, "since": since, "wait_s": wait_s})
        result = self.call(
            "watch", "GET", f"/watch?{query}", read_timeout_s=wait_s + WATCH_MARGIN_S
        )
        batch = result.bind(
            lambda response: self.decoded(
                "watch", lambda: from_json(response.data, WatchBatch)
            )
        )
        return batch.bind(lambda found: self._checked(found, since))

    def _checked(self, batch: WatchBatch, since: int) -> Result[WatchBatch, StoreError]:
        """Refuses changes up to a revision before the one that they follow.

        Versions of objects are fencing numbers, so a store must never go back.
        """
        if batch.revision >= since:
            return Success(batch)
        message = (
            f"watch: the Object API went back from revision {since} to "
            f"{batch.revision}, so versions may have been given out twice"
        )
        log.error(message)
        return self.failed("watch", StoreHistoryGone(message=message))

    def _put(
        self, kind: str, name: str, value: bytes, condition: dict[str, str]
    ) -> Result[int, StoreError]:
        result = self.call(
            kind, "PUT", object_path(name), headers=condition, body=value
        )
        return result.bind(lambda response: self._version(kind, name, response))

    def _version(self, kind, name, response) -> Result[int, StoreError]:
        if response.status == 404:
            error = StoreConflict if kind == "update" else StoreRejected
            return self.failed(kind, error(message=f"{kind}: {name} does not exist"))
        return self.decoded(kind, lambda: int(response.headers["ETag"]))

    def _deleted(self, response, version: int | None) -> Result[None, StoreError]:
        if response.status == 404 and version is not None:
            return self.failed("delete", StoreConflict(message="no such object"))
        return Success(None)


def object_path(name: str) -> str:
    """Returns the path of an object.

    >>> object_path("status/tunis-a/entry 1")
    '/objects/status/tunis-a/entry%201'
    """
    return f"/objects/{quote(name)}"


def read_object(name: str, response) -> VersionedObject | None:
    """Returns the object in a response, or None for status 404."""
    if response.status == 404:
        return None
    version = int(response.headers["ETag"])
    return VersionedObject(name=name, version=version, value=response.data)
