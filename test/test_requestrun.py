"""One request over its attempts, with fakes at the ports."""

import asyncio
import dataclasses
from unittest import mock

import pytest

from sesamejunction.commands import ports as porting
from sesamejunction.commands import requests as commands
from sesamejunction.commands import serving
from sesamejunction.commands import uploads
from sesamejunction.decisions import attempts
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

# Guards against retries that must not be made, and outcomes that are not
# true (H8): members offered, replies of the peers, keyed, repeatable, the
# outcome and the number of attempts.
JOURNEYS = {
    'answer': ([2], [requestfakes.answer], 1, 1, 'answer', 1),
    'owner gone': (
        [2, 3],
        [requestfakes.AWAY, requestfakes.answer],
        1,
        0,
        'answer',
        2,
    ),
    'redirect': (
        [2, 3],
        [requestfakes.MOVED, requestfakes.answer],
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
    'full owner': ([2, 3], [requestfakes.FULL], 1, 1, 'overloaded not-run', 1),
    'full target': (
        [2, 3],
        [requestfakes.FULL, requestfakes.answer],
        0,
        1,
        'answer',
        2,
    ),
    'all full': (
        [2, 3],
        [requestfakes.FULL, requestfakes.FULL],
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
        [requestfakes.LOST, requestfakes.FULL],
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


@pytest.mark.parametrize('case', JOURNEYS)
async def test_journey(case):
    offers, replies, keyed, repeatable, expected, count = JOURNEYS[case]
    peers = requestfakes.Wire(
        *[one() if one is requestfakes.answer else one for one in replies]
    )
    ports = requestfakes.make_ports(
        chooser=requestfakes.Chooser(offers), peers=peers
    )
    head = dataclasses.replace(requestfakes.HEAD, repeatable=bool(repeatable))
    assert await requestfakes.route(ports, head, keyed=keyed) == expected
    # Each attempt has its own id, so that a late answer cannot be taken.
    ids = [head.request_id for _, head in peers.sent]
    assert ids == [f'id.{number}' for number in range(1, count + 1)]
    # A token comes back only if nothing was forwarded.
    assert bool(ports.shares.told) == (count == 0)


TOKENS = (sharing.TokenTaken(3),) * 2
NO_TOKEN = sharing.OverRate(0.5)


# Guards against runs above an organisation's rate (H6): after an attempt that
# may have run, the next one takes a token of its own. Replies of the shares
# task, of the peers, the outcome, attempts, tokens asked for.
@pytest.mark.parametrize(
    ('shares', 'replies', 'expected', 'count', 'asked'),
    [
        (TOKENS, [requestfakes.LOST, None], 'answer', 2, 2),
        ((TOKENS[0], NO_TOKEN), [requestfakes.LOST], 'lost unknown', 1, 2),
        (TOKENS, [requestfakes.AWAY, None], 'answer', 2, 1),
        (TOKENS, [requestfakes.FULL, None], 'answer', 2, 1),
        (TOKENS, [requestfakes.MOVED, None], 'answer', 2, 1),
    ],
)
async def test_each_run_takes_a_token(shares, replies, expected, count, asked):
    peers = requestfakes.Wire(
        *[one or requestfakes.answer() for one in replies]
    )
    ports = requestfakes.make_ports(
        chooser=requestfakes.Chooser([2, 3]),
        peers=peers,
        shares=requestfakes.Task(*shares),
    )
    assert await requestfakes.route(ports, keyed=False) == expected
    assert len(peers.sent) == count
    assert len(ports.shares.asked) == asked
    # A first attempt and one after a loss may wait for a grant.
    assert {one.deadline for one in ports.shares.asked} == {102.0}


class Slow(requestfakes.Wire):
    """Its first answer comes after the time of a second try."""

    async def send(self, where, head, upload, on_silent=None):
        self.sent.append((where, head))
        if len(self.sent) == 1:
            await asyncio.sleep(0.05)
        return requestfakes.answer()


# Guards against second tries of slow lookups that run above the rate, and
# against their waiting for a token, which the first try may need longer for
# than the answer takes: reply of the shares task, attempts.
@pytest.mark.parametrize(
    ('second', 'count'), [(sharing.TokenTaken(3), 2), (NO_TOKEN, 1)]
)
async def test_second_try_takes_a_token(second, count):
    offers = [
        choosing.Chosen(requests.Candidate(requestfakes.MEMBERS[one]), 0.01)
        for one in (2, 3)
    ]
    ports = requestfakes.make_ports(
        chooser=requestfakes.Task(offers[0], True, offers[1]),
        peers=Slow(),
        shares=requestfakes.Task(sharing.TokenTaken(3), second),
    )
    assert await requestfakes.route(ports, keyed=False) == 'answer'
    assert len(ports.peers.sent) == count
    assert [one.deadline for one in ports.shares.asked] == [102.0, 0.0]


class Mute(requestfakes.Wire):
    """Says at once that the first attempt is silent; it answers at the end.

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


# Guards against a silent attempt that is given up when a second one cannot be
# made, fails or is refused, against second attempts above the limits, and
# against a silent request that runs twice: members offered, whether a retry
# is allowed, what the shares say of the second token, replies of the second
# attempt, changes of the request, and how many were sent.
@pytest.mark.parametrize(
    ('offers', 'retry', 'token', 'replies', 'changes', 'count'),
    [
        pytest.param(
            [2, 3], True, *(TOKENS[0], [requestfakes.LOST], {}, 2), id='lost'
        ),
        pytest.param(
            [2, 3], True, *(TOKENS[0], [requestfakes.AWAY], {}, 2), id='away'
        ),
        pytest.param(
            [2, 3], True, *(TOKENS[0], [requestfakes.FULL], {}, 2), id='full'
        ),
        pytest.param(
            [2, 3], True, *(TOKENS[0], [requestfakes.MOVED], {}, 2), id='moved'
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
async def test_silent_attempt_goes_on(
    offers, retry, token, replies, changes, count, keyed
):
    found = [
        requestfakes.CHOSEN.get(one, choosing.NoCandidate('x'))
        for one in offers
    ]
    asked = [found[0], retry, *found[1:], choosing.NoCandidate('none', True)]
    ports = requestfakes.make_ports(
        chooser=requestfakes.Task(*asked),
        peers=Mute(*replies),
        shares=requestfakes.Task(sharing.TokenTaken(3), token),
    )
    head = dataclasses.replace(requestfakes.HEAD, **changes)
    assert await requestfakes.route(ports, head, keyed=keyed) == 'answer'
    assert len(ports.peers.sent) == count
    assert ports.peers.ended


# Guards against a second attempt beside one that is not silent, and against
# a route's limit of attempts that counts ended attempts only: time of a
# second try, attempts that are silent, limit of the route, attempts made.
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
async def test_attempts_beside_each_other(second_s, silent, limit, count):
    class Quiet(requestfakes.Wire):
        async def send(self, where, head, upload, on_silent=None):
            self.sent.append((where, head))
            number = len(self.sent)
            await asyncio.sleep(0.03)
            if number in silent:
                on_silent()
            await asyncio.sleep(0.2)
            return requestfakes.answer()

    class Offers(requestfakes.Task):
        async def ask(self, message):
            if isinstance(message, choosing.TakeRetry):
                return True
            member = requestfakes.MEMBERS[3 if message.tried else 2]
            return choosing.Chosen(requests.Candidate(member), second_s)

    ports = requestfakes.make_ports(chooser=Offers(), peers=Quiet())
    head = dataclasses.replace(requestfakes.HEAD, max_targets=limit)
    assert await requestfakes.route(ports, head, keyed=False) == 'answer'
    assert len(ports.peers.sent) == count


# Guards against a task, which takes about 20 us, for each attempt that no
# other can be made beside: whether the transport tells of silence, whether the
# request is repeatable and whether there is a time of a second try; then
# whether the attempt has a task of its own.
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

    class Noting(requestfakes.Wire):
        def reports_silence(self, _candidate):
            return tells

        async def send(self, where, head, upload, on_silent=None):
            tasks.append(asyncio.current_task())
            return requestfakes.answer()

    candidate = requests.Candidate(requestfakes.MEMBERS[2])
    ports = requestfakes.make_ports(
        chooser=requestfakes.Task(choosing.Chosen(candidate, second_s)),
        peers=Noting(),
    )
    head = dataclasses.replace(requestfakes.HEAD, repeatable=repeatable)
    assert await requestfakes.route(ports, head, keyed=False) == 'answer'
    assert [one is not asyncio.current_task() for one in tasks] == [own_task]


async def test_first_whole_answer_cancels_the_others():
    # Guards against runs for nobody: the attempt that was silent, or the one
    # that was made beside it, after an answer has come.
    cancelled = []

    class Slower(requestfakes.Wire):
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
        chooser=requestfakes.Chooser([2, 3]), peers=Slower()
    )
    assert await requestfakes.route(ports) == 'answer'
    await asyncio.sleep(0)
    assert cancelled == ['id.1']


# Guards against open attempts that the chooser counts down but never counted
# up, as those at an owner: keyed, repeatable, idempotency key, attempts
# reported. What runs once without a key may run anywhere.
@pytest.mark.parametrize(
    ('keyed', 'repeatable', 'once_key', 'reported'),
    [
        (False, True, None, 1),
        (False, False, 'once', 0),
        (False, False, None, 1),
        (True, True, None, 0),
    ],
)
async def test_chooser_hears_of_its_own_choices(
    keyed, repeatable, once_key, reported
):
    ports = requestfakes.make_ports(
        chooser=requestfakes.Chooser([2]),
        peers=requestfakes.Wire(requestfakes.answer()),
    )
    head = dataclasses.replace(
        requestfakes.HEAD, repeatable=repeatable, idempotency_key=once_key
    )
    assert await requestfakes.route(ports, head, keyed=keyed) == 'answer'
    assert len(ports.chooser.told) == reported


# Guards against work for nobody at the entry: what refuses the request.
@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'lease': requestfakes.hold(owning.Lease(99.0))}, 'no-lease not-run'),
        (
            {'lease': requestfakes.hold(owning.Lease(200.0, False))},
            'no-lease not-run',
        ),
        (
            {'shares': requestfakes.Task(sharing.OverRate(0.5))},
            'over-rate not-run',
        ),
        (
            {'shares': requestfakes.Task(errors.InboxFull('x'))},
            'overloaded not-run',
        ),
        (
            {
                'chooser': requestfakes.Chooser([0]),
                'room': porting.WaiterLimit(0),
            },
            'no-owner not-run',
        ),
    ],
)
async def test_refused_at_the_entry(changes, expected):
    ports = requestfakes.make_ports(**changes)
    assert await requestfakes.route(ports) == expected
    assert not ports.peers.sent


# Guards against sending half a body: whether a second attempt is made after
# a refusal, for a body that is held and for one that is streamed.
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
async def test_body_is_replayed_only_when_whole(upload, expected):
    ports = requestfakes.make_ports(
        chooser=requestfakes.Chooser([2, 3]),
        peers=requestfakes.Wire(requestfakes.MOVED, requestfakes.answer(b'b')),
    )
    assert await requestfakes.route(ports, upload=upload()) == expected


class Takeover(requestfakes.Wire):
    """The owner 2 is dead; 3 names it until it serves itself."""

    def __init__(self, serves_at):
        super().__init__()
        self._serves_at = serves_at

    async def send(self, where, head, upload, on_silent=None):
        incarnation = where.member.incarnation
        self.sent.append(incarnation)
        if incarnation == 2:
            raise requestfakes.AWAY
        if clock.read_boot_clock() < self._serves_at:
            return requestfakes.decline(
                requests.Code.NOT_OWNER, owner='10.0.0.1:2'
            )
        return requestfakes.answer()


async def test_waits_for_a_takeover():
    # Guards against requests refused, and retries spent on the dead owner,
    # in the second that a takeover may last.
    now = clock.read_boot_clock()
    peers, real = Takeover(now + 0.8), chooser.Chooser(1, 'a')
    real.publish(
        journaling.StateChanged(requestfakes.STATES[state.Routing.KEY])
    )
    running = asyncio.create_task(real.run())
    ports = requestfakes.make_ports(
        peers=peers,
        chooser=real,
        clock=clock.read_boot_clock,
        lease=requestfakes.hold(owning.Lease(now + 60)),
    )
    head = dataclasses.replace(
        requestfakes.HEAD, deadline=now + 2.0, repeatable=False
    )
    assert await requestfakes.route(ports, head) == 'answer'
    assert peers.sent.count(2) == 1
    assert len(peers.sent) < 16
    running.cancel()


class Holding(requestfakes.Wire):
    """A successor that waits for a hold and says for how long.

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
            raise requestfakes.AWAY
        if left_s <= 0:
            return requestfakes.answer()
        return requestfakes.decline(
            requests.Code.NOT_OWNER, owner='10.0.0.1:2', retry_after_s=left_s
        )


# Guards against a key that is served up to a whole pause after its successor
# is ready, of the second that a takeover may last: seconds of hold left.
@pytest.mark.parametrize('hold_s', [0.005, 0.02, 0.15, 0.25, 0.31])
async def test_request_is_sent_when_the_hold_ends(monkeypatch, hold_s):
    clock = fakes.Clock()
    ready_at = clock() + hold_s

    async def advance(delay_s):
        clock.now += delay_s

    monkeypatch.setattr(asyncio, 'sleep', advance)
    ports = requestfakes.make_ports(
        clock=clock,
        chooser=requestfakes.Chooser([2] * 30),
        peers=Holding(clock, ready_at),
    )
    assert await requestfakes.route(ports) == 'answer'
    # The clock goes on by 1 ms with each look at it.
    assert clock() <= ready_at + commands.FIRST_PAUSE_S + 0.01
    assert len(ports.peers.sent) < 16


async def test_successor_that_goes_is_not_asked_all_the_time(monkeypatch):
    # Guards against all attempts spent in a few tenths of a second after a
    # successor has said when it serves and is lost before.
    clock = fakes.Clock()
    ready_at, back_at = clock() + 0.05, clock() + 1.2

    async def advance(delay_s):
        clock.now += delay_s

    monkeypatch.setattr(asyncio, 'sleep', advance)
    ports = requestfakes.make_ports(
        clock=clock,
        chooser=requestfakes.Chooser([2] * 60, retries=60),
        peers=Holding(clock, ready_at, back_at),
    )
    assert await requestfakes.route(ports) == 'answer'


async def count_attempts(requests_made):
    total = 0
    budget = attempts.RetryBudget()

    class Limited(requestfakes.Chooser):
        async def ask(self, message):
            nonlocal budget
            if isinstance(message, choosing.TakeRetry):
                budget, allowed = attempts.take_retry(budget, 1.0)
                return allowed
            budget = attempts.count_request(budget, 1.0)
            return requestfakes.CHOSEN[2]

    for _ in range(requests_made):
        peers = requestfakes.Wire(*[requestfakes.LOST] * 30)
        ports = requestfakes.make_ports(chooser=Limited([]), peers=peers)
        await requestfakes.route(ports, keyed=False)
        total += len(peers.sent)
    return total


# Guards against a storm of retries while everything fails; the second row
# takes the budget out.
@pytest.mark.parametrize(
    ('budget', 'within'),
    [(attempts.take_retry, True), (lambda found, now: (found, True), False)],
)
async def test_retries_are_held_back(monkeypatch, budget, within):
    monkeypatch.setattr(attempts, 'take_retry', budget)
    assert (await count_attempts(40) <= 40 * 1.15 + 10) is within


TOKEN = requests.Token(1, 0)


def serve_until(end, token=TOKEN, since=0.0):
    return owning.Serving(token, end, end + 0.25, since)


# Guards against work sent under a lease that ended while the request waited
# (5.2): replies of the owners task, and what the caller gets. The last row
# takes the check out; then the target gets the work too late.
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
        owners=requestfakes.Task(*replies),
        target=requestfakes.Wire(requestfakes.answer()),
        chooser=requestfakes.Chooser([1]),
    )
    assert await requestfakes.route(ports) == expected
    assert len(ports.target.sent) == sent
    late = [one for one, _ in ports.target.sent if one.start_before < 100.0]
    assert bool(late) is not check


# Guards against hot keys that are never found, and against keys counted at
# nodes that do not own them: reply of the owners task, times counted.
@pytest.mark.parametrize(
    ('reply', 'counted'),
    [(serve_until(150.0), 1), (owning.NotServing(3, 2), 0)],
)
async def test_served_keys_are_counted(reply, counted):
    keys = mock.Mock()
    ports = requestfakes.make_ports(
        owners=requestfakes.Task(reply),
        target=requestfakes.Wire(requestfakes.answer()),
        chooser=requestfakes.Chooser([1]),
        keys=keys,
    )
    await requestfakes.route(ports)
    calls = [call.args[:2] for call in keys.count.call_args_list]
    assert calls == [('s', hashing.hash_key('k'))] * counted


async def test_slot_is_kept_while_lost_work_may_run():
    # Guards against a release, which needs no hold, while the target may
    # still work on a request whose answer was lost.
    owners = requestfakes.Task(serve_until(150.0))
    target = requestfakes.Wire(requestfakes.LOST)
    ports = requestfakes.make_ports(owners=owners, target=target)
    current = requestfakes.STATES[state.Routing.KEY]
    head = dataclasses.replace(requestfakes.HEAD, deadline=100.2)
    with pytest.raises(errors.PeerConnectionLost):
        await serving.serve_request(ports, current, head, uploads.EMPTY)
    assert target.cancelled == ['id']
    assert not owners.told
    await asyncio.sleep(0.3)
    assert [type(one) for one in owners.told] == [owning.LeaveSlot]
