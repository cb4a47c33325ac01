"""Finds all entries of a document that a decoder rejects, not only the first."""

import re
from collections.abc import Callable, Sequence

from .checks import Problem

# Where msgspec found a mistake, for example " - at `$.routes[2].name`".
_PLACE = re.compile(r" - at `\$\.?([^`]*)`$")
DOCUMENT = "(document)"
REMEDY = "Correct the value; instances keep the previous version"


def find_decode_errors(
    document: object,
    decode: Callable[[object], object],
    *,
    entry_fields: Sequence[str],
    required: dict,
) -> list[Problem]:
    """Returns why `decode` rejects a document, one problem for each entry.

    `entry_fields` are names of lists whose entries are decoded one by one, together
    with the fields in `required`. `decode` raises `ValueError`.

    >>> def decode(document):
    ...     return [int(port) for port in document["ports"]]
    >>> options = {"entry_fields": ["ports"], "required": {}}
    >>> for item in find_decode_errors({"ports": ["x", "1", "y"]}, decode, **options):
    ...     print(item.key, item.found)
    ports[0] invalid literal for int() with base 10: 'x'
    ports[2] invalid literal for int() with base 10: 'y'
    """
    problem = _decode_error(document, decode)
    if problem is None or not isinstance(document, dict):
        return [problem] if problem else []
    lists = {
        name: document[name]
        for name in entry_fields
        if isinstance(document.get(name), list)
    }
    rest = {**document, **{name: [] for name in lists}}
    problems = [_decode_error(rest, decode)]
    for name, entries in lists.items():
        for index, entry in enumerate(entries):
            found = _decode_error({**required, name: [entry]}, decode)
            if found is not None:
                inner = found.key.removeprefix(f"{name}[0]").removeprefix(DOCUMENT)
                found.key = f"{name}[{index}]{inner}"
            problems.append(found)
    return [item for item in problems if item is not None] or [problem]


def _decode_error(
    document: object, decode: Callable[[object], object]
) -> Problem | None:
    try:
        decode(document)
    except ValueError as error:
        place = _PLACE.search(str(error))
        return Problem(
            key=(place and place[1]) or DOCUMENT,
            found=_PLACE.sub("", str(error)),
            remedy=REMEDY,
        )
    return None
