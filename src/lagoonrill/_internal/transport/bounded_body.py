"""Reads response bodies with limits on their size and duration."""

import math
import time

import urllib3

READ_BYTES = 65_536


class BodyLimitError(OSError):
    """A response body exceeded the size limit or the time limit of its reader."""


def read_body(
    response: urllib3.HTTPResponse,
    *,
    max_bytes: int,
    timeout_s: float,
    least_bytes_per_s: float = math.inf,
    decode_content: bool | None = None,
) -> bytes:
    """Returns the complete body of a response that was not preloaded.

    A body that arrives at `least_bytes_per_s` or faster may take longer than
    `timeout_s`, so that a large body is not fetched again and again over a slow link.

    Raises `BodyLimitError` after closing the connection, and the errors of urllib3 if
    the body is truncated or a read times out.
    """
    deadline = time.monotonic() + timeout_s
    body = bytearray()
    while data := response.read1(READ_BYTES, decode_content=decode_content):
        body += data
        late = time.monotonic() > deadline + len(body) / least_bytes_per_s
        if late or len(body) > max_bytes:
            response.close()
            raise BodyLimitError(
                f"the body goes on after {len(body)} bytes and at most {timeout_s} s"
            )
    response.release_conn()
    return bytes(body)
