"""Load balancing over the targets of a service that is not split by key.

The better of two random targets is chosen by latency and load, and targets
that fail repeatedly are ejected for a time.
"""

import dataclasses

from sesamejunction.model import choosing
from sesamejunction.model import requests
from sesamejunction.model import timing
from sesamejunction.model import valueclass

# Added to the score of a target in another availability zone.
CROSS_ZONE_COST_S = 0.0005
# Weight of a new latency in the moving average.
LATENCY_WEIGHT = 0.2
# Consecutive failures after which a target is ejected, and for how long.
EJECT_FAILURES = 3
EJECT_S = 5.0
# At most one target in this many may be ejected.
EJECT_ONE_IN = 3
# Assumed while neither target has a fresh measurement.
DEFAULT_LATENCY_S = 0.001


@valueclass.define
class TargetStats:
    """This node's measurements of one target; times are boot-clock seconds.

    ``open_attempts`` counts this node's attempts without a result.
    ``failures`` counts consecutive failures.
    """

    latency_s: float = DEFAULT_LATENCY_S
    measured_at: float = float('-inf')
    load: requests.Load | None = None
    open_attempts: int = 0
    failures: int = 0
    ejected_until: float = float('-inf')


def start_attempt(stats: TargetStats) -> TargetStats:
    """Return the statistics after an attempt was sent to the target."""
    return dataclasses.replace(stats, open_attempts=stats.open_attempts + 1)


def end_attempt(
    stats: TargetStats, ended: choosing.AttemptEnded, now: float
) -> TargetStats:
    """Return the statistics after an attempt has ended."""
    open_attempts = max(0, stats.open_attempts - 1)
    if ended.failed:
        failures = stats.failures + 1
        ejected_end = stats.ejected_until
        if failures >= EJECT_FAILURES:
            ejected_end = now + EJECT_S
        return dataclasses.replace(
            stats,
            open_attempts=open_attempts,
            failures=failures,
            ejected_until=ejected_end,
        )
    average = stats.latency_s
    weight = LATENCY_WEIGHT if is_fresh(stats, now) else 1.0
    if ended.latency_s is not None:
        average += (ended.latency_s - average) * weight
    elif ended.abandoned_s is not None:
        # The latency is at least the duration of the abandoned attempt.
        # Without this, a target whose attempts always lose to hedged ones
        # would keep its former latency.
        average += max(0.0, ended.abandoned_s - average) * weight
    elif ended.load is None:
        return dataclasses.replace(stats, open_attempts=open_attempts)
    return TargetStats(average, now, ended.load or stats.load, open_attempts)


def score(
    stats: TargetStats, same_zone: bool, now: float, fallback_s: float
) -> float:
    """Return the expected latency of one more request, in seconds.

    ``fallback_s`` replaces a latency that is too old.
    """
    latency, pending = fallback_s, stats.open_attempts
    if is_fresh(stats, now):
        latency = stats.latency_s
        if stats.load is not None:
            reported = stats.load.in_flight + stats.load.queued
            pending = max(pending, reported)
    zone_cost = 0.0 if same_zone else CROSS_ZONE_COST_S
    return latency * (1 + pending) + zone_cost


def is_fresh(stats: TargetStats, now: float) -> bool:
    """Return whether the measured latency and load are recent enough."""
    return now - stats.measured_at <= timing.LOAD_MAX_AGE_S


def list_not_ejected(
    stats_by_member: dict[int, TargetStats], now: float
) -> list[int]:
    """Return the members that are not ejected.

    If more than a third are ejected, those whose ejection ends first are
    used anyway.
    """
    ejected = sorted(
        (
            member
            for member, stats in stats_by_member.items()
            if stats.ejected_until > now
        ),
        key=lambda member: stats_by_member[member].ejected_until,
        reverse=True,
    )[: len(stats_by_member) // EJECT_ONE_IN]
    return [member for member in stats_by_member if member not in ejected]


def choose_target(
    stats_by_member, zones, own_zone: str, draw, now: float
) -> int:
    """Return the better of two members drawn at random.

    ``stats_by_member`` maps at least one incarnation to its TargetStats,
    ``zones`` maps it to its availability zone; ``draw(n)`` returns a random
    integer below n.
    """
    eligible = list_not_ejected(stats_by_member, now)
    first = eligible.pop(draw(len(eligible)))
    if not eligible:
        return first
    second = eligible[draw(len(eligible))]
    # A target without a fresh measurement is assumed to be as fast as the
    # other. So it is tried again, but does not get a burst of requests.
    fresh_latencies = [
        stats_by_member[member].latency_s
        for member in (first, second)
        if is_fresh(stats_by_member[member], now)
    ]
    fallback = min(fresh_latencies, default=DEFAULT_LATENCY_S)
    return min(
        (first, second),
        key=lambda member: score(
            stats_by_member[member], zones[member] == own_zone, now, fallback
        ),
    )
