"""Reads JSON with parts that a strict parser refuses.

An answer of the store holds entries of many writers. One writer's bytes must not keep
the entries of the others from being read, so what cannot be read is replaced.
"""

import json
import re

# Values of the store that are in use nest about five levels deep.
MAX_DEPTH = 64
# Longer numbers are no count, time or revision.
MAX_DIGITS = 30

_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
# A surrogate escape without its other half stands for no character.
_LONE_SURROGATE = re.compile(
    r"\\u[dD][89abAB][0-9a-fA-F]{2}(?!\\u[dD][c-fC-F])"
    r"|(?<!\\u[dD][89abAB][0-9a-fA-F]{2})\\u[dD][c-fC-F][0-9a-fA-F]{2}"
)


def loads(data: bytes) -> object:
    """Decodes JSON; raises `ValueError` if not even its structure can be read.

    Bytes that are not UTF-8 and lone surrogates become U+FFFD, values nested too deeply
    and numbers that are none become null, control characters in strings are kept.

    >>> loads(b'{"a": "\\\\ud800", "b": NaN, "c": "\\xff"}')
    {'a': '\\ufffd', 'b': None, 'c': '\\ufffd'}
    """
    text = _LONE_SURROGATE.sub(r"\\ufffd", data.decode("utf-8", "replace"))
    return json.loads(
        _without_deep_values(text),
        strict=False,
        parse_constant=lambda _: None,
        parse_int=lambda digits: int(digits) if len(digits) <= MAX_DIGITS else None,
    )


def _without_deep_values(text: str) -> str:
    """Replaces what lies deeper than `MAX_DEPTH` by null; does not recurse."""
    kept: list[str] = []
    depth = 0
    # Where the text that is kept next begins.
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
