"""State machine of a request."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from sesamejunction.decisions import attempts

P = attempts.Phase
A = attempts.Action
REPEATABLE = attempts.GuardInputs(True)
ONCE = attempts.GuardInputs(False)
FINAL_ACTIONS = (A.FORWARD_ANSWER, A.REPLY_NOT_RUN, A.REPLY_UNKNOWN, A.CANCEL)


def build_inputs(**changes):
    return attempts.GuardInputs(**({'repeatable': True} | changes))


GUARD_INPUTS = {
    'repeatable': REPEATABLE,
    'once': ONCE,
    'once, body gone': attempts.GuardInputs(False, replayable=False),
    'may have run': build_inputs(may_have_run=True),
    'no budget': build_inputs(may_retry=False),
    'body gone': build_inputs(replayable=False),
    'second open': build_inputs(open_attempts=1),
    'second responsive': build_inputs(open_attempts=2, responsive_attempts=1),
    'both silent': build_inputs(open_attempts=2),
    'both silent, no budget': build_inputs(open_attempts=2, may_retry=False),
    'once, open': attempts.GuardInputs(False, open_attempts=1),
    'once, open, may have run': attempts.GuardInputs(
        False, open_attempts=1, may_have_run=True
    ),
}
# Guards against wrong outcomes in answers to callers. One row for each line of
# the table in the design page: phase, event, guard inputs, next phase.
ROWS = """
RECEIVED | Rejected | once | REFUSED
RECEIVED | Admitted | once | CHOOSING
CHOOSING | NotFound | once | REFUSED
CHOOSING | NotFound | may have run | UNKNOWN
CHOOSING | Found | once | CONNECTING
CONNECTING | NotConnected | once | CHOOSING
CONNECTING | NotConnected | no budget | REFUSED
CONNECTING | FirstByte | once | SENT
SENT | Completed | once | ANSWERED
SENT | Declined | once | CHOOSING
SENT | Declined | once, body gone | REFUSED
SENT | DeclinedForAll | once | REFUSED
SENT | DeclinedForAll | may have run | UNKNOWN
SENT | Lost | repeatable | CHOOSING
SENT | Lost | once | UNKNOWN
SENT | Lost | no budget | UNKNOWN
SENT | Lost | body gone | UNKNOWN
SENT | Lost | second open | SENT
SENT | Late | repeatable | CHOOSING
SENT | Late | once | SENT
SENT | Silent | repeatable | CHOOSING
SENT | Silent | both silent | CHOOSING
SENT | Silent | second responsive | SENT
SENT | Silent | both silent, no budget | SENT
SENT | Silent | no budget | SENT
SENT | Silent | body gone | SENT
SENT | Silent | once | SENT
SENT | Silent | once, open, may have run | SENT
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
def test_transitions(row):
    phase, event, found, expected = row.split(' | ')
    after, _ = attempts.advance(
        P[phase], getattr(attempts, event)(), GUARD_INPUTS[found]
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
CHOOSE_ACTIONS = (A.CHOOSE, A.CHOOSE_HEDGE)


class RequestWalk:
    """Drives the state machine with guard inputs counted as in production.

    ``ran`` counts ended attempts that may have run; ``violations`` lists the
    violated rules of design section 5.6.
    """

    def __init__(self, repeatable, replayable, retries):
        self.repeatable = repeatable
        self.replayable = replayable
        self.retries = retries
        self.opened = self.silent = self.ran = 0
        self.may_have_run = False
        self.phase, self.action = P.RECEIVED, None
        self.violations = []
        self._apply(attempts.Admitted())

    def run(self, events):
        """Apply the events; at the deadline, all open attempts are lost."""
        for event in (*events, *[attempts.Lost()] * 9):
            missing = isinstance(event, attempts.NotFound)
            if self.action in CHOOSE_ACTIONS and missing:
                self._apply(event)
                continue
            if self.action in CHOOSE_ACTIONS:
                self._apply(attempts.Found())
                self._apply(attempts.FirstByte())
                self.opened += 1
            self._check()
            if self.action in FINAL_ACTIONS:
                return
            if not missing:
                self._apply_result(event)
                self._check()

    def _apply_result(self, event):
        """Count the result of an attempt, then apply the event."""
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
                self.may_have_run = True
            case attempts.Completed():
                self._end(1)
        due = (
            isinstance(event, attempts.Silent)
            and self.repeatable
            and self.replayable
            and self.retries > 0
            and self.silent == self.opened
        )
        self._apply(event)
        if due and self.action is not A.CHOOSE_HEDGE:
            self.violations.append('no second attempt')
        self.retries -= 1

    def _end(self, ran):
        # The latest attempt ends first, so that a silent one stays open.
        self.opened -= 1
        self.silent = min(self.silent, self.opened)
        self.ran += ran

    def _apply(self, event):
        found = attempts.GuardInputs(
            self.repeatable,
            self.replayable,
            self.retries > 0,
            self.opened,
            self.may_have_run,
            self.opened - self.silent,
        )
        self.phase, self.action = attempts.advance(self.phase, event, found)

    def _check(self):
        if self.action is A.REPLY_NOT_RUN and self.ran + self.opened:
            self.violations.append('said not run')
        if self.action in (A.REPLY_NOT_RUN, A.REPLY_UNKNOWN) and self.opened:
            self.violations.append('gave up an open attempt')
        if not self.repeatable and self.ran + self.opened > 1:
            self.violations.append('ran twice')


def find_violations(events, repeatable, replayable, retries):
    """Return the rules of design section 5.6 that the events violate."""
    walk = RequestWalk(repeatable, replayable, retries)
    walk.run(events)
    return walk.violations


WALKS = (
    strategies.lists(ATTEMPT_EVENTS, max_size=6),
    strategies.booleans(),
    strategies.booleans(),
    strategies.integers(0, 4),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(*WALKS)
def test_property_outcomes_are_true(events, repeatable, replayable, retries):
    # Guards against the answer "not run" after a possible run (H8), and
    # against a second run of a request that is not repeatable (H9), in any
    # order of events.
    assert not find_violations(events, repeatable, replayable, retries)


@pytest.mark.parametrize('retries', [0, 1, 3])
@pytest.mark.parametrize('replayable', [True, False])
@pytest.mark.parametrize('repeatable', [True, False])
def test_all_short_orders_of_events(repeatable, replayable, retries):
    # Guards against the same faults as the test above, and against a request
    # that ends while an attempt is open, for all sequences of four events.
    for events in itertools.product(EVENTS, repeat=4):
        found = find_violations(events, repeatable, replayable, retries)
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


# Each row removes one safeguard from the transitions, and gives events for
# which the checks above must then fail.
@pytest.mark.parametrize(
    ('table', 'events', 'fault'),
    [
        (
            drop_guard(attempts.Guard.MAY_HAVE_RUN),
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
    assert not find_violations(events, repeatable, True, 3)
    monkeypatch.setattr(attempts, 'TRANSITIONS', table)
    assert fault in find_violations(events, repeatable, True, 3)


@pytest.mark.parametrize(
    'phase',
    [pytest.param(inputs, id=inputs.value) for inputs in P],
)
def test_unguarded_events_need_no_inputs(phase):
    # Guards against an event handled without the inputs that it depends on.
    for event in attempts.UNGUARDED_EVENTS:
        if (phase, event) in attempts.TRANSITIONS:
            expected = attempts.advance(phase, event(), attempts.NO_INPUTS)
            outcomes = {
                attempts.advance(phase, event(), inputs)
                for inputs in GUARD_INPUTS.values()
            }
            assert outcomes == {expected}, event
