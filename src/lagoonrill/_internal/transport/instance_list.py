"""HTTP client for the platform's Instance list."""

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from ..protocol.codec import from_json
from ..protocol.errors import PlatformError
from ..protocol.objects import ListedInstance
from ..protocol.settings import PlatformSettings

# 5,000 entries of 200 bytes each are 1 MB; a response above this limit is not a valid
# list.
MAX_RESPONSE_BYTES = 8_000_000


class InstanceList:
    """Fetches the live and leaving instances; the list may be stale.

    `call_timeout_s` of the settings limits the connect and each read. Calls are not
    retried.
    """

    def __init__(self, *, settings: PlatformSettings, instance: str = ""):
        self.url = settings.instance_list_url.rstrip("/") + "/instances"
        timeout = urllib3.Timeout(settings.call_timeout_s)
        self.pool = urllib3.PoolManager(timeout=timeout, retries=False)
        self.headers = {"X-Instance": instance} if instance else {}

    def fetch(self) -> Result[list[ListedInstance], PlatformError]:
        """Returns all entries, or a `PlatformError` if there was no valid response."""
        try:
            response = self.pool.request(
                "GET", self.url, headers=self.headers, preload_content=False
            )
            data = response.read(MAX_RESPONSE_BYTES + 1)
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _failure(f"{self.url} did not answer: {error}")
        if response.status != 200:
            return _failure(f"{self.url} answered with status {response.status}")
        if len(data) > MAX_RESPONSE_BYTES:
            return _failure(f"{self.url} sent more than {MAX_RESPONSE_BYTES} bytes")
        try:
            return Success(from_json(data, list[ListedInstance]))
        except msgspec.DecodeError as error:
            return _failure(f"{self.url} sent no valid list: {error}")

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.clear()


def _failure(message: str) -> Failure[PlatformError]:
    return Failure(PlatformError(message=message))
