"""HTTP client for the listeners of a daemon."""

from collections.abc import Iterator

from ..protocol.checks import Problem, check_url
from .exit_status import ExitStatus
from .output import CommandError

UNAUTHORIZED_STATUSES = frozenset({401, 403})


def base_url(address: str) -> str:
    """Returns the URL of an address such as `10.0.0.5:9000` or `http://10.0.0.5:9000`.

    >>> base_url("127.0.0.1:9000")
    'http://127.0.0.1:9000'
    """
    url = address if "://" in address else f"http://{address}"
    problems: list[Problem] = []
    check_url("ADDRESS", url, problems)
    if problems or not url.startswith("http://"):
        message = f"invalid address {address!r}. Use one such as 10.0.0.5:9000"
        raise CommandError(status=ExitStatus.USAGE, message=message)
    return url.rstrip("/")


class DaemonClient:
    """HTTP client for one listener; raises `CommandError` on failures."""

    def __init__(self, *, address: str, key: str, timeout_s: float):
        import urllib3

        self.url = base_url(address)
        self.headers = {"Authorization": f"Bearer {key}"}
        self.pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s), retries=False
        )

    def call(self, method: str, path: str) -> bytes:
        """Sends a request and returns the body of a successful response."""
        response = self.open(method, path)
        data = self.read(response)
        self.check_key(response.status)
        if response.status >= 300:
            text = data.decode("utf-8", errors="replace").strip()[:500]
            message = f"{self.url}{path} returned HTTP status {response.status}: {text}"
            raise CommandError(status=ExitStatus.REFUSED, message=message)
        return data

    def open(self, method: str, path: str, *, body: bytes = b"", headers=None):
        """Sends a request and returns the response without reading its body."""
        import urllib3

        try:
            return self.pool.request(
                method,
                self.url + path,
                body=body or None,
                headers=self.headers | (headers or {}),
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            status = ExitStatus.UNREACHABLE
            message = f"{self.url}{path} did not answer: {error}"
            raise CommandError(status=status, message=message) from error

    def read(self, response) -> bytes:
        """Reads a complete body."""
        return b"".join(self.chunks(response))

    def chunks(self, response) -> Iterator[bytes]:
        """Yields the body as it arrives."""
        import urllib3

        try:
            yield from response.stream(65_536, decode_content=True)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            message = (
                f"connection to {self.url} failed while reading the response: {error}"
            )
            raise CommandError(
                status=ExitStatus.OUTCOME_UNKNOWN, message=message
            ) from error

    def check_key(self, status: int) -> None:
        """Raises `CommandError` if the key was rejected."""
        if status in UNAUTHORIZED_STATUSES:
            message = f"{self.url} rejected the key. Check the key file or variable"
            raise CommandError(status=ExitStatus.UNAUTHORIZED, message=message)
