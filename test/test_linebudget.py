"""Plan of the line that leaves: admission and turns of large answers."""

import dataclasses
import itertools

import pytest

from sesamejunction.decisions import linebudget
from sesamejunction.model import outgoinganswers

KB = 1000
MBIT = 125_000
PART = linebudget.PART_BYTES


@dataclasses.dataclass(frozen=True)
class Burst:
    """Answers that are expected at the same time on one line.

    ``sizes`` are in bytes. ``pause_s`` is the time that a requester takes to
    ask for its next part, by the place of its answer.
    """

    line_mbps: float
    sizes: tuple
    limit_s: float = 2.0
    pause_s: dict = dataclasses.field(default_factory=dict)


LOADS = {
    'burst of 100 large answers, 10 Mbit/s': Burst(10, (90 * KB,) * 100),
    'burst of 100 large answers, 5 Mbit/s': Burst(5, (90 * KB,) * 100),
    'the largest answers, 10 Mbit/s': Burst(10, (540 * KB,) * 10),
    'large and small answers, 10 Mbit/s': Burst(
        10, (90 * KB, 20 * KB, 540 * KB, 40 * KB) * 10
    ),
    'a slow requester beside others, 10 Mbit/s': Burst(
        10, (90 * KB,) * 100, pause_s={0: 0.5}
    ),
    'unknown speed': Burst(0, (540 * KB,) * 80),
}


def send_burst(load):
    """Return the accepted sizes and the granted parts with their times."""
    budget = linebudget.LineBudget(load.line_mbps * MBIT)
    tickets, now = itertools.count(1), 0.0
    due, grants, sent = [], [], {}
    for number, size in enumerate(load.sizes, 1):
        answer = outgoinganswers.ExpectedAnswer(number, size, 1, load.limit_s)
        if budget.find_refusal(answer, now) is None:
            budget.promise(answer)
            sent[number] = 0
            due.append((now, number))
    accepted = {number: load.sizes[number - 1] for number in sent}
    while due or budget.queued_parts:
        for asked in [one for one in due if one[0] <= now]:
            due.remove(asked)
            number = asked[1]
            size = min(PART, accepted[number] - sent[number])
            budget.queue_part(
                linebudget.Part(1, load.limit_s, next(tickets), size, number)
            )
        for part in budget.grant_next(now):
            grants.append((now, part))
            sent[part.number] += part.size
            if sent[part.number] < accepted[part.number]:
                pause_s = load.pause_s.get(part.number - 1, 0.001)
                due.append((now + pause_s, part.number))
        now += 0.001
    return accepted, grants


# Guards against small answers that wait behind more than two parts, against
# accepted answers that leave too late, and against a line that idles beside
# refused answers.
@pytest.mark.parametrize('load', LOADS.values(), ids=LOADS)
def test_accepted_answers_leave_in_time(load):
    accepted, grants = send_burst(load)
    assert sum(part.size for _, part in grants) == sum(accepted.values())
    speed = load.line_mbps * MBIT
    if not speed:
        assert len(accepted) == len(load.sizes)
        return
    free_at = 0.0
    for now, part in grants:
        free_at = max(free_at, now) + part.size / speed
        assert free_at - now <= 2 * PART / speed + 0.002
        if part.number - 1 not in load.pause_s:
            assert free_at <= load.limit_s + 2 * PART / speed
    offered, planned = sum(load.sizes), speed * 0.85 * load.limit_s
    assert sum(accepted.values()) >= min(offered, planned - max(load.sizes))


def expect(number, size=90 * KB, rank=1, latest=1.0, ready_at=0.0):
    return outgoinganswers.ExpectedAnswer(number, size, rank, latest, ready_at)


# Rows: promised answers, the new one, and the reason of its refusal. The line
# has 10 Mbit/s, of which 1.06 MB a second are planned, and 2 MB are held.
OFFERS = {
    'idle line': ([], expect(9), None),
    'too large for its time': ([], expect(9, 540 * KB, 1, 0.4), 'LATE'),
    'no time left': ([], expect(9, latest=-0.1), 'LATE'),
    'too many before it': (
        [expect(1, 500 * KB), expect(2, 500 * KB)], expect(9), 'LATE'),
    'less urgent ones before it': (
        [expect(1, 500 * KB, 2), expect(2, 500 * KB, 2)], expect(9), None),
    'it makes an accepted one late': (
        [expect(1, 900 * KB)], expect(9, 200 * KB, latest=0.9), 'LATE'),
    'it makes a less urgent one late': (
        [expect(1, 900 * KB, 2)], expect(9, 200 * KB, latest=0.9), None),
    'an accepted one is late already': (
        [expect(1, latest=0.01)], expect(9), None),
    'made while the line is busy': (
        [expect(1, 700 * KB)], expect(9, ready_at=0.6), None),
    'made too late': ([], expect(9, ready_at=0.95), 'LATE'),
    'memory is full': (
        [expect(1, 1990 * KB, 2, 9.0)], expect(9), 'MEMORY'),
}  # fmt: skip


# Guards against answers that the target makes although they cannot leave, and
# against urgent ones refused because of those behind them.
@pytest.mark.parametrize(
    ('promised', 'offered', 'reason'), OFFERS.values(), ids=OFFERS
)
def test_answer_that_cannot_leave_is_refused(promised, offered, reason):
    budget = linebudget.LineBudget(10 * MBIT, 2_000 * KB)
    for answer in promised:
        budget.promise(answer)
    refusal = budget.find_refusal(offered, 0.0)
    assert (refusal and refusal.reason.name) == reason
    if refusal is not None:
        assert refusal.retry_after_s >= linebudget.MIN_RETRY_DELAY_S


# Guards against receivers that read slowly and thereby keep all others out.
# Rows: seconds since their answers exist, whether they ask for a part, and
# whether an answer behind them is refused.
@pytest.mark.parametrize(
    ('since_s', 'asks', 'is_refused'),
    [(0.1, False, True), (0.4, False, False), (0.4, True, True)],
)
def test_stalled_answers_keep_no_other_out(since_s, asks, is_refused):
    budget = linebudget.LineBudget(10 * MBIT)
    for number in range(1, 11):
        budget.promise(expect(number, 540 * KB, 1, 0.5), 0.0)
        if asks:
            budget.queue_part(linebudget.Part(1, 0.5, number, PART, number))
    refusal = budget.find_refusal(expect(99, latest=1.5), since_s)
    assert (refusal is not None) is is_refused
    assert (budget.find_wait(since_s) > 1.0) is is_refused


def release_all(budget):
    budget.release(1)


def settle_small(budget):
    budget.settle(1, 10 * KB)


# Guards against bytes that stay promised for an answer that turned out
# smaller, failed or has left.
@pytest.mark.parametrize(
    ('end', 'held'), [(release_all, 0), (settle_small, 10 * KB)]
)
def test_promised_bytes_are_released(end, held):
    budget = linebudget.LineBudget(10 * MBIT)
    budget.promise(expect(1, 900 * KB))
    assert budget.find_refusal(expect(2, 200 * KB), 0.0)
    end(budget)
    assert (budget.held, budget.left) == (held, held)
    assert budget.find_refusal(expect(2, 200 * KB), 0.0) is None


# Guards against parts that wait behind less urgent ones. Rows: parts as
# (rank, deadline), and their order.
@pytest.mark.parametrize(
    ('parts', 'order'),
    [
        ([(2, 1.0), (1, 2.0), (0, 3.0)], [3, 2, 1]),
        ([(1, 3.0), (1, 1.0), (1, 2.0)], [2, 3, 1]),
        ([(1, 1.0), (1, 1.0), (1, 1.0)], [1, 2, 3]),
    ],
)
def test_parts_leave_by_rank_and_deadline(parts, order):
    budget = linebudget.LineBudget(10 * MBIT)
    for ticket, (rank, latest) in enumerate(parts, 1):
        budget.queue_part(linebudget.Part(rank, latest, ticket, PART))
    granted = [
        part.ticket
        for step in range(10)
        for part in budget.grant_next(step * 0.05)
    ]
    assert granted == order


# Guards against a limit on routes whose answers are unknown or small. Rows:
# sizes of earlier answers, and the expected size within 10%.
@pytest.mark.parametrize(
    ('sizes', 'expected'),
    [
        ([], 0),
        ([1000] * 100, 0),
        ([90 * KB] * 10, 90 * KB),
        ([90 * KB] + [200] * 200, 0),
        ([200] + [90 * KB] * 200, 90 * KB),
    ],
)
def test_expected_size_follows_the_answers(sizes, expected):
    means = linebudget.RouteSizes()
    for size in sizes:
        means.record('route', size)
    assert means.expect('route') == pytest.approx(expected, rel=0.1)


# Guards against a planned stop that cuts a late answer while its parts leave,
# and against a count that nobody releases. Rows: when the latest part left,
# None for an answer that does not exist, and whether it is a leftover.
@pytest.mark.parametrize(
    ('moved_at', 'is_overdue'), [(None, True), (0.5, True), (30.0, False)]
)
def test_leaving_answer_is_no_leftover(moved_at, is_overdue):
    budget = linebudget.LineBudget(1e6)
    budget.promise(expect(1, latest=1.0), moved_at)
    assert budget.list_overdue(30.0, 31.0) == [1] * is_overdue
