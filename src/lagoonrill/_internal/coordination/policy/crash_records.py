"""Records of crashes of endpoints, and what they have in common."""

from collections.abc import Iterable

import msgspec

# Crashes within this time have a common cause, such as the loss of a rack.
COMMON_CAUSE_S = 0.1


class Exposure(msgspec.Struct, kw_only=True, frozen=True):
    """A request that was on an endpoint when it crashed."""

    # Whether the endpoint had begun to answer.
    begun: bool
    sent_at: float


class Crash(msgspec.Struct, kw_only=True):
    """Crash of one incarnation of an endpoint."""

    service: str
    at: float
    # By fingerprint.
    requests: dict[str, Exposure] = {}
    # For each suspected part, the requests that had it.
    parts: dict[str, set[str]] = {}

    def note_exposure(self, request: str, *, begun: bool, sent_at: float) -> None:
        """Records a request; of several copies, the most suspect one counts."""
        known = self.requests.get(request)
        if known is not None:
            begun = begun and known.begun
            sent_at = max(sent_at, known.sent_at)
        self.requests[request] = Exposure(begun=begun, sent_at=sent_at)


def independent_count(crashes: Iterable[Crash]) -> int:
    """Returns the number of crashes; those at the same time count once."""
    count = 0
    counted_at = float("-inf")
    for at in sorted(crash.at for crash in crashes):
        if at - counted_at > COMMON_CAUSE_S:
            count += 1
            counted_at = at
    return count


def request_crash_count(crashes: Iterable[Crash], request: str) -> int:
    """Returns the number of crashes for which a request may be the cause of its own."""
    count = 0
    counted_at = float("-inf")
    for crash in sorted(crashes, key=lambda item: item.at):
        sent_after = crash.requests[request].sent_at >= counted_at
        if sent_after or crash.at - counted_at > COMMON_CAUSE_S:
            count += 1
            counted_at = crash.at
    return count


def has_rival(request: str, crashes: list[Crash]) -> bool:
    """Returns whether another request explains these crashes as well.

    It was on all of the endpoints, or on all but one, as the reports of a crash arrive
    one after the other; and its answers had not begun there more often.
    """
    shared: dict[str, list[Crash]] = {}
    for crash in crashes:
        for other in crash.requests.keys() - {request}:
            shared.setdefault(other, []).append(crash)
    return any(
        len(on) >= len(crashes) - 1
        and begun_count(other, on) <= begun_count(request, on)
        for other, on in shared.items()
    )


def begun_count(request: str, crashes: Iterable[Crash]) -> int:
    """Returns on how many crashed endpoints an answer to a request had begun."""
    return sum(crash.requests[request].begun for crash in crashes)


def one_request_explains(crashes: list[Crash]) -> bool:
    """Returns whether one request was on all endpoints and had begun on none."""
    common = set.intersection(
        *(
            {name for name, found in crash.requests.items() if not found.begun}
            for crash in crashes
        )
    )
    return bool(common)
