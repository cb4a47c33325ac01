"""Differences between two documents, by the names of their entries.

>>> old = {"teams": [{"name": "a", "weight": 1}, {"name": "b", "weight": 1}]}
>>> new = {"teams": [{"name": "b", "weight": 2}, {"name": "c", "weight": 1}]}
>>> for item in find_differences(old, new):
...     print(item)
teams[a]: removed
teams[b].weight: 1 -> 2
teams[c]: added
"""

import hashlib
import json
from collections.abc import Collection, Sequence
from typing import Any

import msgspec

from .checks import MAX_SHOWN_CHARACTERS

NAME_FIELDS = ("name", "id")
# Enough to tell the keys of one configuration apart.
FINGERPRINT_DIGITS = 8


class Difference(msgspec.Struct, kw_only=True):
    """A value that differs; `old` is None if it was added, `new` if it was removed."""

    key: str
    old: Any = None
    new: Any = None

    def __str__(self) -> str:
        if self.old is None:
            return f"{self.key}: added{_shown_scalar(self.new)}"
        if self.new is None:
            return f"{self.key}: removed{_shown_scalar(self.old)}"
        return f"{self.key}: {_shown(self.old)} -> {_shown(self.new)}"


def find_differences(
    old: Any,
    new: Any,
    *,
    names: Sequence[str] = NAME_FIELDS,
    secrets: Collection[str] = (),
    ordered: Collection[str] = (),
) -> list[Difference]:
    """Returns the differences between two documents of JSON types.

    Entries of a list are matched by the first of the fields `names` that they have, and
    otherwise by their value. `secrets` are names of lists whose values are replaced by
    fingerprints, and `ordered` names of lists whose order matters.
    """
    differ = _Differ(names=names, ordered=ordered)
    differ.compare(
        "", "", _without_secrets(old, secrets), _without_secrets(new, secrets)
    )
    return differ.found


def _without_secrets(value: Any, secrets: Collection[str]) -> Any:
    if isinstance(value, list):
        return [_without_secrets(item, secrets) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        key: [fingerprint(item) for item in inner]
        if key in secrets
        else _without_secrets(inner, secrets)
        for key, inner in value.items()
    }


class _Differ:
    def __init__(self, *, names: Sequence[str], ordered: Collection[str]):
        self.names = names
        self.ordered = ordered
        self.found: list[Difference] = []

    def compare(self, path: str, field: str, old: Any, new: Any) -> None:
        if isinstance(old, dict) and isinstance(new, dict):
            for key in dict.fromkeys([*old, *new]):
                inner = f"{path}.{key}" if path else key
                self.compare(inner, key, old.get(key), new.get(key))
        elif isinstance(old, list) and isinstance(new, list):
            self._compare_lists(path, field, old, new)
        elif old != new:
            self.found.append(Difference(key=path, old=old, new=new))

    def _compare_lists(self, path: str, field: str, old: list, new: list) -> None:
        before, after = self._by_name(old), self._by_name(new)
        for name in dict.fromkeys([*before, *after]):
            key = f"{path}[{name}]"
            self.compare(key, "", before.get(name), after.get(name))
        if field in self.ordered:
            was = [name for name in before if name in after]
            now = [name for name in after if name in before]
            if was != now:
                self.found.append(Difference(key=f"{path} (order)", old=was, new=now))

    def _by_name(self, items: list) -> dict[str, Any]:
        named: dict[str, Any] = {}
        for item in items:
            name = unique = self._name(item)
            number = 1
            while unique in named:
                number += 1
                unique = f"{name}#{number}"
            named[unique] = item
        return named

    def _name(self, item: Any) -> str:
        if not isinstance(item, dict):
            return str(item)
        given = [str(item[name]) for name in self.names if item.get(name)]
        return given[0] if given else " ".join(map(str, item.values()))


def fingerprint(secret: Any) -> str:
    """Returns text that identifies a secret without showing it.

    >>> fingerprint("key-1")
    'sha256 be297454'
    """
    digest = hashlib.sha256(str(secret).encode()).hexdigest()
    return f"sha256 {digest[:FINGERPRINT_DIGITS]}"


def _shown(value: Any) -> str:
    text = json.dumps(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def _shown_scalar(value: Any) -> str:
    """Returns a scalar for display; the key of an entry or text says enough."""
    return "" if isinstance(value, dict | list | str) else f" ({_shown(value)})"
