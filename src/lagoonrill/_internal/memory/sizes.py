"""Divides the memory of a process into the parts of its account."""

from ..protocol.gateway_settings import MemorySettings
from .account import MemoryAccount, Part, PartBounds

# Share of the memory for callers that is counted; the allocator cannot return all of
# what is free.
COUNTED_SHARE = 0.85
# Capacity of the smallest account: a body and an answer of the largest size.
MIN_CAPACITY_BYTES = 20 * 2**20
# An idle connection takes 21 kB, and one that has been used 52 kB (measured with 300
# connections).
CONNECTION_BYTES = 65_536


def capacity_bytes(memory_mb: int, memory: MemorySettings) -> int:
    """Returns the memory that callers can take together.

    >>> capacity_bytes(160, MemorySettings()) // 2**20
    95
    """
    counted = int((memory_mb - memory.process_mb) * 2**20 * COUNTED_SHARE)
    return max(MIN_CAPACITY_BYTES, counted)


def account_for(
    *, capacity_bytes: int, memory: MemorySettings | None = None
) -> MemoryAccount:
    """Returns an account of this capacity, divided by the settings."""
    memory = memory or MemorySettings()

    def bounds(floor: float, limit: float = 1.0) -> PartBounds:
        return PartBounds(
            floor=int(capacity_bytes * floor), limit=int(capacity_bytes * limit)
        )

    return MemoryAccount(
        capacity_bytes=capacity_bytes,
        bounds={
            Part.CONNECTIONS: bounds(memory.connection_floor, memory.connection_limit),
            Part.SMALL_BODIES: bounds(memory.small_body_floor),
            Part.BODIES: bounds(memory.body_floor),
            Part.ANSWERS: bounds(memory.answer_floor, memory.answer_limit),
        },
    )
