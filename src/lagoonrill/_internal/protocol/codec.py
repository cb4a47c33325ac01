"""Encodes typed values: JSON for users and the platform, MessagePack for peers."""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def to_json(value: Any, *, pretty: bool = False) -> bytes:
    """Encodes a value as JSON, indented if `pretty` is set."""
    encoded = msgspec.json.encode(value)
    return msgspec.json.format(encoded, indent=2) if pretty else encoded


def from_json(data: bytes | str, kind: type[T]) -> T:
    """Decodes JSON into `kind`; raises `msgspec.ValidationError` on a mismatch."""
    return msgspec.json.decode(data, type=kind)


def to_msgpack(value: Any) -> bytes:
    """Encodes a value as MessagePack."""
    return msgspec.msgpack.encode(value)


def from_msgpack(data: bytes, kind: Any) -> Any:
    """Decodes MessagePack into `kind`."""
    return msgspec.msgpack.decode(data, type=kind)
