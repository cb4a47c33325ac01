"""Client of an endpoint's `GET /load`."""

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from ..protocol.codec import from_json
from ..protocol.load import (
    EndpointRefused,
    EndpointSilent,
    LoadError,
    LoadReport,
    LoadUnsupported,
)

LOAD_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536


class LoadClient:
    """Fetches load reports over kept connections; safe from many threads."""

    def __init__(self, *, threads: int, timeout_s: float = LOAD_TIMEOUT_S):
        self.pool = urllib3.PoolManager(
            num_pools=2_000,
            maxsize=threads,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    def fetch(self, url: str) -> Result[LoadReport, LoadError]:
        """Asks the endpoint at a base URL for its load report."""
        try:
            response = self.pool.request(
                "GET", url.rstrip("/") + "/load", preload_content=False, redirect=False
            )
            body = response.read(MAX_REPORT_BYTES)
            response.release_conn()
        except urllib3.exceptions.NewConnectionError as error:
            return Failure(EndpointRefused(message=f"{url}: {error}"))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(EndpointSilent(message=f"{url}: {error}"))
        if response.status != 200:
            return Failure(LoadUnsupported(message=f"{url}: status {response.status}"))
        try:
            return Success(from_json(body, LoadReport))
        except msgspec.DecodeError as error:
            return Failure(LoadUnsupported(message=f"{url}: {error}"))

    def close(self) -> None:
        """Closes all connections."""
        self.pool.clear()
