"""What an endpoint says of itself in the headers of an answer."""

import email.utils
import time
from collections.abc import Callable

import msgspec

from .headers import HeaderNames, RawHeaders, first_value, parse_decimal

PAUSE_STATUS = 503
RETRY_AFTER = "Retry-After"
# A longer pause is taken for this one.
MAX_PAUSE_S = 86_400.0


class AnswerSignals(msgspec.Struct, kw_only=True, frozen=True):
    """Conditions that an endpoint states in one answer."""

    # Requests per second that it accepts from all instances together; None if it names
    # no limit, or an invalid one.
    request_limit: float | None = None
    # Text of a limit that is no decimal number.
    invalid_limit: str | None = None
    # It shuts down and should get no new requests.
    leaving: bool = False
    # Time for which it wants nothing from this instance; 0 for no pause.
    pause_s: float = 0.0
    # Text of a pause that is neither a decimal number nor a date.
    invalid_pause: str | None = None


def read_signals(status: int, headers: RawHeaders, names: HeaderNames) -> AnswerSignals:
    """Decodes the signals of an answer.

    >>> names = HeaderNames()
    >>> headers = [(b"X-Request-Limit", b"2.5"), (b"X-Endpoint-State", b"leaving")]
    >>> signals = read_signals(200, headers, names)
    >>> signals.request_limit, signals.leaving
    (2.5, True)
    >>> read_signals(200, [(b"x-request-limit", b"many")], names).invalid_limit
    'many'
    >>> read_signals(503, [(b"Retry-After", b"0.3")], names).pause_s
    0.3
    """
    text = first_value(headers, names.request_limit)
    limit = parse_decimal(text) if text is not None else None
    state = first_value(headers, names.endpoint_state)
    pause_text = first_value(headers, RETRY_AFTER) if status == PAUSE_STATUS else None
    pause_s = parse_pause_s(pause_text) if pause_text is not None else 0.0
    return AnswerSignals(
        request_limit=limit,
        invalid_limit=text if limit is None else None,
        leaving=state is not None and state.strip().lower() == names.leaving_state,
        pause_s=pause_s or 0.0,
        invalid_pause=pause_text if pause_s is None else None,
    )


def parse_pause_s(
    text: str, *, wall_clock: Callable[[], float] = time.time
) -> float | None:
    """Parses a time in seconds, or a date (RFC 9110, section 10.2.3).

    Returns None if the text is neither.

    >>> parse_pause_s("2"), parse_pause_s("1000000000"), parse_pause_s("-1")
    (2.0, 86400.0, None)
    >>> date = "Thu, 01 Jan 1970 00:01:40 GMT"
    >>> parse_pause_s(date, wall_clock=lambda: 70.0)
    30.0
    """
    seconds = parse_decimal(text)
    if seconds is None:
        try:
            until = email.utils.parsedate_to_datetime(text).timestamp()
        except (ValueError, OverflowError):
            return None
        seconds = max(0.0, until - wall_clock())
    return min(MAX_PAUSE_S, seconds)
