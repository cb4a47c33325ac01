"""Names of the HTTP headers that the router itself reads and writes.

A platform adapter can replace the default names.
"""

import hashlib
import re

import msgspec

from .routing import PromptPart

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# More digits than a float distinguishes.
MAX_DECIMAL_CHARACTERS = 30
# Callers name parts of prompts; more of them, and longer names, would only take memory.
MAX_PROMPT_PARTS = 256
MAX_PART_ID_CHARACTERS = 64
PART_DIGEST_BYTES = 16

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers for message framing.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

RawHeaders = list[tuple[bytes, bytes]]


class HeaderNames(msgspec.Struct, kw_only=True, frozen=True):
    """Header names, with the capitalization used on the wire."""

    request_id: str = "X-Request-Id"
    time_limit_ms: str = "X-Deadline-Ms"
    team: str = "X-Team"
    priority: str = "X-Priority"
    expected_endpoint: str = "X-Expected-Endpoint"
    endpoint_id: str = "X-Endpoint-Id"
    not_run: str = "X-Not-Run"
    proof: str = "X-Proof"
    # Requests per second that an endpoint accepts from all instances together.
    request_limit: str = "X-Request-Limit"
    # State of an endpoint, and its value, in lower case, if the endpoint shuts down.
    endpoint_state: str = "X-Endpoint-State"
    leaving_state: str = "leaving"
    model: str = "X-Model"
    token_usage: str = "X-Tokens"
    prompt_parts: str = "X-Prompt-Parts"
    output_estimate: str = "X-Output-Estimate"
    # Address of the engine to copy the cached prompt prefix from.
    copy_prompt_from: str = "X-Copy-Prompt-From"
    resume_after: str = "Last-Event-Id"
    # Id of the request that brought the first event of the stream to be resumed.
    resumes: str = "X-Resumes"
    key_scheme: str = "Bearer"
    # Headers that only the router may set; they are removed from requests of callers.
    router_only: frozenset[str] = frozenset()

    def stripped_from_callers(self) -> frozenset[bytes]:
        """Returns the lower-case names of headers not forwarded from callers."""
        names = {
            self.time_limit_ms,
            self.team,
            self.priority,
            self.expected_endpoint,
            self.not_run,
            self.proof,
            self.copy_prompt_from,
            "Authorization",
            *self.router_only,
        }
        return frozenset(name.lower().encode() for name in names) | CONNECTION_HEADERS


def first_value(headers: RawHeaders, name: str) -> str | None:
    """Returns the first value of a header; names are case-insensitive.

    >>> first_value([(b"X-A", b"1"), (b"x-a", b"2")], "x-a")
    '1'
    """
    wanted = name.lower().encode()
    for key, value in headers:
        if key.lower() == wanted:
            return value.decode("latin-1")
    return None


def connection_options(headers: RawHeaders) -> frozenset[bytes]:
    """Returns the lower-case names listed in Connection headers.

    >>> sorted(connection_options([(b"Connection", b"close, X-Hop")]))
    [b'close', b'x-hop']
    """
    return frozenset(
        option.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for option in value.split(b",")
        if option.strip()
    )


def parse_positive_int(text: str | None) -> int | None:
    """Parses an integer above 0; returns None for any other text.

    >>> parse_positive_int("40"), parse_positive_int("-1"), parse_positive_int("x")
    (40, None, None)
    """
    if text is None or not (text.isascii() and text.isdigit() and len(text) < 12):
        return None
    return int(text) or None


def parse_decimal(text: str) -> float | None:
    """Parses a decimal number that is not negative; returns None if it is invalid.

    >>> parse_decimal("2.3"), parse_decimal("0"), parse_decimal("-1")
    (2.3, 0.0, None)
    >>> parse_decimal("NaN"), parse_decimal("1e3"), parse_decimal("")
    (None, None, None)
    """
    if len(text) > MAX_DECIMAL_CHARACTERS or not _DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


def parse_token_usage(text: str | None) -> tuple[int, int]:
    """Parses the prompt token count and the maximum output token count.

    >>> parse_token_usage("1460,80"), parse_token_usage("x")
    ((1460, 80), (0, 0))
    """
    prompt, _, output = (text or "").partition(",")
    return parse_positive_int(prompt.strip()) or 0, (
        parse_positive_int(output.strip()) or 0
    )


def parse_prompt_parts(
    text: str | None, *, most: int = MAX_PROMPT_PARTS
) -> tuple[PromptPart, ...]:
    """Parses a list of prompt parts; returns no parts if the list is invalid.

    If there are more than `most`, the last ones become one part; long ids become
    digests.

    >>> parts = parse_prompt_parts("5c:800,e4:250,77:9", most=2)
    >>> [part.tokens for part in parts]
    [800, 259]
    >>> parse_prompt_parts("5c:800,e4:250")
    (PromptPart(id='5c', tokens=800), PromptPart(id='e4', tokens=250))
    >>> parse_prompt_parts("5c:800,e4")
    ()
    """
    parts = []
    for item in (text or "").split(","):
        part_id, separator, tokens = item.strip().partition(":")
        count = parse_positive_int(tokens)
        if not (part_id and separator and count):
            return ()
        if len(part_id) > MAX_PART_ID_CHARACTERS:
            part_id = part_digest(part_id)
        parts.append(PromptPart(id=part_id, tokens=count))
    if len(parts) > most:
        rest = parts[most - 1 :]
        parts[most - 1 :] = [
            PromptPart(
                id=part_digest(",".join(part.id for part in rest)),
                tokens=sum(part.tokens for part in rest),
            )
        ]
    return tuple(parts)


def part_digest(text: str) -> str:
    """Returns an id of fixed length in place of a longer one."""
    return hashlib.blake2b(text.encode(), digest_size=PART_DIGEST_BYTES).hexdigest()


def decode_era(text: str | None) -> int:
    """Returns the era that an answer names; 0 if it names none.

    Raises `ValueError` if it is no number.

    >>> decode_era("7"), decode_era(None)
    (7, 0)
    """
    if text is None:
        return 0
    era = parse_positive_int(text.strip())
    if era is None:
        raise ValueError(f"invalid era {text[:40]!r}")
    return era
