"""What an endpoint says of itself in the headers of an answer."""

import msgspec

from .headers import HeaderNames, RawHeaders, first_value, parse_request_limit


class AnswerSignals(msgspec.Struct, kw_only=True, frozen=True):
    """Conditions that an endpoint states in one answer."""

    # Requests per second that it accepts from all instances together; None if it names
    # no limit, or an invalid one.
    request_limit: float | None = None
    # Text of a limit that is no decimal number.
    invalid_limit: str | None = None
    # It shuts down and should get no new requests.
    leaving: bool = False


def read_signals(headers: RawHeaders, names: HeaderNames) -> AnswerSignals:
    """Decodes the signals in the headers of an answer.

    >>> names = HeaderNames()
    >>> headers = [(b"X-Request-Limit", b"2.5"), (b"X-Endpoint-State", b"leaving")]
    >>> signals = read_signals(headers, names)
    >>> signals.request_limit, signals.leaving
    (2.5, True)
    >>> read_signals([(b"x-request-limit", b"many")], names).invalid_limit
    'many'
    """
    text = first_value(headers, names.request_limit)
    limit = parse_request_limit(text) if text is not None else None
    state = first_value(headers, names.endpoint_state)
    return AnswerSignals(
        request_limit=limit,
        invalid_limit=text if limit is None else None,
        leaving=state is not None and state.strip().lower() == names.leaving_state,
    )
