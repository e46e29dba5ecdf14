"""Retry budget of one node for one service.

The operators limit the retries of a service over all nodes: in any window,
to a fraction of the requests in that window, the one before it or the one
half a window before it, plus a fixed number. Each node keeps a part of that
limit by itself, so the limit holds without messages between nodes, also while
they cannot reach each other.

A budget is a token bucket. A node's retries in a window are at most the
credit at its start plus what is added in it:

- each request adds EARNED of the ratio, so the requests of the window;
- the credit is at most CARRIED of the ratio times the requests of the window
  before it, plus the node's share of FIXED of the fixed number;
- the node's share of FIXED of the fixed number is added over one window.

EARNED + CARRIED < 1 and 2 * FIXED < 1, so the sum over all nodes stays below
the limit. A restarted node begins without credit.
"""

import dataclasses

from sesamejunction.model import valueclass

# Parts of the ratio that a request adds to the credit at once, and that the
# credit may hold for the requests of the last window. The remainder covers
# retries that are delayed in queues and reach their target in a later window.
EARNED = 0.4
CARRIED = 0.4
# Part of the fixed number that the credits of all nodes may hold, and that is
# added to them in one window. The remainder covers nodes that know up to a
# third fewer members than there are.
FIXED = 0.33
# Requests are counted in this many slots of a window.
SLOTS = 10


@valueclass.define
class Limits:
    """Limit on the retries of each service over all nodes.

    In a window of ``window_s`` seconds, ``ratio`` times the requests plus
    ``fixed`` retries are allowed.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    fixed: float = 60.0


DEFAULT_LIMITS = Limits()


@valueclass.define
class RetryBudget:
    """Credit for retries, and the requests counted in the last window.

    ``at`` is the boot-clock time of the last change. ``counts`` has the
    requests of each slot, the newest, with the number ``slot``, last.
    """

    credit: float = 0.0
    at: float = 0.0
    slot: int = 0
    counts: tuple[int, ...] = (0,) * SLOTS


def open_budget(limits: Limits, now: float) -> RetryBudget:
    """Return a budget without credit."""
    return RetryBudget(0.0, now, _find_slot(limits, now))


def add_request(
    budget: RetryBudget, limits: Limits, members: int, now: float
) -> RetryBudget:
    """Return the budget after one more request.

    ``members`` is the number of nodes that share the limit.
    """
    counts = _shift_counts(budget, limits, now)
    counts = (*counts[:-1], counts[-1] + 1)
    earned = EARNED * limits.ratio
    return _refresh(budget, limits, members, now, counts, earned)


def take_retry(
    budget: RetryBudget,
    limits: Limits,
    members: int,
    now: float,
    reserved: float = 0.0,
) -> tuple[RetryBudget, bool]:
    """Return the budget and whether it allows one retry now.

    An allowed retry is taken from the credit. ``reserved`` is the part of
    what the credit holds for recent requests that must remain for other
    retries.
    """
    counts = _shift_counts(budget, limits, now)
    budget = _refresh(budget, limits, members, now, counts)
    kept = reserved * _find_carried(limits, counts)
    if budget.credit < 1 + kept:
        return budget, False
    return dataclasses.replace(budget, credit=budget.credit - 1), True


def return_retry(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a retry that has reached no target.

    The next change limits the credit again.
    """
    return dataclasses.replace(budget, credit=budget.credit + 1)


def charge_retry(
    budget: RetryBudget,
    limits: Limits,
    members: int,
    now: float,
    share: float,
) -> RetryBudget:
    """Return the budget after a retry that could not be prevented.

    ``share`` is the probability that it is one. The credit may become
    negative, down to what a window adds.
    """
    counts = _shift_counts(budget, limits, now)
    budget = _refresh(budget, limits, members, now, counts)
    lowest = -_find_capacity(limits, members, counts)
    return dataclasses.replace(
        budget, credit=max(lowest, budget.credit - share)
    )


def _refresh(budget, limits, members, now, counts, earned=0.0) -> RetryBudget:
    """Return the budget at ``now`` with what was added since ``at``."""
    elapsed = max(0.0, now - budget.at) / limits.window_s
    credit = budget.credit + earned
    if members > 0:
        credit += elapsed * FIXED * limits.fixed / members
    capacity = _find_capacity(limits, members, counts)
    return RetryBudget(
        min(credit, capacity),
        max(now, budget.at),
        max(_find_slot(limits, now), budget.slot),
        counts,
    )


def _find_capacity(limits, members, counts) -> float:
    share = FIXED * limits.fixed / members if members > 0 else 0.0
    return share + _find_carried(limits, counts)


def _find_carried(limits, counts) -> float:
    """Return the highest credit for the requests of the last window."""
    return CARRIED * limits.ratio * sum(counts)


def _find_slot(limits, now) -> int:
    return int(now * SLOTS / limits.window_s)


def _shift_counts(budget, limits, now) -> tuple[int, ...]:
    """Return the counts with the slots that have passed since removed."""
    passed = _find_slot(limits, now) - budget.slot
    if passed <= 0:
        return budget.counts
    if passed >= SLOTS:
        return (0,) * SLOTS
    return budget.counts[passed:] + (0,) * passed
