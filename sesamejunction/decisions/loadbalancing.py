"""Choice among the targets of a service that is not divided by key."""

import dataclasses

from sesamejunction.model import choosing
from sesamejunction.model import requests
from sesamejunction.model import timing

# Added to the score for a target in another availability zone.
ZONE_STEP_S = 0.0005
# Weight of one new latency in the average.
LATENCY_WEIGHT = 0.2
# Failures in a row after which a target is ejected, and for how long.
EJECT_FAILURES = 3
EJECT_S = 5.0
# At most one target in this many may be ejected.
EJECT_ONE_IN = 3
# Assumed while no target has a fresh measurement.
NEUTRAL_LATENCY_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStats:
    """What this node knows of one target; times are boot-clock seconds.

    ``open_attempts`` counts this node's attempts without a result.
    """

    latency_s: float = NEUTRAL_LATENCY_S
    measured_at: float = float('-inf')
    load: requests.Load | None = None
    open_attempts: int = 0
    failures: int = 0
    ejected_until: float = float('-inf')


def start_attempt(view: TargetStats) -> TargetStats:
    """Return the view after an attempt was sent there."""
    return dataclasses.replace(view, open_attempts=view.open_attempts + 1)


def end_attempt(
    view: TargetStats, ended: choosing.AttemptEnded, now: float
) -> TargetStats:
    """Return the view after an attempt ended."""
    open_attempts = max(0, view.open_attempts - 1)
    if ended.failed:
        failures = view.failures + 1
        until = view.ejected_until
        if failures >= EJECT_FAILURES:
            until = now + EJECT_S
        return dataclasses.replace(
            view,
            open_attempts=open_attempts,
            failures=failures,
            ejected_until=until,
        )
    average = view.latency_s
    weight = LATENCY_WEIGHT if is_fresh(view, now) else 1.0
    if ended.latency_s is not None:
        average += (ended.latency_s - average) * weight
    elif ended.abandoned_s is not None:
        # Without this a target that is always overtaken by second tries
        # would keep the latency of its better days.
        average += max(0.0, ended.abandoned_s - average) * weight
    elif ended.load is None:
        return dataclasses.replace(view, open_attempts=open_attempts)
    return TargetStats(average, now, ended.load or view.load, open_attempts)


def score(
    view: TargetStats, same_zone: bool, now: float, fallback_s: float
) -> float:
    """Return the expected cost of one more request there, in seconds.

    ``fallback_s`` stands for a latency that is too old.
    """
    latency, waiting = fallback_s, view.open_attempts
    if is_fresh(view, now):
        latency = view.latency_s
        if view.load is not None:
            reported = view.load.in_flight + view.load.queued
            waiting = max(waiting, reported)
    step = 0.0 if same_zone else ZONE_STEP_S
    return latency * (1 + waiting) + step


def is_fresh(view: TargetStats, now: float) -> bool:
    """Return whether latency and load of the view still count."""
    return now - view.measured_at <= timing.LOAD_MAX_AGE_S


def list_not_ejected(views: dict[int, TargetStats], now: float) -> list[int]:
    """Return the members that are not ejected.

    When more than a third are, the ones whose ejection ends first stay.
    """
    ejected = sorted(
        (one for one, view in views.items() if view.ejected_until > now),
        key=lambda one: views[one].ejected_until,
        reverse=True,
    )[: len(views) // EJECT_ONE_IN]
    return [one for one in views if one not in ejected]


def choose_target(views, zones, here: str, draw, now: float) -> int:
    """Return the better of two members drawn at random.

    ``views`` maps at least one incarnation to its View, ``zones`` to its
    availability zone; ``draw(n)`` returns a random integer below n.
    """
    eligible = list_not_ejected(views, now)
    first = eligible.pop(draw(len(eligible)))
    if not eligible:
        return first
    second = eligible[draw(len(eligible))]
    # A target without a fresh measurement is taken to be as fast as the
    # other, so it is tried again, but not with a burst of requests.
    known = [
        views[one].latency_s
        for one in (first, second)
        if is_fresh(views[one], now)
    ]
    fallback = min(known, default=NEUTRAL_LATENCY_S)
    return min(
        (first, second),
        key=lambda one: score(views[one], zones[one] == here, now, fallback),
    )
