"""Fits the time to the first event as a constant plus a time per prompt token."""

# Weight of the newest sample: the fit follows about the last hundred prompts.
SAMPLE_WEIGHT = 0.01
# The fit is used after this many samples.
MIN_SAMPLES = 30
# The spread of the prompts' lengths, as a fraction of their mean, that a fit needs.
MIN_RELATIVE_SPREAD = 0.2


class PrefillFit:
    """Least-squares fit over the prompts that found no other prompts ahead.

    >>> fit = PrefillFit()
    >>> for tokens in (1_000, 9_000) * 20:
    ...     fit.add(tokens, 0.12 + tokens / 60_000)
    >>> round(fit.tokens_per_s())
    60000
    """

    __slots__ = ("samples", "seconds", "square", "product", "tokens")

    def __init__(self):
        self.samples = 0
        self.tokens = 0.0
        self.seconds = 0.0
        # Means of the squared lengths, and of the products of lengths and times.
        self.square = 0.0
        self.product = 0.0

    def add(self, tokens: int, seconds: float) -> None:
        """Adds the length of a prompt and the time to its first event."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.tokens += weight * (tokens - self.tokens)
        self.seconds += weight * (seconds - self.seconds)
        self.square += weight * (tokens * tokens - self.square)
        self.product += weight * (tokens * seconds - self.product)

    def tokens_per_s(self) -> float:
        """Returns the prefill rate, or 0 if the samples do not show it."""
        variance = self.square - self.tokens**2
        least = (MIN_RELATIVE_SPREAD * self.tokens) ** 2
        if self.samples < MIN_SAMPLES or variance <= least:
            return 0.0
        seconds_per_token = (self.product - self.tokens * self.seconds) / variance
        return 1 / seconds_per_token if seconds_per_token > 0 else 0.0
