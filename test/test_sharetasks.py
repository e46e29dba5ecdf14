"""Shares and allocators: waits for grants, and slot ownership."""

import asyncio
import contextlib
import dataclasses

import pytest

from sesamejunction.decisions import shares as decisions
from sesamejunction.decisions import tokenallocator
from sesamejunction.decisions import tokenholder
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import requests
from sesamejunction.model import sharing
from sesamejunction.model import state
from sesamejunction.tasks import allocators
from sesamejunction.tasks import clock
from sesamejunction.tasks import shares

NAME = 'embalagens'
MEMBERS = {
    one: state.Member(one, f'n{one}', 'a', '', 1, 2, 3, 's', 1, 1, True)
    for one in (1, 2)
}


def make_state(rate, burst):
    table = state.SlotTable((state.SlotOrder(1, (1, 2)),) * state.SHARES_SLOTS)
    return state.State(
        members=MEMBERS,
        tables={state.SHARES_SERVICE: table},
        organisations={NAME: state.Organisation(NAME, rate, burst)},
    )


@dataclasses.dataclass
class Owners:
    """Confirms that the slot is owned until ``lease_end``."""

    lease_end: float
    entered: int = 0

    async def ask(self, _message):
        self.entered += 1
        return owning.Serving(
            requests.Token(1, 0), self.lease_end, self.lease_end, 0.0
        )

    def tell_reliably(self, message):
        assert isinstance(message, owning.LeaveSlot)
        self.entered -= 1


class Network(dict):
    """Delivers datagrams between the actors of two nodes."""

    def connect(self, sender):
        port = type('Port', (), {})()
        port.tell = lambda sent: self[sent.incarnation].tell(
            packets.Received(sender, sent.message, clock.read_boot_clock())
        )
        return port


@contextlib.asynccontextmanager
async def run_nodes(current, lease_s):
    """Run two nodes; node 1 owns all slots of the shares service."""
    owners = Owners(clock.read_boot_clock() + lease_s)
    network = Network()
    async with asyncio.TaskGroup() as group, contextlib.AsyncExitStack() as s:
        for one in MEMBERS:
            port = network.connect(one)
            task = allocators.Allocators(one, owners, port)
            network[one] = shares.Shares(one, task, port)
            task.holder = network[one]
            for started in (task, network[one]):
                started.publish(journaling.StateChanged(current))
                s.callback(group.create_task(started.run()).cancel)
        yield network, owners


async def spend(task, deadline_s):
    deadline = clock.read_boot_clock() + deadline_s
    return await task.ask(sharing.TakeToken(NAME, deadline))


# Guards against refusals within the rate while a grant is in transit, and
# against an allocator that continues after its lease. Rows: seconds of lease
# left, seconds until the deadline, expected reply.
@pytest.mark.parametrize(
    ('lease_s', 'deadline_s', 'expected'),
    [
        (60.0, 2.0, sharing.TokenTaken),
        (60.0, -1.0, sharing.OverRate),
        (-1.0, 2.0, sharing.OverRate),
    ],
)
async def test_waits_for_a_grant(lease_s, deadline_s, expected):
    async with run_nodes(make_state(1000.0, 100.0), lease_s) as found:
        network, owners = found
        await asyncio.sleep(0.15)
        replies = [await spend(network[2], deadline_s) for _ in range(3)]
        assert {type(one) for one in replies} == {expected}
        counted = network[2].dump()
        assert bool(counted.admitted) is (expected is sharing.TokenTaken)
        await asyncio.sleep(0.01)
        # A slot that is not left could never be released.
        assert owners.entered == 0


# Guards against requests that wait for a token until their deadline, and
# against counting a wait that has ended as waiting. Rows: seconds until the
# deadline, whether the allocator answers, (least, most) seconds of wait.
@pytest.mark.parametrize(
    ('deadline_s', 'answers', 'within'),
    [
        pytest.param(
            2.0,
            True,
            (tokenholder.MAX_WAIT_S - 0.01, tokenholder.MAX_WAIT_S + 0.15),
            id='limit',
        ),
        pytest.param(
            2.0,
            False,
            (
                tokenholder.UNANSWERED_WAIT_S - 0.01,
                tokenholder.UNANSWERED_WAIT_S + 0.15,
            ),
            id='limit without an answer',
        ),
        pytest.param(0.2, True, (0.09, 0.19), id='half of the deadline'),
    ],
)
async def test_wait_for_a_token_ends(monkeypatch, deadline_s, answers, within):
    async with run_nodes(make_state(1000.0, 100.0), -1.0) as (network, _):
        await asyncio.sleep(0.15)
        if answers:
            holder = network[2]._holder
            monkeypatch.setattr(holder, 'is_answered', lambda _name: True)
        started = clock.read_boot_clock()
        reply = await spend(network[2], deadline_s)
        taken_s = clock.read_boot_clock() - started
        assert isinstance(reply, sharing.OverRate)
        # Without an answer, nobody knows whether it is over its rate.
        assert reply.is_certain is answers
        assert within[0] <= dict(reply.inputs)['waited_s'] <= within[1]
        assert within[0] <= taken_s <= within[1]
        await asyncio.sleep(shares.TICK_S * 2)
        (purse,) = network[2].dump().purses
        assert purse.waiting == 0


async def test_empty_bucket_refuses_at_once():
    # Guards against requests over the rate that wait and then use the tokens
    # of later requests within the rate.
    async with run_nodes(make_state(1.0, 4.0), 60.0) as (network, _):
        # Requests wait until the grants of a former allocator have expired.
        await asyncio.sleep(tokenallocator.HOLD_BACK_S + 0.25)
        assert isinstance(await spend(network[2], 2.0), sharing.TokenTaken)
        started = clock.read_boot_clock()
        replies = [await spend(network[2], 2.0) for _ in range(3)]
        assert {type(one) for one in replies} == {sharing.OverRate}
        assert clock.read_boot_clock() - started < tokenholder.MAX_WAIT_S
        # Log lines need the inputs to show why a request was refused.
        decided = dict(replies[0].inputs)
        assert decided['tokens'] < 1
        assert decided['demand'] > 1
        assert decided['empty_s'] > 0


async def test_forged_holder_gets_nothing():
    # A node must not revoke or spend the grants of another node.
    async with run_nodes(make_state(1000.0, 100.0), 60.0) as (network, _):
        await asyncio.sleep(0.15)
        want = messages.ShareWant(NAME, 0.0, 80.0)
        forged = messages.ShareRequest(2, 1 << 40, 0, (want,))
        network[1].tell(packets.Received(1, forged, 0.0))
        await asyncio.sleep(0.05)
        assert isinstance(await spend(network[2], 2.0), sharing.TokenTaken)


def test_ended_allocator_is_not_asked_first():
    # Guards against asking an ended owner first during a log outage.
    current = make_state(1.0, 1.0)
    assert decisions.list_allocators(current, NAME, set()) == (1, 2)
    assert decisions.list_allocators(current, NAME, {1}) == (2,)
