"""Consumers that send calls and streams, and take broken streams up again."""

import contextlib
import http.client
import itertools
import re
import time

import msgspec

HOST = "shop.example"
KEY = "xd9dnn2ctnfzs989anu6"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
_numbers = itertools.count(1)


class Answer(msgspec.Struct, kw_only=True):
    """What a consumer received for one attempt; status 0 stands for no answer."""

    id: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool
    body: bytes

    def events(self) -> list[tuple[int, str]]:
        """Returns the numbers and the software versions of all whole events."""
        found = EVENT.findall(self.body)
        return [(int(number), version.decode()) for number, version in found]


def send(
    port: int,
    path: str,
    *,
    method: str,
    deadline_ms: int,
    headers: dict[str, str],
    longest_gap_s: float | None = None,
) -> Answer:
    """Sends one attempt on a new channel and reads its answer to the end.

    The consumer leaves after `longest_gap_s` without a byte, or at its time limit.
    """
    id = f"{next(_numbers):016x}"
    sent_at = time.monotonic()
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=longest_gap_s or deadline_ms / 1000
    )
    sent = {
        "Host": HOST,
        "Attempt-Id": id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **headers,
    }
    status, complete, body = 0, False, b""
    with contextlib.suppress(OSError, http.client.HTTPException):
        connection.request(method, path, headers=sent)
        response = connection.getresponse()
        status = response.status
        while data := response.read1(65_536):
            body += data
        complete = response.isclosed() or response.length == 0
    connection.close()
    return Answer(
        id=id,
        sent_at=sent_at,
        ended_at=time.monotonic(),
        status=status,
        complete=complete,
        body=body,
    )


def send_stream(
    port: int,
    path: str,
    *,
    deadline_ms: int = 15_000,
    longest_gap_s: float = 2.4,
    prompt: tuple[int, int] = (198, 628),
    resume: Answer | None = None,
) -> Answer:
    """Sends a stream request, which may take the stream of another answer up.

    `prompt` holds the tokens of the shared part, and of the last part.
    """
    shared, own = prompt
    headers = {
        "Model": "m",
        "Token-Usage": f"{shared + own},290",
        "Prompt-Prefix": f"5c1e07a2:{shared},{next(_numbers):08x}:{own}",
    }
    if resume is not None:
        headers["Last-Event-Id"] = str(resume.events()[-1][0])
        headers["Resumes"] = resume.id
    return send(
        port,
        path,
        method="POST",
        deadline_ms=deadline_ms,
        headers=headers,
        longest_gap_s=longest_gap_s,
    )
