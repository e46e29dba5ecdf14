"""Idempotency records: at most one run of a key in any interleaving."""

import uuid

import hypothesis
from hypothesis import strategies
import pytest

from sesamejunction.decisions import idempotency
from sesamejunction.model import once
from sesamejunction.model import requests
from sesamejunction.tasks import once as task

NOW = 1_800_000_000.0


def make_key(at, number=0):
    return str(
        uuid.UUID(int=int(at * 1000) << 80 | 7 << 76 | 2 << 62 | number)
    )


def begin(key, organisation='ana', attempt='r.1', **changes):
    return once.Begin(
        once.Identity(organisation, None, key),
        attempt,
        'orders',
        **{'slot': 3, 'owned_since': NOW - 5000} | changes,
    )


def describe_reply(reply):
    match reply:
        case once.MayRun():
            return 'run'
        case once.AlreadyAnswered():
            return 'kept'
        case requests.Refusal(code=code, outcome=outcome):
            return f'{code.value} {outcome.value}'


ANSWER = once.KeptAnswer(200, (), b'booked')
KEY = make_key(NOW)
MINE = begin(KEY).identity, 'r.1'


def settle(progress, answer=None):
    return once.RecordResult(*MINE, progress, answer)


ANSWERED = settle(once.Progress.ANSWERED, ANSWER)
UNKEPT = settle(once.Progress.ANSWERED)
UNKNOWN = settle(once.Progress.UNKNOWN)
FORGOTTEN = once.Forget(*MINE)
LOST = 'lost unknown'
CHANGED = 'owner-changed unknown'
BAD_KEY = 'idempotency-key-bad not-run'

# Guards against a second run (H9) and a false "not run" (H8). Rows: earlier
# messages, the request and the reply to it.
CASES = {
    'new': ((), begin(KEY), 'run'),
    'running': ((begin(KEY),), begin(KEY), 'running unknown'),
    'answered': ((begin(KEY), ANSWERED), begin(KEY), 'kept'),
    'answer not kept': ((begin(KEY), UNKEPT), begin(KEY), LOST),
    'unknown': ((begin(KEY), UNKNOWN), begin(KEY), LOST),
    'known not to have run': ((begin(KEY), FORGOTTEN), begin(KEY), 'run'),
    'forgotten by another attempt': (
        *((begin(KEY), once.Forget(MINE[0], 'r.2')), begin(KEY)),
        'running unknown',
    ),
    'other organisation': ((begin(KEY),), begin(KEY, 'rui'), 'run'),
    'older than the ownership': (
        *((), begin(make_key(NOW - 60), owned_since=NOW - 60.1), CHANGED),
    ),
    'older than the records': ((), begin(make_key(NOW - 599.8)), CHANGED),
    'from the future': ((), begin(make_key(NOW + 0.6)), BAD_KEY),
    'not version 7': ((), begin(str(uuid.UUID(int=4 << 76))), BAD_KEY),
}


@pytest.mark.parametrize('case', CASES)
async def test_replies_to_recorded_requests(case):
    before, message, expected = CASES[case]
    owner = task.Once(lambda: NOW)
    for one in before:
        await owner.handle(one)
    assert describe_reply(await owner.handle(message)) == expected


def test_records_and_answers_are_bounded():
    # Guards against unbounded memory, and against early eviction of records,
    # after which a repeated request would run again.
    ledger = idempotency.Ledger(max_records=3, max_kept_bytes=10)
    keys = [make_key(NOW, number) for number in range(4)]
    replies = [ledger.begin(begin(key), NOW - 9000, NOW) for key in keys]
    assert [describe_reply(one) for one in replies] == [
        *['run'] * 3,
        'overloaded not-run',
    ]
    for key in keys[:3]:
        ledger.settle(
            once.RecordResult(
                begin(key).identity, 'r.1', once.Progress.ANSWERED, ANSWER
            )
        )
    again = [ledger.begin(begin(key), NOW - 9000, NOW) for key in keys]
    assert [describe_reply(one) for one in again] == [
        'lost unknown',
        'lost unknown',
        'kept',
        'overloaded not-run',
    ]
    assert ledger.kept_bytes == 6
    ledger.expire(NOW + 601)
    assert not (ledger.records or ledger.slots or ledger.kept_bytes)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('begin', 'run', 'lose', 'forget', 'crash', 'wait')
        ),
        strategies.integers(0, 2),
    ),
    max_size=30,
)


def count_runs(steps):
    """Interleave three attempts of one key with crashes of the owner.

    Returns the number of runs.
    """
    now, since = NOW, NOW - 5000
    ledger, runs, holding = idempotency.Ledger(), 0, {}
    for step, attempt in steps:
        name = f'r.{attempt}'
        message = begin(KEY, attempt=name)
        mine = message.identity, name
        match step:
            case 'begin':
                reply = ledger.begin(message, since, now)
                if isinstance(reply, once.MayRun):
                    holding[name] = 'begun'
            case 'run' if holding.get(name) == 'begun':
                runs += 1
                holding[name] = 'ran'
                ledger.settle(once.RecordResult(*mine, once.Progress.ANSWERED))
            case 'lose' if holding.get(name) == 'begun':
                runs += 1
                holding[name] = 'ran'
                ledger.settle(once.RecordResult(*mine, once.Progress.UNKNOWN))
            case 'forget' if holding.get(name) != 'ran':
                holding.pop(name, None)
                ledger.forget(once.Forget(*mine))
            case 'crash':
                now += 1.0
                ledger, holding, since = idempotency.Ledger(), {}, now
            case 'wait':
                now += 250.0
                ledger.expire(now)
    return runs


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(STEPS)
def test_property_at_most_one_run(steps):
    # Guards against a second run of a key after several attempts, retries of
    # callers, crashes of the owner and expiry of records.
    assert count_runs(steps) <= 1


# Each row replaces one safeguard, and gives steps that then run a key twice.
@pytest.mark.parametrize(
    ('name', 'replacement', 'steps'),
    [
        (
            'answer_repeat',
            lambda record: once.MayRun(),
            [('begin', 0), ('run', 0), ('begin', 1), ('run', 1)],
        ),
        (
            'check_key_time',
            lambda made, since, now: None,
            [('begin', 0), ('run', 0), ('crash', 0), ('begin', 1), ('run', 1)],
        ),
        (
            'check_key_time',
            lambda made, since, now: None,
            [('begin', 0), ('run', 0)]
            + [('wait', 0)] * 3
            + [('begin', 1), ('run', 1)],
        ),
        (
            'Ledger._find_own',
            lambda ledger, message: ledger.records.get(message.identity),
            [
                ('begin', 0),
                ('forget', 1),
                ('begin', 1),
                ('run', 0),
                ('run', 1),
            ],
        ),
    ],
    ids=['record', 'owner change', 'age', 'own record'],
)
def test_safeguard_taken_out_is_noticed(monkeypatch, name, replacement, steps):
    assert count_runs(steps) <= 1
    monkeypatch.setattr(
        f'sesamejunction.decisions.idempotency.{name}', replacement
    )
    assert count_runs(steps) == 2
