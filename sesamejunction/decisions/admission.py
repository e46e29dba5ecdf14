"""Adaptive concurrency limit of a target, from its latency and refusals."""

import dataclasses

from sesamejunction.model import valueclass

# Weights of a new latency in the short-term average and in the baseline, both
# exponentially weighted moving averages.
SHORT_AVERAGE_WEIGHT = 0.1
BASELINE_WEIGHT = 0.002
# The target counts as cold when the short-term average exceeds this multiple
# of the baseline, or after two refusals (sheds) within this time.
COLD_RATIO = 4.0
COLD_SHED_INTERVAL_S = 1.0
# Averages below this mostly show scheduling delays on a busy instance.
MIN_COLD_LATENCY_S = 0.005
# Answers that are needed before the baseline is used.
MIN_BASELINE_SAMPLES = 32
# Requests that may be queued for each of the target's slots.
QUEUE_FACTOR = 4
# A refused caller should not retry sooner.
MIN_RETRY_DELAY_S = 0.05


@valueclass.define
class AdmissionState:
    """Limit, latency averages and refusals of a target.

    ``limit`` is the number of concurrent requests, ``slots`` its maximum
    and ``cold_slots`` its value for a cold target. ``good_answers`` counts
    successful answers since the limit last changed, up to the limit, and
    ``samples`` all of them. ``short_s`` and ``baseline_s`` are the
    short-term average and the baseline of the latency. ``last_shed_at`` is
    in boot-clock seconds.
    """

    slots: int
    cold_slots: int
    limit: int
    good_answers: int = 0
    samples: int = 0
    short_s: float = 0.0
    baseline_s: float = 0.0
    last_shed_at: float = float('-inf')

    @property
    def queue_limit(self) -> int:
        """Return the largest number of requests that may be queued."""
        return self.slots * QUEUE_FACTOR


def start_cold(slots: int, cold_slots: int) -> AdmissionState:
    """Return the state for a target in cold start."""
    cold_limit = max(1, min(slots, cold_slots))
    return AdmissionState(slots, cold_limit, cold_limit)


def reset_to_cold(admission: AdmissionState) -> AdmissionState:
    """Return the state with the limit of a cold target, baseline kept."""
    return dataclasses.replace(
        admission,
        limit=admission.cold_slots,
        good_answers=0,
        short_s=admission.baseline_s,
    )


def count_answer(
    admission: AdmissionState, latency_s: float
) -> AdmissionState:
    """Return the state after a successful answer."""
    samples = admission.samples + 1
    if samples <= MIN_BASELINE_SAMPLES:
        # An arithmetic mean at first: with the small weight, the slow first
        # answers of a cold target would stay in the baseline for long.
        baseline = (
            admission.baseline_s + (latency_s - admission.baseline_s) / samples
        )
        short_average = baseline
    else:
        baseline = (
            admission.baseline_s
            + (latency_s - admission.baseline_s) * BASELINE_WEIGHT
        )
        short_average = (
            admission.short_s
            + (latency_s - admission.short_s) * SHORT_AVERAGE_WEIGHT
        )
    significant = (
        samples > MIN_BASELINE_SAMPLES and short_average > MIN_COLD_LATENCY_S
    )
    if significant and short_average > baseline * COLD_RATIO:
        admission = dataclasses.replace(
            admission, samples=samples, baseline_s=baseline
        )
        return reset_to_cold(admission)
    limit, good_answers = _raise_limit(admission)
    # This runs for each answer, and dataclasses.replace() is slower, since
    # it inspects each field.
    return AdmissionState(
        admission.slots,
        admission.cold_slots,
        limit,
        good_answers,
        samples,
        short_average,
        baseline,
        admission.last_shed_at,
    )


def count_shed(admission: AdmissionState, now: float) -> AdmissionState:
    """Return the state after the target has refused a request (shed)."""
    if now - admission.last_shed_at <= COLD_SHED_INTERVAL_S:
        return dataclasses.replace(reset_to_cold(admission), last_shed_at=now)
    return dataclasses.replace(
        admission,
        limit=max(admission.cold_slots, admission.limit // 2),
        good_answers=0,
        last_shed_at=now,
    )


def estimate_wait(admission: AdmissionState, ahead: int) -> float:
    """Return the expected wait in seconds behind ``ahead`` requests."""
    return (ahead + 1) * admission.short_s / max(1, admission.limit)


def suggest_retry_delay(admission: AdmissionState, ahead: int) -> float:
    """Return the seconds after which a refused caller should retry."""
    return max(MIN_RETRY_DELAY_S, estimate_wait(admission, ahead))


def _raise_limit(admission) -> tuple[int, int]:
    """Return the limit and the count of good answers after one more.

    The limit rises by one after as many good answers as it allows requests.
    """
    good_answers = admission.good_answers + 1
    if good_answers < admission.limit or admission.limit >= admission.slots:
        return admission.limit, min(good_answers, admission.limit)
    return admission.limit + 1, 0
