"""Decodes JSON documents into types and collects all errors, not only the first.

Constraints on single values are `msgspec.Meta` annotations, so that the generated JSON
Schema has the same limits. The description of a value is also used as the remedy in
the error:

>>> problems = []
>>> _ = decode_document(b'{"port": 70000}', Example, problems)
>>> problems[0].key, problems[0].found
('port', '70000')
>>> problems[0].remedy
'Use a TCP port, 0 to 65535; 0 takes any free port'
"""

import ipaddress
import json
from types import UnionType
from typing import Annotated, Any, Union, get_args, get_origin
from urllib.parse import urlsplit

import msgspec
from msgspec import Meta

MAX_SHOWN_CHARACTERS = 60

Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$(?!\n)",
        description="1 to 63 letters, digits, '.', '_' or '-', "
        "of which the first is a letter or digit",
    ),
]
ModelName = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$(?!\n)",
        description="1 to 127 letters, digits, '.', '_', '-', ':' or '/', "
        "of which the first is a letter or digit",
    ),
]
Digest = Annotated[
    str,
    Meta(
        pattern=r"^[0-9a-f]{64}$(?!\n)",
        description="the SHA-256 digest of a key as 64 lower-case hexadecimal digits",
        extra={"secret": True},
    ),
]
CurveKey = Annotated[
    str,
    Meta(
        min_length=40,
        max_length=40,
        description="a CURVE key in Z85, 40 characters",
        extra={"secret": True},
    ),
]
HttpUrl = Annotated[
    str,
    Meta(
        pattern=r"^http://",
        max_length=2_000,
        description="a URL such as http://10.0.0.5:8080 with an IP address, "
        "without user information, query or fragment",
    ),
]
IpAddress = Annotated[
    str,
    Meta(min_length=1, max_length=45, description="an IP address such as 10.0.0.5"),
]
PeerAddress = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=64,
        description="an IP address and a port such as 10.0.0.5:7000",
    ),
]
Port = Annotated[
    int,
    Meta(ge=0, le=65_535, description="a TCP port, 0 to 65535; 0 takes any free port"),
]
Milliseconds = Annotated[
    int, Meta(ge=1, le=86_400_000, description="milliseconds, 1 to 86400000 (a day)")
]
Seconds = Annotated[
    float,
    Meta(gt=0, le=86_400, description="seconds, above 0 and at most 86400 (a day)"),
]
SecondsOrZero = Annotated[
    float, Meta(ge=0, le=86_400, description="seconds, 0 to 86400 (a day)")
]
Count = Annotated[
    int, Meta(ge=1, le=1_000_000, description="a whole number, 1 to 1000000")
]
Bytes = Annotated[
    int,
    Meta(ge=1, le=1_073_741_824, description="bytes, 1 to 1073741824 (1 GiB)"),
]


class Example(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Type used in the example of the module docstring."""

    port: Port


class Problem(msgspec.Struct, kw_only=True):
    """One validation error: the path of the key, the value found and the remedy."""

    key: str
    found: str
    remedy: str


class _JsonObject(dict):
    """A JSON object that records duplicate keys."""

    __slots__ = ("repeated",)

    def __init__(self, pairs: list[tuple[str, Any]]):
        super().__init__(pairs)
        seen: set[str] = set()
        self.repeated = []
        for key, _ in pairs:
            if key in seen:
                self.repeated.append(key)
            seen.add(key)


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not a JSON number")


def decode_document(data: bytes, kind: type, problems: list[Problem]) -> Any:
    """Decodes a document into `kind`, or returns None after adding to `problems`."""
    try:
        document = json.loads(
            data, object_pairs_hook=_JsonObject, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        problems.append(
            Problem(
                key="(document)",
                found=f"not JSON: {str(error) or 'nested too deeply'}",
                remedy="Correct the syntax; the document is one JSON object",
            )
        )
        return None
    before = len(problems)
    _check_value(document, kind, "", problems)
    if len(problems) > before:
        return None
    return msgspec.convert(document, kind)


def _check_value(value: Any, kind: Any, path: str, problems: list[Problem]) -> None:
    plain = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    if get_origin(plain) in (Union, UnionType):
        if value is None:
            return
        inner = next(arg for arg in get_args(plain) if arg is not type(None))
        _check_value(value, inner, path, problems)
    elif isinstance(plain, type) and issubclass(plain, msgspec.Struct):
        _check_struct(value, plain, path, problems)
    elif get_origin(plain) is list:
        _check_list(value, kind, plain, path, problems)
    else:
        _check_leaf(value, kind, path, problems)


def _check_struct(value: Any, kind: type, path: str, problems: list[Problem]) -> None:
    if not isinstance(value, dict):
        problems.append(_wrong_type(path, value, "a JSON object"))
        return
    fields = msgspec.structs.fields(kind)
    known = {field.encode_name: field for field in fields}
    for key in getattr(value, "repeated", []):
        problems.append(
            Problem(
                key=_join(path, key),
                found="the key occurs more than once",
                remedy="Keep one of them",
            )
        )
    for key in value:
        if key not in known:
            problems.append(_unknown_key(_join(path, key), known))
    for name, field in known.items():
        if name in value:
            _check_value(value[name], field.type, _join(path, name), problems)
        elif field.required:
            problems.append(
                Problem(
                    key=_join(path, name),
                    found="the key is missing",
                    remedy=f"Add it: {_describe_type(field.type)}",
                )
            )


def _check_list(
    value: Any, kind: Any, plain: Any, path: str, problems: list[Problem]
) -> None:
    if not isinstance(value, list):
        problems.append(_wrong_type(path, value, "a JSON array"))
        return
    item_kind = get_args(plain)[0]
    for index, item in enumerate(value):
        _check_value(item, item_kind, f"{path}[{index}]", problems)
    minimum = next((meta.min_length for meta in _metas(kind) if meta.min_length), 0)
    if len(value) < minimum:
        problems.append(
            Problem(
                key=path,
                found=f"{len(value)} entries",
                remedy=f"Give at least {minimum}",
            )
        )


def _check_leaf(value: Any, kind: Any, path: str, problems: list[Problem]) -> None:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        remedy = f"Use {_describe_type(kind)}"
        problems.append(
            Problem(key=path, found=_format_value(value, kind), remedy=remedy)
        )


def _metas(kind: Any) -> list[Meta]:
    if get_origin(kind) is not Annotated:
        return []
    return [part for part in get_args(kind)[1:] if isinstance(part, Meta)]


def _describe_type(kind: Any) -> str:
    """Returns a description of the values that `kind` accepts."""
    for meta in _metas(kind):
        if meta.description:
            return meta.description
    plain = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    if get_origin(plain) in (Union, UnionType):
        return _describe_type(get_args(plain)[0])
    if get_origin(plain) is list:
        return "a JSON array"
    if isinstance(plain, type) and issubclass(plain, msgspec.Struct):
        return "a JSON object"
    words = {bool: "true or false", str: "a string", int: "a whole number"}
    words[float] = "a number"
    if plain in words:
        return words[plain]
    return "one of " + ", ".join(str(choice) for choice in get_args(plain))


def _json_type(value: Any) -> str:
    if value is None:
        return "null"
    names = {
        bool: "a boolean",
        str: "a string",
        int: "a number",
        float: "a number",
        list: "an array",
    }
    return names.get(type(value), "an object")


def _format_value(value: Any, kind: Any) -> str:
    """Describes a rejected value without including possible credentials."""
    if isinstance(value, dict | list):
        return _json_type(value)
    if any((meta.extra or {}).get("secret") for meta in _metas(kind)):
        length = len(value) if isinstance(value, str) else 0
        return f"{_json_type(value)} of {length} characters (not shown)"
    if isinstance(value, str) and "@" in value:
        # User information in a URL may contain a password.
        return f"a string of {len(value)} characters with '@' (not shown)"
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:57] + "..."


def _wrong_type(path: str, value: Any, expected: str) -> Problem:
    return Problem(
        key=path or "(document)", found=_json_type(value), remedy=f"Use {expected}"
    )


def _unknown_key(path: str, known: dict) -> Problem:
    import difflib

    key = path.rpartition(".")[2]
    close = difflib.get_close_matches(key, known, n=1)
    remedy = f"Did you mean '{close[0]}'?" if close else "Remove it; known keys are "
    if not close:
        remedy += ", ".join(sorted(known))
    return Problem(key=path, found="unknown key", remedy=remedy)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def check_ip_address(
    key: str, host: str, problems: list[Problem], *, allow_any: bool = False
) -> None:
    """Adds a problem unless `host` is an IP address.

    0.0.0.0 and :: are accepted only with `allow_any`.
    """
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        remedy = "Use an IP address; host names are not resolved"
        problems.append(Problem(key=key, found=repr(host), remedy=remedy))
        return
    if address.is_unspecified and not allow_any:
        remedy = "Use an address that others can connect to"
        problems.append(Problem(key=key, found=repr(host), remedy=remedy))


def check_url(key: str, url: str, problems: list[Problem]) -> None:
    """Adds a problem unless `url` is a plain http URL with an IP address."""
    remedy = "Use a URL such as http://10.0.0.5:8080"
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        found = f"a URL that is not valid ({error})"
        problems.append(Problem(key=key, found=found, remedy=remedy))
        return
    if parts.username is not None or parts.password is not None:
        found = "a URL with user information (not shown)"
        problems.append(Problem(key=key, found=found, remedy=remedy))
        return
    if parts.query or parts.fragment or port == 0:
        found = f"{url!r} with a query, a fragment or port 0"
        problems.append(Problem(key=key, found=found, remedy=remedy))
        return
    check_ip_address(key, parts.hostname or "", problems)


def check_peer_address(key: str, address: str, problems: list[Problem]) -> None:
    """Adds a problem unless `address` is `ip:port`, with or without `tcp://`."""
    try:
        parts = urlsplit("//" + address.removeprefix("tcp://"))
        host, port = parts.hostname or "", parts.port
    except ValueError:
        host, port = "", None
    if not port or has_url_components(address):
        remedy = "Use an IP address and a port such as 10.0.0.5:7000"
        problems.append(Problem(key=key, found=repr(address), remedy=remedy))
        return
    check_ip_address(key, host, problems)


def has_url_components(address: str) -> bool:
    """Returns whether an address has a path, query, fragment or user information."""
    return any(mark in address.removeprefix("tcp://") for mark in "/?#@")


def check_unique(
    keys: list[tuple[str, str]], what: str, problems: list[Problem]
) -> None:
    """Adds a problem for each (key path, value) pair with a duplicate value."""
    first: dict[str, str] = {}
    for key, value in keys:
        if value in first:
            found = f"the same {what} as {first[value]}"
            problems.append(
                Problem(key=key, found=found, remedy=f"Give each its own {what}")
            )
        first.setdefault(value, key)


def raise_problems(problems: list[Problem], kind: type) -> None:
    """Raises `kind` with one error for each problem, if there are any."""
    if not problems:
        return
    errors = tuple(
        kind(key=problem.key, found=problem.found, remedy=problem.remedy)
        for problem in problems
    )
    first = errors[0]
    combined = kind(key=first.key, found=first.found, remedy=first.remedy)
    combined.errors = errors
    if len(errors) > 1:
        lines = [str(error) for error in errors]
        combined.args = ("\n".join(lines),)
        combined.message = "\n".join(lines)
        combined.remedy = ""
    raise combined


def json_schema(kind: type, title: str) -> bytes:
    """Returns the JSON Schema of a document type, indented, with a final newline."""
    schema = msgspec.json.schema(kind)
    schema = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": title,
    } | schema
    return json.dumps(schema, indent=2).encode() + b"\n"


def check_encodable(*texts: str) -> None:
    r"""Raises `ValueError` for text that cannot be encoded, as in messages and logs.

    >>> check_encodable("caf\u00e9")
    >>> check_encodable("\ud83d")
    Traceback (most recent call last):
    ...
    ValueError: '\ud83d' has one half of a character
    """
    for text in texts:
        try:
            text.encode()
        except UnicodeEncodeError as error:
            raise ValueError(f"{text[:40]!r} has one half of a character") from error
