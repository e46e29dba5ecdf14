"""Routing of one request over several attempts, with fake ports."""

import asyncio
import dataclasses
from unittest import mock

import pytest

from sesamejunction.commands import ports as porting
from sesamejunction.commands import requests as commands
from sesamejunction.commands import serving
from sesamejunction.commands import uploads
from sesamejunction.decisions import hashing
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import sharing
from sesamejunction.model import state
from sesamejunction.tasks import chooser
from sesamejunction.tasks import clock
from test import fakes
from test import requestfakes

CODE = requests.Code

# Guards against forbidden retries and wrong outcomes (H8). Columns: offered
# members, replies of the peers, keyed, repeatable, outcome, number of
# attempts.
ROUTING_CASES = {
    'answer': ([2], [requestfakes.answer], 1, 1, 'answer', 1),
    'owner gone': (
        [2, 3],
        [requestfakes.UNREACHABLE, requestfakes.answer],
        1,
        0,
        'answer',
        2,
    ),
    'redirect': (
        [2, 3],
        [requestfakes.MOVED_REFUSAL, requestfakes.answer],
        1,
        0,
        'answer',
        2,
    ),
    'waits for an owner': (
        [0, 0, 2],
        [requestfakes.answer],
        1,
        0,
        'answer',
        1,
    ),
    'nobody': ([], [], 1, 0, 'no-owner not-run', 0),
    'nobody by load': ([], [], 0, 1, 'no-target not-run', 0),
    'full owner': (
        [2, 3],
        [requestfakes.FULL_REFUSAL],
        1,
        1,
        'overloaded not-run',
        1,
    ),
    'full target': (
        [2, 3],
        [requestfakes.FULL_REFUSAL, requestfakes.answer],
        0,
        1,
        'answer',
        2,
    ),
    'all full': (
        [2, 3],
        [requestfakes.FULL_REFUSAL, requestfakes.FULL_REFUSAL],
        0,
        1,
        'overloaded not-run',
        2,
    ),
    'lost, repeatable': (
        [2, 3],
        [requestfakes.LOST, requestfakes.answer],
        0,
        1,
        'answer',
        2,
    ),
    'lost, once': ([2, 3], [requestfakes.LOST], 1, 0, 'lost unknown', 1),
    'lost, then full': (
        [2, 3],
        [requestfakes.LOST, requestfakes.FULL_REFUSAL],
        0,
        1,
        'lost unknown',
        2,
    ),
    'lost, then nobody': ([2], [requestfakes.LOST], 0, 1, 'lost unknown', 1),
    'unknown at the owner': (
        [2, 3],
        [requests.Refusal(CODE.OWNER_CHANGED, requestfakes.UNKNOWN, 'x')],
        *(1, 0, 'owner-changed unknown', 1),
    ),
}


@pytest.mark.parametrize('case', ROUTING_CASES)
async def test_attempts_and_outcome(case):
    offers, replies, keyed, repeatable, expected, count = ROUTING_CASES[case]
    peers = requestfakes.FakeTransport(
        *[one() if one is requestfakes.answer else one for one in replies]
    )
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser(offers), peers=peers
    )
    head = dataclasses.replace(requestfakes.HEAD, repeatable=bool(repeatable))
    assert await requestfakes.route(ports, head, keyed=keyed) == expected
    # Each attempt has its own id, so that a late answer cannot be taken.
    ids = [head.request_id for _, head in peers.sent]
    assert ids == [f'id.{number}' for number in range(1, count + 1)]
    # The token is returned only if nothing was forwarded.
    assert bool(ports.shares.told) == (count == 0)


# Guards against a split route whose requests move to another part when the
# chosen one is short of room. Columns: refusals before the result.
@pytest.mark.parametrize('refusals', [1, 2])
@pytest.mark.parametrize('keyed', [True, False])
async def test_refused_request_stays_with_its_service(refusals, keyed):
    peers = requestfakes.FakeTransport(
        *[requestfakes.FULL_REFUSAL] * refusals, requestfakes.answer()
    )
    fake_chooser = requestfakes.ScriptedChooser([2, 3, 2])
    ports = requestfakes.make_ports(chooser=fake_chooser, peers=peers)
    await requestfakes.route(ports, keyed=keyed)
    services = {head.service for _, head in peers.sent}
    services |= {
        message.head.service
        for message in fake_chooser.asked
        if isinstance(message, choosing.ChooseCandidate)
    }
    assert services == {requestfakes.HEAD.service}


TOKENS = (sharing.TokenTaken(3),) * 2
NO_TOKEN = sharing.OverRate(0.5)


# Guards against runs above an organisation's rate (H6): after an attempt that
# may have run, the next one takes another token. Columns: replies of the
# shares task, replies of the peers, outcome, attempts, requested tokens.
@pytest.mark.parametrize(
    ('shares', 'replies', 'expected', 'count', 'asked'),
    [
        (TOKENS, [requestfakes.LOST, None], 'answer', 2, 2),
        ((TOKENS[0], NO_TOKEN), [requestfakes.LOST], 'lost unknown', 1, 2),
        (TOKENS, [requestfakes.UNREACHABLE, None], 'answer', 2, 1),
        (TOKENS, [requestfakes.FULL_REFUSAL, None], 'answer', 2, 1),
        (TOKENS, [requestfakes.MOVED_REFUSAL, None], 'answer', 2, 1),
    ],
)
async def test_each_run_takes_a_token(shares, replies, expected, count, asked):
    peers = requestfakes.FakeTransport(
        *[one or requestfakes.answer() for one in replies]
    )
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser([2, 3]),
        peers=peers,
        shares=requestfakes.ScriptedTask(*shares),
    )
    assert await requestfakes.route(ports, keyed=False) == expected
    assert len(peers.sent) == count
    assert len(ports.shares.asked) == asked
    # A first attempt and one after a loss may wait for a grant.
    assert {one.deadline for one in ports.shares.asked} == {102.0}


class SlowFirstAnswer(requestfakes.FakeTransport):
    """Transport whose first answer comes after the hedging delay."""

    async def send(self, where, head, upload, on_silent=None):
        self.sent.append((where, head))
        if len(self.sent) == 1:
            await asyncio.sleep(0.05)
        return requestfakes.answer()


# Guards against hedged attempts that exceed the rate, and against hedged
# attempts that wait for a token, which may take longer than the first answer.
# Columns: reply of the shares task, attempts.
@pytest.mark.parametrize(
    ('second', 'count'), [(sharing.TokenTaken(3), 2), (NO_TOKEN, 1)]
)
async def test_second_try_takes_a_token(second, count):
    offers = [
        choosing.Chosen(requests.Candidate(requestfakes.MEMBERS[one]), 0.01)
        for one in (2, 3)
    ]
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedTask(offers[0], True, offers[1]),
        peers=SlowFirstAnswer(),
        shares=requestfakes.ScriptedTask(sharing.TokenTaken(3), second),
    )
    assert await requestfakes.route(ports, keyed=False) == 'answer'
    assert len(ports.peers.sent) == count
    assert [one.deadline for one in ports.shares.asked] == [102.0, 0.0]


class SilentFirstAttempt(requestfakes.FakeTransport):
    """Transport that reports the first attempt as silent, then answers it.

    Later attempts get the scripted replies.
    """

    async def send(self, where, head, upload, on_silent=None):
        if self.sent:
            return await super().send(where, head, upload)
        self.sent.append((where, head))
        on_silent()
        await asyncio.sleep(0.05)
        self.ended = True
        return requestfakes.answer()


FULL_INBOX = errors.InboxFull('x')


# Guards against a silent attempt that is cancelled when a second one is
# impossible, fails or is refused, against second attempts above the limits,
# and against a silent request that runs twice. Columns: offered members,
# whether a retry is allowed, reply to the request for a second token, replies
# to the second attempt, changes of the request, attempts sent.
@pytest.mark.parametrize(
    ('offers', 'retry', 'token', 'replies', 'changes', 'count'),
    [
        pytest.param(
            [2, 3], True, *(TOKENS[0], [requestfakes.LOST], {}, 2), id='lost'
        ),
        pytest.param(
            [2, 3],
            True,
            *(TOKENS[0], [requestfakes.UNREACHABLE], {}, 2),
            id='away',
        ),
        pytest.param(
            [2, 3],
            True,
            *(TOKENS[0], [requestfakes.FULL_REFUSAL], {}, 2),
            id='full',
        ),
        pytest.param(
            [2, 3],
            True,
            *(TOKENS[0], [requestfakes.MOVED_REFUSAL], {}, 2),
            id='moved',
        ),
        pytest.param(
            [2, 0, 2],
            True,
            *(TOKENS[0], [requestfakes.LOST], {}, 2),
            id='same',
        ),
        pytest.param([2], True, *(TOKENS[0], [], {}, 1), id='nobody left'),
        pytest.param([2, 3], False, *(TOKENS[0], [], {}, 1), id='no budget'),
        pytest.param(
            [2, 3], FULL_INBOX, *(TOKENS[0], [], {}, 1), id='chooser full'
        ),
        pytest.param([2, 3], True, *(NO_TOKEN, [], {}, 1), id='no token'),
        pytest.param([2, 3], True, *(FULL_INBOX, [], {}, 1), id='shares full'),
        pytest.param(
            *([2, 3], True, TOKENS[0], [], {'max_targets': 1}, 1),
            id='route allows one',
        ),
        pytest.param(
            *([2, 3], True, TOKENS[0], [], {'repeatable': False}, 1),
            id='once',
        ),
    ],
)
@pytest.mark.parametrize('keyed', [True, False])
async def test_silent_attempt_is_kept_open(
    offers, retry, token, replies, changes, count, keyed
):
    choices = [
        requestfakes.CHOSEN.get(one, choosing.NoCandidate('x'))
        for one in offers
    ]
    asked = [
        choices[0],
        retry,
        *choices[1:],
        choosing.NoCandidate('none', True),
    ]
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedTask(*asked),
        peers=SilentFirstAttempt(*replies),
        shares=requestfakes.ScriptedTask(sharing.TokenTaken(3), token),
    )
    head = dataclasses.replace(requestfakes.HEAD, **changes)
    assert await requestfakes.route(ports, head, keyed=keyed) == 'answer'
    assert len(ports.peers.sent) == count
    assert ports.peers.ended


# Guards against an extra attempt beside one that is not silent, and against
# a route's attempt limit that counts ended attempts only. Columns: hedging
# delay, silent attempts, limit of the route, attempts made.
@pytest.mark.parametrize(
    ('second_s', 'silent', 'limit', 'count'),
    [
        pytest.param(0.01, (), None, 2, id='late'),
        pytest.param(0.01, (), 1, 1, id='late, one allowed'),
        pytest.param(0.01, (1,), None, 2, id='late, then silent'),
        pytest.param(0.01, (1, 2), None, 3, id='all silent'),
        pytest.param(0.01, (1, 2), 2, 2, id='all silent, two allowed'),
        pytest.param(None, (1, 2), None, 3, id='silent one after another'),
    ],
)
async def test_concurrent_attempts(second_s, silent, limit, count):
    class SilentAttempts(requestfakes.FakeTransport):
        async def send(self, where, head, upload, on_silent=None):
            self.sent.append((where, head))
            number = len(self.sent)
            await asyncio.sleep(0.03)
            if number in silent:
                on_silent()
            await asyncio.sleep(0.2)
            return requestfakes.answer()

    class Offers(requestfakes.ScriptedTask):
        async def ask(self, message):
            if isinstance(message, choosing.TakeRetry):
                return True
            member = requestfakes.MEMBERS[3 if message.tried else 2]
            return choosing.Chosen(requests.Candidate(member), second_s)

    ports = requestfakes.make_ports(chooser=Offers(), peers=SilentAttempts())
    head = dataclasses.replace(requestfakes.HEAD, max_targets=limit)
    assert await requestfakes.route(ports, head, keyed=False) == 'answer'
    assert len(ports.peers.sent) == count


# Guards against creating a task, which costs about 20 us, for an attempt that
# no other can run beside. Columns: whether the transport reports silence,
# whether the request is repeatable, hedging delay, whether the attempt has a
# task of its own.
@pytest.mark.parametrize(
    ('tells', 'repeatable', 'second_s', 'own_task'),
    [
        (True, True, None, True),
        (False, True, None, False),
        (True, False, None, False),
        (False, True, 0.1, True),
    ],
)
async def test_attempt_has_a_task_when_needed(
    tells, repeatable, second_s, own_task
):
    tasks = []

    class TaskRecorder(requestfakes.FakeTransport):
        def reports_silence(self, _candidate):
            return tells

        async def send(self, where, head, upload, on_silent=None):
            tasks.append(asyncio.current_task())
            return requestfakes.answer()

    candidate = requests.Candidate(requestfakes.MEMBERS[2])
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedTask(
            choosing.Chosen(candidate, second_s)
        ),
        peers=TaskRecorder(),
    )
    head = dataclasses.replace(requestfakes.HEAD, repeatable=repeatable)
    assert await requestfakes.route(ports, head, keyed=False) == 'answer'
    assert [one is not asyncio.current_task() for one in tasks] == [own_task]


async def test_first_complete_answer_cancels_the_others():
    # Guards against attempts that go on after the request was answered: the
    # silent attempt or the one made beside it.
    cancelled = []

    class SilentThenAnswer(requestfakes.FakeTransport):
        async def send(self, where, head, upload, on_silent=None):
            self.sent.append((where, head))
            if len(self.sent) == 2:
                return requestfakes.answer()
            on_silent()
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.append(head.request_id)
                raise

    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser([2, 3]), peers=SilentThenAnswer()
    )
    assert await requestfakes.route(ports) == 'answer'
    await asyncio.sleep(0)
    assert cancelled == ['id.1']


# Guards against reporting the end of attempts that the chooser never counted
# as open, such as those at an owner. A once-only request without a key may
# run anywhere. Columns: keyed, repeatable, idempotency key, reported attempts.
@pytest.mark.parametrize(
    ('keyed', 'repeatable', 'once_key', 'reported'),
    [
        (False, True, None, 1),
        (False, False, 'once', 0),
        (False, False, None, 1),
        (True, True, None, 0),
    ],
)
async def test_only_chosen_attempts_are_reported(
    keyed, repeatable, once_key, reported
):
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser([2]),
        peers=requestfakes.FakeTransport(requestfakes.answer()),
    )
    head = dataclasses.replace(
        requestfakes.HEAD, repeatable=repeatable, idempotency_key=once_key
    )
    assert await requestfakes.route(ports, head, keyed=keyed) == 'answer'
    assert len(ports.chooser.told) == reported


# Guards against forwarding requests that the entry node must refuse. Columns:
# changes of the ports, outcome.
@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        (
            {'lease': requestfakes.make_lease_view(owning.Lease(99.0))},
            'no-lease not-run',
        ),
        (
            {
                'lease': requestfakes.make_lease_view(
                    owning.Lease(200.0, False)
                )
            },
            'no-lease not-run',
        ),
        (
            {'shares': requestfakes.ScriptedTask(sharing.OverRate(0.5))},
            'over-rate not-run',
        ),
        (
            {'shares': requestfakes.ScriptedTask(errors.InboxFull('x'))},
            'overloaded not-run',
        ),
        (
            {
                'chooser': requestfakes.ScriptedChooser([0]),
                'waiter_limit': porting.WaiterLimit(0),
            },
            'no-owner not-run',
        ),
    ],
)
async def test_refused_at_the_entry(changes, expected):
    ports = requestfakes.make_ports(**changes)
    assert await requestfakes.route(ports) == expected
    assert not ports.peers.sent


# Guards against resending a partial body after a refusal, with a buffered and
# a streamed body.
@pytest.mark.parametrize(
    ('upload', 'expected'),
    [
        (lambda: uploads.Upload(b'small'), 'answer'),
        (
            lambda: uploads.Upload(b'a', requestfakes.stream(b'b')),
            'not-owner not-run',
        ),
    ],
)
async def test_body_is_resent_only_when_buffered(upload, expected):
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser([2, 3]),
        peers=requestfakes.FakeTransport(
            requestfakes.MOVED_REFUSAL, requestfakes.answer(b'b')
        ),
    )
    assert await requestfakes.route(ports, upload=upload()) == expected


class TakeoverPeers(requestfakes.FakeTransport):
    """Transport: owner 2 is dead, and 3 refers to it until 3 serves."""

    def __init__(self, serves_at):
        super().__init__()
        self._serves_at = serves_at

    async def send(self, where, head, upload, on_silent=None):
        incarnation = where.member.incarnation
        self.sent.append(incarnation)
        if incarnation == 2:
            raise requestfakes.UNREACHABLE
        if clock.read_boot_clock() < self._serves_at:
            return requestfakes.make_refusal(
                requests.Code.NOT_OWNER, owner='10.0.0.1:2'
            )
        return requestfakes.answer()


async def test_waits_for_a_takeover():
    # Guards against refused requests, and retries wasted on the dead owner,
    # during a takeover, which may last a second.
    now = clock.read_boot_clock()
    peers, real = TakeoverPeers(now + 0.8), chooser.Chooser(1, 'a')
    real.publish(
        journaling.StateChanged(requestfakes.STATES[state.Routing.KEY])
    )
    running = asyncio.create_task(real.run())
    ports = requestfakes.make_ports(
        peers=peers,
        chooser=real,
        clock=clock.read_boot_clock,
        lease=requestfakes.make_lease_view(owning.Lease(now + 60)),
    )
    head = dataclasses.replace(
        requestfakes.HEAD, deadline=now + 2.0, repeatable=False
    )
    assert await requestfakes.route(ports, head) == 'answer'
    assert peers.sent.count(2) == 1
    assert len(peers.sent) < 16
    running.cancel()


class HoldingSuccessor(requestfakes.FakeTransport):
    """Successor that waits for a hold and reports the remaining time.

    From ``ready_at`` to ``back_at`` it cannot be reached.
    """

    def __init__(self, clock, ready_at, back_at=0.0):
        super().__init__()
        self._clock = clock
        self._ready_at = ready_at
        self._back_at = back_at

    async def send(self, where, head, upload, on_silent=None):
        self.sent.append(where)
        now = self._clock()
        left_s = self._ready_at - now
        if left_s <= 0 and now < self._back_at:
            raise requestfakes.UNREACHABLE
        if left_s <= 0:
            return requestfakes.answer()
        return requestfakes.make_refusal(
            requests.Code.NOT_OWNER, owner='10.0.0.1:2', retry_after_s=left_s
        )


# Guards against a request that waits a full pause although the successor is
# ready earlier. Column: remaining seconds of the hold.
@pytest.mark.parametrize('hold_s', [0.005, 0.02, 0.15, 0.25, 0.31])
async def test_request_is_sent_when_the_hold_ends(monkeypatch, hold_s):
    clock = fakes.Clock()
    ready_at = clock() + hold_s

    async def advance(delay_s):
        clock.now += delay_s

    monkeypatch.setattr(asyncio, 'sleep', advance)
    ports = requestfakes.make_ports(
        clock=clock,
        chooser=requestfakes.ScriptedChooser([2] * 30),
        peers=HoldingSuccessor(clock, ready_at),
    )
    assert await requestfakes.route(ports) == 'answer'
    # Each reading of the fake clock advances it by 1 ms.
    assert clock() <= ready_at + commands.FIRST_PAUSE_S + 0.01
    assert len(ports.peers.sent) < 16


async def test_lost_successor_does_not_use_up_attempts(monkeypatch):
    # Guards against using up all attempts within a few tenths of a second
    # when a successor has announced when it will serve, but fails before.
    clock = fakes.Clock()
    ready_at, back_at = clock() + 0.05, clock() + 1.2

    async def advance(delay_s):
        clock.now += delay_s

    monkeypatch.setattr(asyncio, 'sleep', advance)
    ports = requestfakes.make_ports(
        clock=clock,
        chooser=requestfakes.ScriptedChooser([2] * 60, retries=60),
        peers=HoldingSuccessor(clock, ready_at, back_at),
    )
    assert await requestfakes.route(ports) == 'answer'


async def count_attempts(requests_made, is_limited):
    total = 0
    real = chooser.Chooser(1, 'a')
    await real.handle(
        journaling.StateChanged(requestfakes.STATES[state.Routing.LOAD])
    )

    class Limited(requestfakes.ScriptedChooser):
        async def ask(self, message):
            allowed = await real.handle(message)
            if isinstance(message, choosing.TakeRetry):
                return allowed or not is_limited
            return requestfakes.CHOSEN[2]

    for _ in range(requests_made):
        peers = requestfakes.FakeTransport(*[requestfakes.LOST] * 30)
        ports = requestfakes.make_ports(chooser=Limited([]), peers=peers)
        await requestfakes.route(ports, keyed=False)
        total += len(peers.sent)
    return total


# Guards against a retry storm while all attempts fail. The second row
# disables the budget.
@pytest.mark.parametrize(
    ('is_limited', 'within'), [(True, True), (False, False)]
)
async def test_retries_are_limited_by_the_budget(is_limited, within):
    assert (await count_attempts(40, is_limited) <= 40 * 1.15 + 10) is within


TOKEN = requests.Token(1, 0)


def serve_until(end, token=TOKEN, since=0.0):
    return owning.Serving(token, end, end + 0.25, since)


# Guards against requests sent under a lease that ended while they were queued
# (5.2). Columns: replies of the owners task, whether the check is enabled,
# outcome, requests sent. In the last row the check is disabled, and the
# target gets the request too late.
@pytest.mark.parametrize(
    ('replies', 'check', 'expected', 'sent'),
    [
        ([serve_until(150.0)], True, 'answer', 1),
        ([serve_until(99.0), serve_until(150.0)], True, 'answer', 1),
        ([serve_until(99.0), serve_until(99.0)], True, 'no-lease not-run', 0),
        (
            [serve_until(99.0), owning.NotServing(3, 2)],
            *(True, 'no-lease not-run', 0),
        ),
        (
            [serve_until(99.0), serve_until(150.0, since=100.0)],
            *(True, 'no-lease not-run', 0),
        ),
        ([owning.NotServing(3, 2)], True, 'not-owner not-run', 0),
        ([serve_until(99.0)], False, 'answer', 1),
    ],
)
async def test_lease_before_send(monkeypatch, replies, check, expected, sent):
    if not check:
        monkeypatch.setattr(serving, 'may_start', lambda *_: True)
    ports = requestfakes.make_ports(
        owners=requestfakes.ScriptedTask(*replies),
        target=requestfakes.FakeTransport(requestfakes.answer()),
        chooser=requestfakes.ScriptedChooser([1]),
    )
    assert await requestfakes.route(ports) == expected
    assert len(ports.target.sent) == sent
    late = [one for one, _ in ports.target.sent if one.start_before < 100.0]
    assert bool(late) is not check


# Guards against hot keys that are never detected, and against counting keys at
# nodes that do not own them. Columns: reply of the owners task, counts.
@pytest.mark.parametrize(
    ('reply', 'counted'),
    [(serve_until(150.0), 1), (owning.NotServing(3, 2), 0)],
)
async def test_served_keys_are_counted(reply, counted):
    keys = mock.Mock()
    ports = requestfakes.make_ports(
        owners=requestfakes.ScriptedTask(reply),
        target=requestfakes.FakeTransport(requestfakes.answer()),
        chooser=requestfakes.ScriptedChooser([1]),
        keys=keys,
    )
    await requestfakes.route(ports)
    calls = [call.args[:2] for call in keys.count.call_args_list]
    assert calls == [('s', hashing.hash_key('k'))] * counted


async def test_slot_is_kept_while_lost_work_may_run():
    # Guards against releasing a slot, after which the successor does not wait,
    # while the target may still run a request whose answer was lost.
    owners = requestfakes.ScriptedTask(serve_until(150.0))
    target = requestfakes.FakeTransport(requestfakes.LOST)
    ports = requestfakes.make_ports(owners=owners, target=target)
    current = requestfakes.STATES[state.Routing.KEY]
    head = dataclasses.replace(requestfakes.HEAD, deadline=100.2)
    with pytest.raises(errors.PeerConnectionLost):
        await serving.serve_request(ports, current, head, uploads.EMPTY)
    assert target.cancelled == ['id']
    assert not owners.told
    await asyncio.sleep(0.3)
    assert [type(one) for one in owners.told] == [owning.LeaveSlot]
