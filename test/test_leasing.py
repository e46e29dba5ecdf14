"""Leases of key ranges: never two holders of a key, under any failure."""

import dataclasses

import pytest

from sesamejunction.decisions import rangeleases as deciding
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.platform import heartbeathttp

OLD = ranges.Life('node-a', 'target-a', 1000)
AGAIN = ranges.Life('node-a', 'target-a', 2000)
NEW = ranges.Life('node-b', 'target-b', 1500)
START = 100.0


def make_plan(*owned):
    return ranges.RangePlan(owned)


def make_heartbeat(life, sequence, held=(), freed=()):
    return leasing.Heartbeat(
        life, 'lookup', 'zone', 12, sequence, False, 0.0, held, freed
    )


def make_leases(life, plan, held=(), now=START):
    lease = deciding.RangeLeases(now - 60)
    lease.take_plan(plan, now)
    lease.take_heartbeat(make_heartbeat(life, 1, held), now)
    return lease


FIRST = make_plan(ranges.Range(0, 65535, 5, OLD))
MOVED = make_plan(
    ranges.Range(0, 999, 5, OLD),
    ranges.Range(1000, 65535, 9, NEW, (OLD,)),
)
CLAIM = leasing.AskRelease('lookup', 1000, 65535, 9, OLD)


@pytest.mark.parametrize(
    ('age_s', 'expected'),
    [
        (0.0, deciding.HOLD_S),
        (3.9, deciding.HOLD_S),
        (5.0, 2.0 / 1.02),
        (6.9, 0.1 / 1.02),
        (8.0, 0.0),
    ],
)
def test_hold_ends_with_authority(age_s, expected):
    # Guards against holds that end after the wait of a new owner.
    hold = deciding.compute_hold_seconds(START - age_s, START)
    assert hold == pytest.approx(expected)


@pytest.mark.parametrize('age_s', [0.0, 1.0, 3.0, 5.0, 6.9])
@pytest.mark.parametrize('drift', [0.0, deciding.DRIFT])
def test_new_owner_waits_past_every_hold(age_s, drift):
    """Guards against a new owner that grants keys before a hold ends.

    The wait must cover the authority of the plan, clock drift and the delay
    of an answer.
    """
    plan_written = START - age_s
    hold = deciding.compute_hold_seconds(plan_written, START)
    hold_end = START + hold * (1 + drift)
    # The new owner cannot have read the plan before it was written.
    assert hold_end <= plan_written + deciding.FORMER_OWNER_WAIT_S


def find_latest_hold(drift, delay_s):
    """Return when the latest hold ends, from the node's copy of the plans.

    The clocks of the node and of the target are slow by ``drift``, and the
    last answer is sent ``delay_s`` after its hold was computed.
    """
    ends = []
    for age in (number / 100 for number in range(1, 700)):
        hold = deciding.compute_hold_seconds(START, START + age)
        ends.append((age + hold) * (1 + drift) + delay_s)
    return max(ends)


@pytest.mark.parametrize(
    ('term', 'drift', 'delay_s'),
    [
        ('AUTHORITY_S', 0.0, 0.0),
        ('DRIFT', deciding.DRIFT, deciding.MARGIN_S),
        ('MARGIN_S', deciding.DRIFT, deciding.MARGIN_S),
    ],
)
def test_every_term_of_the_wait_is_needed(term, drift, delay_s):
    """Guards against a wait without one of its terms.

    A hold would then end after the wait.
    """
    latest = find_latest_hold(drift, delay_s)
    assert latest <= deciding.FORMER_OWNER_WAIT_S
    terms = {
        name: getattr(deciding, name)
        for name in ('AUTHORITY_S', 'DRIFT', 'MARGIN_S')
    }
    terms[term] = 0.0
    wait = terms['AUTHORITY_S'] * (1 + terms['DRIFT']) + terms['MARGIN_S']
    assert latest > wait


RELEASES = {
    'plan not read': (FIRST, [make_heartbeat(OLD, 2)], False),
    'target lists the keys': (
        MOVED,
        [make_heartbeat(OLD, 2, (leasing.HeldKeys(0, 65535, 5),))],
        False,
    ),
    'target has given them up': (
        MOVED,
        [
            make_heartbeat(OLD, 2, (leasing.HeldKeys(0, 65535, 5),)),
            make_heartbeat(
                OLD,
                3,
                (leasing.HeldKeys(0, 999, 5),),
                (ranges.ReleasedKeys(1000, 65535, 'pass'),),
            ),
        ],
        True,
    ),
    'a later life runs': (MOVED, [make_heartbeat(AGAIN, 1)], False),
}


@pytest.mark.parametrize(
    ('plan', 'beats', 'expected'), RELEASES.values(), ids=RELEASES
)
def test_keys_are_released_only_when_given_up(plan, beats, expected):
    lease = make_leases(OLD, FIRST, (leasing.HeldKeys(0, 65535, 5),))
    lease.renew(START, START)
    lease.take_plan(plan, START + 0.1)
    for beat in beats:
        assert lease.accepts_heartbeat(beat, START + 0.2)
        lease.take_heartbeat(beat, START + 0.2)
        reply = lease.answer_claim(CLAIM, START + 0.2)
        lease.renew(START, START + 0.2)
    assert reply.released is expected


def test_release_carries_the_handover():
    lease = make_leases(OLD, FIRST, (leasing.HeldKeys(0, 65535, 5),))
    lease.take_plan(MOVED, START)
    lease.renew(START, START)
    lease.take_heartbeat(
        make_heartbeat(OLD, 2, (), (ranges.ReleasedKeys(900, 65535, 'pass'),)),
        START,
    )
    reply = lease.answer_claim(CLAIM, START)
    assert reply == leasing.ReleaseResult(
        True, (ranges.ReleasedKeys(1000, 65535, 'pass'),)
    )


ODD = ranges.Life('node-a', 'target-odd', 3000)
EARLIER = ranges.Life('node-a', 'target-a', 500)
ALL_KEYS = (leasing.HeldKeys(0, 65535, 5),)


def replace_life(lease):
    lease.take_heartbeat(make_heartbeat(ODD, 1), START)


def replace_lives(lease):
    for number in range(2 * deciding.MAX_FORMER_LIVES):
        life = dataclasses.replace(ODD, born=ODD.born + number)
        lease.take_heartbeat(make_heartbeat(life, 1), START)


def end_life(lease):
    lease.end_life(START)


# Guards against two holders of a key after a message that looks like the end
# of a target that is still up. Columns: what the node was told, the claimed
# life.
@pytest.mark.parametrize(
    ('event', 'life'),
    [
        pytest.param(replace_life, OLD, id='later life'),
        pytest.param(replace_lives, OLD, id='many later lives'),
        pytest.param(end_life, OLD, id='connection refused'),
        pytest.param(lambda _: None, EARLIER, id='life of a former process'),
    ],
)
@pytest.mark.parametrize(
    ('after_s', 'expected'),
    [(0.1, False), (deciding.HOLD_S, False), (3.3, True)],
)
def test_hold_outlasts_what_seems_its_end(event, life, after_s, expected):
    lease = deciding.RangeLeases(START)
    lease.take_plan(FIRST, START)
    lease.take_heartbeat(make_heartbeat(OLD, 1, ALL_KEYS), START)
    lease.renew(START, START)
    lease.take_plan(MOVED, START)
    event(lease)
    claim = dataclasses.replace(CLAIM, life=life)
    assert lease.answer_claim(claim, START + after_s).released is expected


# Guards against a wait for keys that the former life did not hold.
@pytest.mark.parametrize(
    ('held', 'expected'), [((leasing.HeldKeys(0, 999, 5),), True), ((), True)]
)
def test_keys_that_a_former_life_had_given_up_are_released(held, expected):
    lease = make_leases(OLD, MOVED, held)
    lease.renew(START, START)
    replace_life(lease)
    assert lease.answer_claim(CLAIM, START + 0.1).released is expected


def test_next_life_waits_for_the_hold_of_the_former_one():
    """Guards against two lives of one machine that hold the same keys."""
    lease = make_leases(OLD, FIRST, ALL_KEYS)
    lease.renew(START, START)
    again = make_plan(ranges.Range(0, 65535, 9, AGAIN, (OLD,)))
    lease.take_plan(again, START)
    lease.take_heartbeat(make_heartbeat(AGAIN, 1), START)
    (claim,) = lease.list_claims(START)
    assert not lease.answer_claim(claim, START + deciding.HOLD_S).released
    assert not lease.renew(START, START + 1.0).rows
    lease.take_release(claim, lease.answer_claim(claim, START + 3.1))
    assert lease.renew(START + 3, START + 3.1).rows


@pytest.mark.parametrize(
    ('after_s', 'expected'),
    [(1.0, False), (deciding.HOLD_S, False), (3.1, True)],
)
def test_silent_target_keeps_its_keys_until_the_hold_ends(after_s, expected):
    """Guards against a release before a hold ends by the target's clock.

    That clock may be 2% slow.
    """
    lease = make_leases(OLD, FIRST, (leasing.HeldKeys(0, 65535, 5),))
    lease.renew(START, START)
    lease.take_plan(MOVED, START + 0.1)
    reply = lease.answer_claim(CLAIM, START + after_s)
    assert reply.released is expected


def test_restarted_node_waits_a_whole_hold():
    """Guards against a release of keys that a former process granted.

    A former process of the node may have granted a hold just before.
    """
    lease = deciding.RangeLeases(START)
    lease.take_plan(MOVED, START)
    assert not lease.answer_claim(CLAIM, START + 3.0).released
    assert lease.answer_claim(CLAIM, START + 3.3).released


SETTLING = {
    'nothing known': ((), 0.5, False),
    'released': ((OLD,), 0.5, True),
    'wait is over': ((), deciding.FORMER_OWNER_WAIT_S + 0.1, True),
}


@pytest.mark.parametrize(
    ('released', 'after_s', 'granted'), SETTLING.values(), ids=SETTLING
)
def test_new_owner_grants_after_release_or_wait(released, after_s, granted):
    lease = make_leases(NEW, MOVED)
    now = START + after_s
    for life in released:
        claim = dataclasses.replace(CLAIM, life=life)
        lease.take_release(claim, leasing.ReleaseResult(True))
    rows = lease.renew(now, now).rows
    assert bool(rows) is granted


def test_handover_is_given_with_its_keys_only():
    lease = make_leases(NEW, MOVED)
    lease.take_release(
        CLAIM,
        leasing.ReleaseResult(
            True, (ranges.ReleasedKeys(2000, 2999, 'pass'),)
        ),
    )
    assert lease.renew(START, START).rows == (
        leasing.GrantRow(1000, 1999, 9),
        leasing.GrantRow(2000, 2999, 9, 'pass'),
        leasing.GrantRow(3000, 65535, 9),
    )


def test_node_restart_moves_nothing():
    """Guards against an interruption by a restart of the node.

    A target that holds its keys under the present epoch keeps them, without
    a wait for former owners.
    """
    lease = make_leases(NEW, MOVED, (leasing.HeldKeys(1000, 65535, 9),))
    assert lease.renew(START, START).rows == (
        leasing.GrantRow(1000, 65535, 9),
    )


BEATS = {
    'repeated': (make_heartbeat(OLD, 1), 0.1, False),
    'next': (make_heartbeat(OLD, 2), 0.1, True),
    'later life': (make_heartbeat(AGAIN, 1), 0.1, True),
    'earlier life, present one heard': (
        make_heartbeat(dataclasses.replace(OLD, born=500), 9),
        0.1,
        False,
    ),
    'clock stepped back, present one silent': (
        make_heartbeat(dataclasses.replace(OLD, born=500), 9),
        3.5,
        True,
    ),
}


@pytest.mark.parametrize(
    ('beat', 'after_s', 'expected'), BEATS.values(), ids=BEATS
)
def test_late_heartbeats_are_ignored(beat, after_s, expected):
    lease = make_leases(OLD, FIRST)
    assert lease.accepts_heartbeat(beat, START + after_s) is expected


# Guards against late heartbeats of a life that has ended, and against a live
# target that is never used again because another writer's heartbeat replaced
# it. Columns: sequence, seconds since the other life was heard, answer.
@pytest.mark.parametrize(
    ('sequence', 'after_s', 'expected'),
    [
        pytest.param(1, 60.0, False, id='late'),
        pytest.param(9, 0.1, False, id='another is heard'),
        pytest.param(9, 3.5, True, id='goes on alone'),
    ],
)
@pytest.mark.parametrize('event', [replace_life, end_life])
def test_former_life_returns_only_if_it_goes_on(
    event, sequence, after_s, expected
):
    lease = make_leases(OLD, FIRST)
    event(lease)
    beat = make_heartbeat(OLD, sequence)
    assert lease.accepts_heartbeat(beat, START + after_s) is expected
    if expected:
        lease.take_heartbeat(beat, START + after_s)
        assert lease.life == OLD


def test_returned_life_keeps_its_hold():
    """Guards against a release while the hold from before its return runs."""
    lease = make_leases(OLD, FIRST, ALL_KEYS)
    lease.renew(START, START)
    replace_life(lease)
    lease.take_plan(MOVED, START)
    lease.take_heartbeat(make_heartbeat(OLD, 9), START + 0.1)
    assert not lease.answer_claim(CLAIM, START + deciding.HOLD_S).released
    assert lease.answer_claim(CLAIM, START + 3.1).released


def make_fragments(count, owner=OLD):
    """Return a plan in which every other range belongs to ``owner``."""
    width = 65536 // (2 * count)
    owned = []
    for number in range(count):
        first = 2 * number * width
        owned.append(ranges.Range(first, first + width - 1, number, owner))
        owned.append(
            ranges.Range(first + width, first + 2 * width - 1, number, NEW)
        )
    return make_plan(*owned)


# Guards against a node that believes its target holds more keys than the
# answer to a heartbeat has named: the target refuses the others with 421
# (issue 20). Columns: ranges of the plan, ranges held before.
@pytest.mark.parametrize(
    ('count', 'held'), [(80, ()), (81, ()), (500, ()), (500, (7, 400, 499))]
)
def test_grant_fits_into_the_answer(count, held):
    plan = make_fragments(count)
    rows = [plan.ranges[2 * number] for number in held]
    lease = make_leases(
        OLD,
        plan,
        tuple(
            leasing.HeldKeys(row.first, row.last, row.epoch) for row in rows
        ),
    )
    renewal = lease.renew(START, START)
    encoded = heartbeathttp.encode_renewal(renewal)
    assert len(heartbeathttp.build_json_response(encoded).body) <= 4096
    assert len(encoded['holds']) == len(renewal.rows) == min(80, count)
    assert lease.granted_rows == renewal.rows
    assert lease.left_out == count - len(renewal.rows)
    granted = {row.first for row in renewal.rows}
    assert granted >= {row.first for row in rows}
    assert list(renewal.rows) == sorted(
        renewal.rows, key=lambda row: row.first
    )
