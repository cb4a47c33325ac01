"""Rendezvous hashing, by which all instances choose the same without coordination."""

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, candidate: str) -> int:
    """Returns the 64-bit weight of a candidate for a key."""
    data = f"{key}\0{candidate}".encode()
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def highest(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the `count` candidates with the highest weights, highest first.

    >>> highest("key", ["a", "b", "c"], 2) == highest("key", ["c", "b", "a"], 2)
    True
    """
    ranked = sorted(candidates, key=lambda name: weight(key, name), reverse=True)
    return ranked[:count]
