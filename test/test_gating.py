"""Concurrency limit of a target, fair queueing and load balancing."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from sesamejunction.decisions import admission
from sesamejunction.decisions import fairness
from sesamejunction.decisions import loadbalancing
from sesamejunction.model import choosing
from sesamejunction.model import requests


def run_events(events, slots=8, cold=2):
    """Apply 'ok', 'slow' or 'shed' events with a time; return the limits."""
    limit_state = admission.start_cold(slots, cold)
    limits = [limit_state.limit]
    for kind, now in events:
        if kind == 'shed':
            limit_state = admission.count_shed(limit_state, now)
        else:
            latency = 0.01 if kind == 'ok' else 0.2
            limit_state = admission.count_answer(limit_state, latency)
        limits.append(limit_state.limit)
    return limits


def repeat(kind, count, start=0.0):
    return [(kind, start)] * count


# Guards against overload of a cold target (H3). Rows: events and last limit.
LIMITS = {
    'starts cold': ([], 2),
    'rises by one for each limit of answers': (repeat('ok', 2 + 3), 4),
    'reaches the slots': (repeat('ok', 100), 8),
    'halves on a shed': (repeat('ok', 100) + repeat('shed', 1, 5.0), 4),
    'two sheds within a second are cold': (
        repeat('ok', 100) + repeat('shed', 2, 5.0),
        2,
    ),
    'two sheds apart halve twice': (
        repeat('ok', 200) + [('shed', 5.0), ('shed', 7.0)],
        2,
    ),
    'slow answers are cold': (repeat('ok', 100) + repeat('slow', 3), 2),
    'a cold target warms up again': (
        repeat('ok', 100) + repeat('slow', 3) + repeat('ok', 100),
        8,
    ),
}


@pytest.mark.parametrize('case', LIMITS)
def test_concurrency_limit(case):
    events, expected = LIMITS[case]
    assert run_events(events)[-1] == expected


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('ok', 'slow', 'shed')),
            strategies.floats(0, 10),
        ),
        max_size=200,
    ),
    strategies.integers(1, 20),
    strategies.integers(1, 30),
)
def test_property_limit_stays_in_bounds(events, slots, cold):
    # Guards against a limit above the slots or below one, and against steps
    # of more than one upwards.
    limits = run_events(events, slots, cold)
    assert all(1 <= one <= slots for one in limits)
    steps = zip(limits, limits[1:], strict=False)
    assert all(after - before <= 1 for before, after in steps)


def fill(queue, counts, weights):
    for name, count in counts.items():
        for number in range(count):
            queue.push(name, f'{name}{number}', weights.get(name, 1.0), None)


def serve(queue, count):
    served = {}
    for _ in range(count):
        name = queue.pop().organisation
        served[name] = served.get(name, 0) + 1
    return served


# Guards against an organisation that is starved by another's backlog (M4).
# Rows: queued requests, weights, requests served in the first eight turns.
@pytest.mark.parametrize(
    ('counts', 'weights', 'expected'),
    [
        ({'big': 50, 'small': 4}, {}, {'big': 4, 'small': 4}),
        ({'big': 50, 'small': 1}, {}, {'big': 7, 'small': 1}),
        ({'a': 20, 'b': 20}, {'a': 3.0}, {'a': 6, 'b': 2}),
    ],
)
def test_queue_serves_by_weight(counts, weights, expected):
    queue = fairness.FairQueue()
    fill(queue, counts, weights)
    assert serve(queue, 8) == expected


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(('a', 'b', 'c', 'pop')), max_size=80
    ),
    strategies.fixed_dictionaries(
        {name: strategies.floats(0.5, 8) for name in 'abc'}
    ),
)
def test_property_backlogged_shares_stay_near_weights(steps, weights):
    # Guards against unfairness that accumulates: over any time in which two
    # organisations are backlogged, the service by weight that each gets
    # differs by at most one request each.
    queue = fairness.FairQueue()
    for number, step in enumerate(steps):
        if step != 'pop':
            queue.push(step, str(number), weights[step], None)
        elif queue:
            queue.pop()
    fill(queue, dict.fromkeys('abc', 60), weights)
    served = serve(queue, 50)
    shares = {one: served.get(one, 0) / weights[one] for one in 'abc'}
    bound = 2 / min(weights.values()) + max(steps.count(o) for o in 'abc')
    assert max(shares.values()) - min(shares.values()) <= bound


# Guards against one organisation filling the queue. Rows: queued requests,
# organisation of a new one, evicted request (None: the new one is refused).
@pytest.mark.parametrize(
    ('counts', 'newcomer', 'evicted'),
    [
        ({'big': 8}, 'small', 'big7'),
        ({'big': 8}, 'big', None),
        ({'a': 4, 'b': 4}, 'a', None),
    ],
)
def test_eviction(counts, newcomer, evicted):
    queue = fairness.FairQueue()
    fill(queue, counts, {})
    found = queue.evict_for(newcomer, lambda _: 1.0)
    assert (found and found.request_id) == evicted


def make_stats(latency=0.01, at=0.0, load=None, **changes):
    return loadbalancing.TargetStats(latency, at, load, **changes)


BUSY = requests.Load(9, 3, 12, 0.01)
IDLE = requests.Load(0, 0, 12, 0.01)


# Guards against requests sent to slow or busy targets (M3). Rows: statistics
# of the targets, their zones, the time and the target chosen.
@pytest.mark.parametrize(
    ('views', 'zones', 'now', 'expected'),
    [
        ((make_stats(0.05), make_stats(0.01)), 'aa', 1.0, 2),
        ((make_stats(load=BUSY), make_stats(load=IDLE)), 'aa', 1.0, 2),
        ((make_stats(open_attempts=3), make_stats()), 'aa', 1.0, 2),
        ((make_stats(), make_stats()), 'ba', 1.0, 2),
        ((make_stats(0.05), make_stats(0.01, 9.0, BUSY)), 'aa', 9.0, 1),
        (
            (
                make_stats(ejected_until=5.0),
                make_stats(0.05),
                make_stats(0.09),
            ),
            'aaa',
            1.0,
            2,
        ),
    ],
    ids=['latency', 'load', 'own', 'zone', 'aged', 'ejected'],
)
def test_choice_of_target(views, zones, now, expected):
    table = dict(enumerate(views, 1))
    places = dict(enumerate(zones, 1))
    draw = random.Random(1).randrange
    picks = {
        loadbalancing.choose_target(table, places, 'a', draw, now)
        for _ in range(40)
    } - ({3} if len(views) == 3 else set())
    assert picks == {expected}


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(strategies.booleans(), min_size=1))
def test_property_at_most_a_third_is_ejected(ejected):
    # Guards against the ejection of all targets at once.
    views = {
        number: make_stats(ejected_until=5.0 if out else 0.0)
        for number, out in enumerate(ejected)
    }
    kept = loadbalancing.list_not_ejected(views, 1.0)
    assert len(views) - len(kept) <= len(views) // 3
    assert len(kept) >= 1


def make_result(latency_s=None, **changes):
    return choosing.AttemptEnded('s', 1, latency_s, **changes)


def test_failures_in_a_row_eject_and_success_clears():
    stats = loadbalancing.TargetStats()
    for _ in range(loadbalancing.EJECT_FAILURES):
        stats = loadbalancing.end_attempt(
            loadbalancing.start_attempt(stats), make_result(failed=True), 1.0
        )
    assert stats.ejected_until > 1.0
    assert (
        loadbalancing.end_attempt(stats, make_result(0.01), 1.0).failures == 0
    )


# Guards against a slow target that keeps a low average latency because its
# attempts are always abandoned for hedged ones. Rows: result of an attempt,
# and the average latency afterwards.
@pytest.mark.parametrize(
    ('ended', 'latency'),
    [
        ({'latency_s': 0.06}, 0.02),
        ({'abandoned_s': 0.06}, 0.02),
        ({'abandoned_s': 0.001}, 0.01),
        ({}, 0.01),
    ],
)
def test_latency_after_an_attempt(ended, latency):
    stats = loadbalancing.end_attempt(make_stats(), make_result(**ended), 1.0)
    assert stats.latency_s == pytest.approx(latency)
