"""Concurrency limit of a target, found by its answers and sheds."""

import dataclasses

# Weights of one new latency in the short and in the long-run average.
SHORT_WEIGHT = 0.1
LONG_WEIGHT = 0.002
# The target counts as cold when the short average passes this multiple of
# the long-run base, or after two sheds within this time.
COLD_RATIO = 4.0
COLD_SHEDS_S = 1.0
# Averages below this are dominated by scheduling on a busy instance.
COLD_FLOOR_S = 0.005
# Answers before the base is trusted.
BASE_SAMPLES = 32
QUEUE_FACTOR = 4
SHORTEST_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionState:
    """What is known of the target; times in boot-clock seconds.

    ``good`` counts answers since the limit last changed.
    """

    slots: int
    cold_slots: int
    limit: int
    good: int = 0
    samples: int = 0
    short_s: float = 0.0
    base_s: float = 0.0
    shed_at: float = float('-inf')

    @property
    def queue_limit(self) -> int:
        """Return how many requests may wait."""
        return self.slots * QUEUE_FACTOR


def start_cold(slots: int, cold_slots: int) -> AdmissionState:
    """Return the state for a target in cold start."""
    cold = max(1, min(slots, cold_slots))
    return AdmissionState(slots, cold, cold)


def reset_to_cold(found: AdmissionState) -> AdmissionState:
    """Return the state after the target became cold; the base is kept."""
    return dataclasses.replace(
        found, limit=found.cold_slots, good=0, short_s=found.base_s
    )


def count_answer(found: AdmissionState, latency_s: float) -> AdmissionState:
    """Return the state after a good answer."""
    samples = found.samples + 1
    if samples <= BASE_SAMPLES:
        # A plain mean, so that the first answers of a cold target do not
        # stay in the base.
        base = found.base_s + (latency_s - found.base_s) / samples
        short = base
    else:
        base = found.base_s + (latency_s - found.base_s) * LONG_WEIGHT
        short = found.short_s + (latency_s - found.short_s) * SHORT_WEIGHT
    trusted = samples > BASE_SAMPLES and short > COLD_FLOOR_S
    if trusted and short > base * COLD_RATIO:
        found = dataclasses.replace(found, samples=samples, base_s=base)
        return reset_to_cold(found)
    limit, good = _grow(found)
    # Runs for each answer, and replace() looks at each field in turn.
    return AdmissionState(
        found.slots,
        found.cold_slots,
        limit,
        good,
        samples,
        short,
        base,
        found.shed_at,
    )


def count_shed(found: AdmissionState, now: float) -> AdmissionState:
    """Return the state after the target refused work."""
    if now - found.shed_at <= COLD_SHEDS_S:
        return dataclasses.replace(reset_to_cold(found), shed_at=now)
    return dataclasses.replace(
        found,
        limit=max(found.cold_slots, found.limit // 2),
        good=0,
        shed_at=now,
    )


def estimate_wait(found: AdmissionState, ahead: int) -> float:
    """Return the seconds until a request with this many ahead starts."""
    return (ahead + 1) * found.short_s / max(1, found.limit)


def suggest_retry_delay(found: AdmissionState, ahead: int) -> float:
    """Return after how many seconds a refused caller should return."""
    return max(SHORTEST_RETRY_S, estimate_wait(found, ahead))


def _grow(found) -> tuple[int, int]:
    """Return the limit after one more good answer, and their number."""
    good = found.good + 1
    if good < found.limit or found.limit >= found.slots:
        return found.limit, min(good, found.limit)
    return found.limit + 1, 0
