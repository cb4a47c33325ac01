"""Output-length estimate: expected tokens by class and team, from past answers."""

import threading

from .registry import Registry

OUTPUT_LENGTH = Registry(decision="output length")

DEFAULT_TOKENS = 256.0
SAMPLE_WEIGHT = 0.1
# With fewer answers of a team, the mean of the class is the better estimate.
MIN_TEAM_SAMPLES = 5


class RunningMean:
    """Running mean: arithmetic at first, exponentially weighted later."""

    __slots__ = ("mean", "samples")

    def __init__(self):
        self.mean = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        self.mean += weight * (value - self.mean)


@OUTPUT_LENGTH.register("default")
class ObservedOutputLength:
    """Estimates the output length by the mean for class and team, or for the class.

    >>> lengths = ObservedOutputLength()
    >>> lengths.estimate("plan", "oak")
    256.0
    >>> lengths.note("plan", "oak", 900)
    >>> lengths.estimate("plan", "elm")
    900.0
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.by_class: dict[str, RunningMean] = {}
        self.by_team: dict[tuple[str, str], RunningMean] = {}

    def estimate(self, request_class: str, team: str) -> float:
        """Returns the expected number of generated tokens."""
        with self.lock:
            own = self.by_team.get((request_class, team))
            if own is not None and own.samples >= MIN_TEAM_SAMPLES:
                return own.mean
            general = self.by_class.get(request_class)
            return general.mean if general is not None else DEFAULT_TOKENS

    def note(self, request_class: str, team: str, tokens: int) -> None:
        """Records the length of a complete answer."""
        with self.lock:
            self.by_class.setdefault(request_class, RunningMean()).add(tokens)
            key = (request_class, team)
            self.by_team.setdefault(key, RunningMean()).add(tokens)
