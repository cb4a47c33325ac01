"""Speed of each engine as a factor on the prefill rate of its service.

Load pattern: some engines run at half the speed of the others all day, and some turn
slow for seconds. In a large fleet, one instance sends a prompt to a given engine only
every ten seconds or so, while reports that arrive late make all engines look slow at
the same time. Instances therefore exchange their samples, and an engine is compared
with the other engines of its service over the same seconds.
"""

import math
import statistics
import threading
import time
from collections import deque

from ..protocol.messages import SpeedSample

# Evidence loses its weight with this time constant, so that the factor of an engine
# without observations returns to 1.
EVIDENCE_DECAY_S = 8.0
# Standard deviation, as a logarithm, of the engines' factors before any sample.
PRIOR_DEVIATION = 0.4
# Standard deviation of one sample, as a logarithm: the first estimate and its bounds.
INITIAL_NOISE = 0.4
MIN_NOISE = 0.15
MAX_NOISE = 1.5
# Weight of the newest sample in the mean and noise of a service's samples.
SAMPLE_WEIGHT = 0.05
# A sample counts at most this far, as a logarithm, from what is known of its engine.
MAX_INNOVATION = 1.5
# A change of speed is shown by the sum, over successive samples, of their distances in
# standard deviations from what is known, less the allowance for each (a CUSUM chart).
# The evidence from before the change is then discarded. One sample counts for at most
# `MAX_DISTANCE`, so that it takes two.
CHANGE_ALLOWANCE = 0.5
CHANGE_LIMIT = 4.0
MAX_DISTANCE = 2.5
# The part that all engines have in common, for example because reports are late, is the
# median of this many samples, without those of the engine itself and older ones.
COMMON_SAMPLES = 15
MIN_COMMON_SAMPLES = 3
COMMON_AGE_S = 3.0
# A factor differs from 1 if it does so by at least this much and this many standard
# deviations. It returns to 1 at the lower pair, so that it does not flap.
CLEAR_CHANGE, CLEAR_DEVIATIONS = math.log(1.25), 3.0
KEPT_CHANGE, KEPT_DEVIATIONS = math.log(1.12), 1.0
MIN_FACTOR = 0.1
MAX_FACTOR = 2.0
# Evidence below this, as a number of samples, is discarded.
LEAST_EVIDENCE = 0.02
# Factors are computed anew after this time at the earliest.
REFRESH_S = 0.05
# Own samples kept for the next digest.
MAX_UNSHARED = 64


class SampleMeans:
    """Mean and noise of the logarithms of actual to expected times."""

    __slots__ = ("mean", "noise", "samples")

    def __init__(self):
        self.samples = 0
        self.mean = 0.0
        self.noise = INITIAL_NOISE

    def add(self, value: float, deviation: float) -> None:
        """Adds a sample; `deviation` is its distance from the mean of its engine."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        step = value - self.mean
        self.mean += weight * min(MAX_INNOVATION, max(-MAX_INNOVATION, step))
        # The mean absolute deviation of a normal distribution is 0.8 of the standard
        # deviation.
        noise = abs(deviation) / 0.8
        self.noise += SAMPLE_WEIGHT * (noise - self.noise)
        self.noise = min(MAX_NOISE, max(MIN_NOISE, self.noise))


class Evidence:
    """Weighted samples of one engine; the weights decay with time."""

    __slots__ = ("at", "information", "samples", "since_change", "sum")

    def __init__(self, at: float):
        self.at = at
        # Sum of the samples, each divided by its variance, and sum of these weights.
        self.sum = 0.0
        self.information = 0.0
        self.samples = 0.0
        # Samples since the engine may have become slower, and faster.
        self.since_change = (PossibleChange(), PossibleChange())

    @property
    def mean(self) -> float:
        return self.sum / self.information if self.information else 0.0

    def decay(self, now: float) -> None:
        if now > self.at:
            factor = math.exp((self.at - now) / EVIDENCE_DECAY_S)
            self.sum *= factor
            self.information *= factor
            self.samples *= factor
            self.at = now

    def add(self, value: float, noise: float) -> None:
        """Adds a sample with its standard deviation."""
        weight = 1 / noise**2
        distance = (value - self.mean) / noise if self.information else 0.0
        self.sum += value * weight
        self.information += weight
        self.samples += 1
        for change, sign in zip(self.since_change, (1, -1), strict=True):
            if change.add(sign * distance, value, weight):
                self.sum, self.information = change.sum, change.information
                self.samples = change.samples
                self.since_change = (PossibleChange(), PossibleChange())
                break


class PossibleChange:
    """Samples since an engine may have changed its speed in one direction."""

    __slots__ = ("distance", "information", "samples", "sum")

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        self.distance = self.sum = self.information = self.samples = 0.0

    def add(self, distance: float, value: float, weight: float) -> bool:
        """Adds a sample; returns whether the change is certain enough."""
        self.distance += min(MAX_DISTANCE, distance) - CHANGE_ALLOWANCE
        if self.distance <= 0:
            self.clear()
            return False
        self.sum += value * weight
        self.information += weight
        self.samples += 1
        return self.distance >= CHANGE_LIMIT


class ServiceSpeeds:
    """Evidence and factors of the engines of one service."""

    __slots__ = (
        "changed",
        "engines",
        "factors",
        "long",
        "recent",
        "refreshed_at",
        "short",
    )

    def __init__(self):
        self.engines: dict[str, Evidence] = {}
        # Only the factors that differ clearly from 1.
        self.factors: dict[str, float] = {}
        self.changed = False
        self.refreshed_at = -math.inf
        # Time, engine and distance from what was known of the engine.
        self.recent: deque[tuple[float, str, float]] = deque(maxlen=COMMON_SAMPLES)
        self.short = SampleMeans()
        self.long = SampleMeans()

    def add(self, engine: str, value: float, noise: float, now: float) -> None:
        evidence = self.engines.get(engine)
        if evidence is None:
            evidence = self.engines[engine] = Evidence(now)
        evidence.decay(now)
        common = self._common(engine, now)
        self.recent.append((now, engine, value - evidence.mean))
        evidence.add(value - common, noise)
        self.changed = True

    def _common(self, engine: str, now: float) -> float:
        """Returns how much slower than known the other engines are at the moment."""
        found = [
            value
            for at, name, value in self.recent
            if name != engine and now - at < COMMON_AGE_S
        ]
        return statistics.median(found) if len(found) >= MIN_COMMON_SAMPLES else 0.0

    def refresh(self, now: float) -> None:
        """Computes the factors from the evidence."""
        self.changed, self.refreshed_at = False, now
        for name, evidence in list(self.engines.items()):
            evidence.decay(now)
            if evidence.samples < LEAST_EVIDENCE:
                del self.engines[name]
        found = self.engines.values()
        if len(found) < 2:
            self.factors = {}
            return
        # What all engines have in common, such as late reports, is not their speed.
        common = statistics.median([evidence.mean for evidence in found])
        variances = [1 / evidence.information for evidence in found]
        # The variance of a median is about 1.6 times that of the mean.
        common_variance = 1.6 * statistics.mean(variances) / len(variances)
        self.factors = {
            name: factor
            for name, evidence in self.engines.items()
            if (factor := self._factor(name, evidence, common, common_variance)) != 1
        }

    def _factor(
        self, name: str, evidence: Evidence, common: float, common_variance: float
    ) -> float:
        prior = 1 / PRIOR_DEVIATION**2
        variance = 1 / evidence.information + common_variance
        slowness = (evidence.mean - common) / (1 + prior * variance)
        deviation = math.sqrt(1 / (1 / variance + prior))
        if name in self.factors:
            change, deviations = KEPT_CHANGE, KEPT_DEVIATIONS
        else:
            change, deviations = CLEAR_CHANGE, CLEAR_DEVIATIONS
        if abs(slowness) < max(change, deviations * deviation):
            return 1.0
        return min(MAX_FACTOR, max(MIN_FACTOR, math.exp(-slowness)))


class EngineSpeeds:
    """Learns the speed factors of engines from the times to their first events.

    A factor is exactly 1 unless the samples show clearly that the engine is slower or
    faster than the other engines of its service.

    >>> now = [0.0]
    >>> speeds = EngineSpeeds(clock=lambda: now[0])
    >>> for _ in range(20):
    ...     now[0] += 0.1
    ...     for engine, took_s in (("a", 0.2), ("b", 0.2), ("c", 0.2), ("d", 0.4)):
    ...         speeds.add("s", engine, took_s=took_s, expected_s=0.2, long=True)
    >>> speeds.factor("s", "a"), round(speeds.factor("s", "d"), 1)
    (1.0, 0.5)
    """

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.lock = threading.Lock()
        self.services: dict[str, ServiceSpeeds] = {}
        # Own samples that the peers have not been sent yet, with their service.
        self.unshared: deque[tuple[str, SpeedSample]] = deque(maxlen=MAX_UNSHARED)

    def add(
        self,
        service: str,
        engine: str,
        *,
        took_s: float,
        expected_s: float,
        long: bool,
    ) -> None:
        """Adds the time to a first event and the one expected at the service's rate.

        The expected time of short prompts is mostly not prefill. They are compared
        with each other, as are `long` ones.
        """
        now = self.clock()
        with self.lock:
            speeds = self.services.setdefault(service, ServiceSpeeds())
            means = speeds.long if long else speeds.short
            ratio = math.log(took_s / expected_s)
            known = speeds.engines.get(engine)
            level = known.mean if known is not None else 0.0
            # The first sample is the mean, and shows nothing about the engine.
            value = ratio - means.mean if means.samples else 0.0
            value = min(level + MAX_INNOVATION, max(level - MAX_INNOVATION, value))
            means.add(ratio, value - level)
            sample = SpeedSample(
                engine=engine,
                slowness_pct=round(100 * value),
                noise_pct=round(100 * means.noise),
            )
            self.unshared.append((service, sample))
            speeds.add(engine, value, means.noise, now)

    def take_unshared(self) -> dict[str, list[SpeedSample]]:
        """Returns the own samples since the last call, by service."""
        samples: dict[str, list[SpeedSample]] = {}
        with self.lock:
            while self.unshared:
                service, sample = self.unshared.popleft()
                samples.setdefault(service, []).append(sample)
        return samples

    def record_peer_samples(self, samples: dict[str, list[SpeedSample]]) -> None:
        """Adds the samples of a peer."""
        now = self.clock()
        with self.lock:
            for service, found in samples.items():
                speeds = self.services.setdefault(service, ServiceSpeeds())
                for sample in found:
                    noise = max(MIN_NOISE, sample.noise_pct / 100)
                    speeds.add(sample.engine, sample.slowness_pct / 100, noise, now)

    def factor(self, service: str, engine: str) -> float:
        """Returns the speed of an engine relative to its service's rate."""
        return self.factors(service).get(engine, 1.0)

    def factors(self, service: str) -> dict[str, float]:
        """Returns the factors that differ from 1."""
        speeds = self.services.get(service)
        if speeds is None:
            return {}
        now = self.clock()
        age_s = now - speeds.refreshed_at
        if age_s >= (REFRESH_S if speeds.changed else 10 * REFRESH_S):
            with self.lock:
                speeds.refresh(now)
        return speeds.factors

    def keep_only(self, engines: set[str]) -> None:
        """Discards the evidence of engines that no longer exist."""
        with self.lock:
            for speeds in self.services.values():
                for engine in set(speeds.engines) - engines:
                    del speeds.engines[engine]

    def dump(self) -> dict[str, dict[str, float]]:
        """Returns the factors that differ from 1, by service."""
        return {
            service: {name: round(factor, 2) for name, factor in found.items()}
            for service in list(self.services)
            if (found := self.factors(service))
        }
