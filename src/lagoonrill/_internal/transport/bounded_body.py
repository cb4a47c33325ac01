"""Reads the body of an answer whose sender may never end it."""

import time

import urllib3

READ_BYTES = 65_536


class BodyWithoutEnd(OSError):
    """A body was larger, or took longer, than its reader allows."""


def read_body(
    response: urllib3.HTTPResponse,
    *,
    max_bytes: int,
    timeout_s: float,
    decode_content: bool | None = None,
) -> bytes:
    """Returns the whole body of an answer that was not preloaded.

    Raises `BodyWithoutEnd` after closing the connection, and what urllib3 raises when
    the body breaks off or falls silent.
    """
    deadline = time.monotonic() + timeout_s
    body = bytearray()
    while data := response.read1(READ_BYTES, decode_content=decode_content):
        body += data
        if len(body) > max_bytes or time.monotonic() > deadline:
            response.close()
            raise BodyWithoutEnd(
                f"the body goes on after {len(body)} bytes and at most {timeout_s} s"
            )
    response.release_conn()
    return bytes(body)
