"""HTTP client for `GET /load` of endpoints."""

import threading

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
from .statuses import MAX_STATUS

LOAD_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536


class LoadClient:
    """Fetches load reports over persistent connections; thread-safe."""

    def __init__(self, *, threads: int, timeout_s: float = LOAD_TIMEOUT_S):
        self.threads = threads
        self.timeout = urllib3.Timeout(connect=timeout_s, read=timeout_s)
        self.lock = threading.Lock()
        # One pool for each base URL. A `PoolManager` normalizes the URL on every call,
        # which adds half to the CPU time of a poll (0.84 ms instead of 0.56 ms).
        self.pools: dict[str, tuple[urllib3.HTTPConnectionPool, str]] = {}

    def fetch(self, url: str) -> Result[LoadReport, LoadError]:
        """Fetches the load report of the endpoint at a base URL."""
        pool, path = self._pool(url)
        try:
            response = pool.urlopen(
                "GET",
                path,
                retries=False,
                redirect=False,
                timeout=self.timeout,
                preload_content=False,
            )
            body = response.read(MAX_REPORT_BYTES)
            response.release_conn()
        except urllib3.exceptions.NewConnectionError as error:
            return Failure(EndpointRefused(message=f"{url}: {error}"))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(EndpointSilent(message=f"{url}: {error}"))
        if response.status > MAX_STATUS:
            message = f"{url}: invalid status {response.status}"
            return Failure(EndpointSilent(message=message))
        if response.status != 200:
            return Failure(LoadUnsupported(message=f"{url}: status {response.status}"))
        try:
            return Success(from_json(body, LoadReport))
        except msgspec.DecodeError as error:
            return Failure(LoadUnsupported(message=f"{url}: {error}"))

    def close(self) -> None:
        """Closes all connections."""
        with self.lock:
            pools = list(self.pools.values())
            self.pools.clear()
        for pool, _ in pools:
            pool.close()

    def _pool(self, url: str) -> tuple[urllib3.HTTPConnectionPool, str]:
        with self.lock:
            entry = self.pools.get(url)
            if entry is None:
                path = (urllib3.util.parse_url(url).path or "").rstrip("/") + "/load"
                pool = urllib3.connection_from_url(url, maxsize=self.threads)
                entry = self.pools[url] = (pool, path)
            return entry
