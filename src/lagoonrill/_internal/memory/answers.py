"""Bounds the memory that unfinished answers of endpoints take.

Load pattern: faulty endpoints send bytes without end, to many calls at once. A single
answer is bounded, but the sum of them is not. Each call may hold a small answer at any
time; what is beyond that is reserved in one part of the account. A call that finds it
used up fails alone, and calls with small answers go on.
"""

from .account import AccountPart

# Answers up to this size need no reservation: the cost of a caller's connection covers
# them.
FREE_BYTES = 32_768
# A body is held twice for a moment, in parts and as a whole.
COPIES = 2
# Time that a part of an answer waits for memory of others.
ANSWER_WAIT_S = 0.3


class AnswerShare:
    """What the answers of one call take of the account, until `close`.

    >>> from .sizes import account_for
    >>> memory = account_for(capacity_bytes=100_000).parts["answers"]
    >>> share = AnswerShare(memory=memory)
    >>> share.grow(FREE_BYTES), memory.held_bytes
    (True, 0)
    >>> share.grow(10_000), memory.held_bytes
    (True, 20000)
    >>> share.grow(100_000), memory.held_bytes
    (False, 20000)
    >>> share.close()
    >>> memory.held_bytes
    0
    """

    __slots__ = ("bytes", "memory", "taken")

    def __init__(self, *, memory: AccountPart):
        self.memory = memory
        self.bytes = 0
        self.taken = 0

    def grow(self, count: int) -> bool:
        """Adds bytes of an answer; returns False if there is no memory for them."""
        size = self.bytes + count
        missing = max(0, size - FREE_BYTES) * COPIES - self.taken
        if missing > 0:
            if not (self.memory.take(missing) or self._wait_for(missing)):
                return False
            self.taken += missing
        self.bytes = size
        return True

    def _wait_for(self, count: int) -> bool:
        """Waits until callers that do not read their answers have been ended."""

        def while_waiting(is_first: bool) -> bool:
            if is_first:
                self.memory.relieve()
            return True

        return self.memory.wait_and_take(
            count, timeout_s=ANSWER_WAIT_S, while_waiting=while_waiting
        )

    def close(self) -> None:
        """Gives everything back."""
        taken, self.taken = self.taken, 0
        self.bytes = 0
        self.memory.give_back(taken)
