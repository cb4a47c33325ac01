"""Decodes JSON leniently, replacing values that a strict parser rejects.

A response of the store contains entries of many writers. Invalid values are replaced so
that bad data from one writer does not make the entries of the others unreadable.
"""

import json
import re

import logbook
import msgspec

log = logbook.Logger("json")

# Valid objects in the store are nested about five levels deep.
MAX_DEPTH = 64
# Valid counts, times and revisions are shorter.
MAX_DIGITS = 30

_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
# One escape, or two that are the halves of a character. An escaped backslash is an
# escape too: what follows it may look like one.
_ESCAPE = re.compile(
    r"\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    r"|(?P<half>\\u[dD][89a-fA-F][0-9a-fA-F]{2})"
    r"|\\.",
    re.DOTALL,
)


def loads(data: bytes) -> object:
    """Decodes JSON; raises `ValueError` if the structure is invalid.

    Invalid UTF-8 and unpaired surrogates become U+FFFD. NaN, Infinity, integers with
    too many digits and values nested too deeply become null. Control characters in
    strings are kept.

    >>> loads(b'{"a": "\\\\ud800", "b": NaN, "c": "\\xff"}')
    {'a': '\\ufffd', 'b': None, 'c': '\\ufffd'}
    """
    text = _ESCAPE.sub(_without_half, data.decode("utf-8", "replace"))
    return json.loads(
        _without_deep_values(text),
        strict=False,
        parse_constant=lambda _: None,
        parse_int=lambda digits: int(digits) if len(digits) <= MAX_DIGITS else None,
    )


def _without_half(escape: re.Match) -> str:
    """Returns an escape, or U+FFFD for one half of a character."""
    return "\\ufffd" if escape["half"] else escape[0]


def _without_deep_values(text: str) -> str:
    """Replaces values nested deeper than `MAX_DEPTH` with null, without recursion."""
    kept: list[str] = []
    depth = 0
    # Start of the next section of text to keep.
    begin = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[begin : match.start()] + "null")
        elif token in "]}":
            if depth == MAX_DEPTH + 1:
                begin = match.end()
            depth -= 1
    return "".join(kept) + text[begin:]


def decode_response(data: bytes, kind: type):
    """Decodes a response; invalid bytes in one entry do not affect the others.

    Raises `ValueError` if the structure of the response is invalid.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        log.warning("invalid data in a store response was replaced: {}", error)
        return msgspec.convert(loads(data), kind)
