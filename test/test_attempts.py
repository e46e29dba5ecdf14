"""The state table of one request and the retry budget."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from sesamejunction.decisions import attempts

P = attempts.Phase
A = attempts.Action
REPEATABLE = attempts.GuardInputs(True)
ONCE = attempts.GuardInputs(False)
ENDS = (A.FORWARD_ANSWER, A.REPLY_NOT_RUN, A.REPLY_UNKNOWN, A.CANCEL)


def facts(**changes):
    return attempts.GuardInputs(**({'repeatable': True} | changes))


FACTS = {
    'repeatable': REPEATABLE,
    'once': ONCE,
    'once, body gone': attempts.GuardInputs(False, replayable=False),
    'tainted': facts(tainted=True),
    'no budget': facts(may_retry=False),
    'body gone': facts(replayable=False),
    'second open': facts(open_attempts=1),
    'second heard': facts(open_attempts=2, responsive_attempts=1),
    'both silent': facts(open_attempts=2),
    'both silent, no budget': facts(open_attempts=2, may_retry=False),
    'once, open': attempts.GuardInputs(False, open_attempts=1),
    'once, open, tainted': attempts.GuardInputs(
        False, open_attempts=1, tainted=True
    ),
}
# Guards against wrong outcomes told to callers, one row for each line of
# the table in the design page: phase, event, facts, next phase.
ROWS = """
RECEIVED | Rejected | once | REFUSED
RECEIVED | Admitted | once | CHOOSING
CHOOSING | NotFound | once | REFUSED
CHOOSING | NotFound | tainted | UNKNOWN
CHOOSING | Found | once | CONNECTING
CONNECTING | NotConnected | once | CHOOSING
CONNECTING | NotConnected | no budget | REFUSED
CONNECTING | FirstByte | once | SENT
SENT | Completed | once | ANSWERED
SENT | Declined | once | CHOOSING
SENT | Declined | once, body gone | REFUSED
SENT | DeclinedForAll | once | REFUSED
SENT | DeclinedForAll | tainted | UNKNOWN
SENT | Lost | repeatable | CHOOSING
SENT | Lost | once | UNKNOWN
SENT | Lost | no budget | UNKNOWN
SENT | Lost | body gone | UNKNOWN
SENT | Lost | second open | SENT
SENT | Late | repeatable | CHOOSING
SENT | Late | once | SENT
SENT | Silent | repeatable | CHOOSING
SENT | Silent | both silent | CHOOSING
SENT | Silent | second heard | SENT
SENT | Silent | both silent, no budget | SENT
SENT | Silent | no budget | SENT
SENT | Silent | body gone | SENT
SENT | Silent | once | SENT
SENT | Silent | once, open, tainted | SENT
CHOOSING | NotFound | second open | SENT
SENT | NotConnected | second open | SENT
SENT | Declined | second open | SENT
SENT | DeclinedForAll | second open | SENT
SENT | DeclinedForAll | once, open | SENT
SENT | Completed | both silent | ANSWERED
SENT | CallerLeft | once | CANCELLED
ANSWERED | StreamCut | once | CUT
"""


@pytest.mark.parametrize('row', ROWS.strip().splitlines())
def test_table(row):
    phase, event, found, expected = row.split(' | ')
    after, _ = attempts.advance(
        P[phase], getattr(attempts, event)(), FACTS[found]
    )
    assert after is P[expected]


EVENTS = (
    attempts.NotFound(),
    attempts.NotConnected(),
    attempts.Declined(),
    attempts.DeclinedForAll(),
    attempts.Lost(),
    attempts.Completed(),
    attempts.Late(),
    attempts.Silent(),
    attempts.CallerLeft(),
)
ATTEMPT_EVENTS = strategies.sampled_from(EVENTS)
CHOICES = (A.CHOOSE, A.CHOOSE_HEDGE)


class Walk:
    """Drives the table with the facts as the command counts them.

    ``ran`` counts ended attempts that may have run; ``faults`` has the rules
    of 5.6 that were broken on the way.
    """

    def __init__(self, repeatable, replayable, retries):
        self.repeatable = repeatable
        self.replayable = replayable
        self.retries = retries
        self.opened = self.silent = self.ran = 0
        self.tainted = False
        self.phase, self.action = P.RECEIVED, None
        self.faults = []
        self._take(attempts.Admitted())

    def run(self, events):
        """Take the events; at the deadline, all open attempts are lost."""
        for event in (*events, *[attempts.Lost()] * 9):
            missing = isinstance(event, attempts.NotFound)
            if self.action in CHOICES and missing:
                self._take(event)
                continue
            if self.action in CHOICES:
                self._take(attempts.Found())
                self._take(attempts.FirstByte())
                self.opened += 1
            self._check()
            if self.action in ENDS:
                return
            if not missing:
                self._happen(event)
                self._check()

    def _happen(self, event):
        """Count what happened to an attempt, then take the event."""
        match event:
            case attempts.Silent() if self.silent == self.opened:
                return
            case attempts.Silent():
                self.silent += 1
            case attempts.NotConnected() | attempts.Declined():
                self._end(0)
            case attempts.DeclinedForAll():
                self._end(0)
            case attempts.Lost():
                self._end(1)
                self.tainted = True
            case attempts.Completed():
                self._end(1)
        due = (
            isinstance(event, attempts.Silent)
            and self.repeatable
            and self.replayable
            and self.retries > 0
            and self.silent == self.opened
        )
        self._take(event)
        if due and self.action is not A.CHOOSE_HEDGE:
            self.faults.append('no second attempt')
        self.retries -= 1

    def _end(self, ran):
        # The latest attempt ends first, so that the silent one stays open.
        self.opened -= 1
        self.silent = min(self.silent, self.opened)
        self.ran += ran

    def _take(self, event):
        found = attempts.GuardInputs(
            self.repeatable,
            self.replayable,
            self.retries > 0,
            self.opened,
            self.tainted,
            self.opened - self.silent,
        )
        self.phase, self.action = attempts.advance(self.phase, event, found)

    def _check(self):
        if self.action is A.REPLY_NOT_RUN and self.ran + self.opened:
            self.faults.append('said not run')
        if self.action in (A.REPLY_NOT_RUN, A.REPLY_UNKNOWN) and self.opened:
            self.faults.append('gave up an open attempt')
        if not self.repeatable and self.ran + self.opened > 1:
            self.faults.append('ran twice')


def find_faults(events, repeatable, replayable, retries):
    """Return which rules of 5.6 the walk breaks."""
    walk = Walk(repeatable, replayable, retries)
    walk.run(events)
    return walk.faults


WALKS = (
    strategies.lists(ATTEMPT_EVENTS, max_size=6),
    strategies.booleans(),
    strategies.booleans(),
    strategies.integers(0, 4),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(*WALKS)
def test_property_outcomes_are_true(events, repeatable, replayable, retries):
    # Guards against "not run" after a possible run (H8) and a second run of
    # a request that may run once (H9), in every order of events.
    assert not find_faults(events, repeatable, replayable, retries)


@pytest.mark.parametrize('retries', [0, 1, 3])
@pytest.mark.parametrize('replayable', [True, False])
@pytest.mark.parametrize('repeatable', [True, False])
def test_all_short_orders_of_events(repeatable, replayable, retries):
    # Guards against the same as the test above, and against an open attempt
    # that is given up, for every order of four events and all facts.
    for events in itertools.product(EVENTS, repeat=4):
        found = find_faults(events, repeatable, replayable, retries)
        assert not found, events


def drop_guard(guard):
    return {
        key: tuple(row for row in rows if row.guard is not guard) or rows
        for key, rows in attempts.TRANSITIONS.items()
    }


def repeat_always(event=attempts.Lost):
    row = attempts.Transition(
        attempts.Guard.ALWAYS, P.CHOOSING, A.CHOOSE_HEDGE
    )
    return attempts.TRANSITIONS | {(P.SENT, event): (row,)}


def after_silence(phase, action):
    row = attempts.Transition(attempts.Guard.ALWAYS, phase, action)
    return attempts.TRANSITIONS | {(P.SENT, attempts.Silent): (row,)}


# Each row takes one safeguard out of the table and shows the events by
# which the checks above notice.
@pytest.mark.parametrize(
    ('table', 'events', 'fault'),
    [
        (
            drop_guard(attempts.Guard.TAINTED),
            (attempts.Lost(), attempts.DeclinedForAll()),
            'said not run',
        ),
        (
            drop_guard(attempts.Guard.OTHERS_OPEN),
            (attempts.Late(), attempts.DeclinedForAll()),
            'said not run',
        ),
        (repeat_always(), (attempts.Lost(), attempts.Lost()), 'ran twice'),
        (repeat_always(attempts.Silent), (attempts.Silent(),), 'ran twice'),
        (
            after_silence(P.REFUSED, A.REPLY_NOT_RUN),
            (attempts.Silent(),),
            'said not run',
        ),
        (
            after_silence(P.UNKNOWN, A.REPLY_UNKNOWN),
            (attempts.Silent(),),
            'gave up an open attempt',
        ),
        (
            after_silence(P.SENT, A.AWAIT),
            (attempts.Silent(),),
            'no second attempt',
        ),
    ],
)
def test_safeguard_taken_out_is_noticed(monkeypatch, table, events, fault):
    repeatable = fault != 'ran twice'
    assert not find_faults(events, repeatable, True, 3)
    monkeypatch.setattr(attempts, 'TRANSITIONS', table)
    assert fault in find_faults(events, repeatable, True, 3)


@pytest.mark.parametrize(
    'phase',
    [pytest.param(one, id=one.value) for one in P],
)
def test_unconditional_events_need_no_facts(phase):
    # Guards against a step that is taken without facts that would change it.
    for event in attempts.UNGUARDED_EVENTS:
        if (phase, event) in attempts.TRANSITIONS:
            expected = attempts.advance(phase, event(), attempts.NO_INPUTS)
            found = {
                attempts.advance(phase, event(), one) for one in FACTS.values()
            }
            assert found == {expected}, event


# Guards against a storm of retries: (requests before, retries allowed).
@pytest.mark.parametrize(('before', 'allowed'), [(0, 10), (100, 20)])
def test_retry_budget(before, allowed):
    budget = attempts.RetryBudget()
    for _ in range(before):
        budget = attempts.count_request(budget, 1.0)
    results = []
    for _ in range(100):
        budget, may = attempts.take_retry(budget, 1.0)
        results.append(may)
    assert sum(results) == allowed
    assert attempts.take_retry(budget, 1.0 + 60.0)[1]
