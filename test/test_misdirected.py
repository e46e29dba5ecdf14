"""Requests for keys that the node grants but the target denies to hold."""

import asyncio
import dataclasses
import types

import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import logs
from sesamejunction.commands import hosting
from sesamejunction.commands import ports as porting
from sesamejunction.commands import wholebodies
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import follower
from sesamejunction.tasks import targetlease
from test import fakes
from test import requestfakes
from test import test_hosting

LIFE = ranges.Life('b', 't', 1)
STATES = {
    routing: state.State(
        offset=4,
        services={'s': state.Service('s', routing, 0)},
        ranges={
            's': ranges.RangePlan(
                (
                    ranges.Range(0, 999, 1, LIFE),
                    ranges.Range(1000, 1999, 2, ranges.Life('c', 'u', 1)),
                    ranges.Range(2000, 65535, 3, LIFE),
                )
            )
        },
    )
    for routing in (state.Routing.RANGE, state.Routing.LOAD)
}
MISDIRECTED = requestfakes.make_refusal(
    requests.Code.NOT_OWNER, reached_target=True
)


class Target:
    """Fake target that answers only for the keys in ``held``."""

    def __init__(self, held):
        self.held = held
        self.asked = []

    async def send(self, head, _body):
        self.asked.append(int(head.route_key))
        if int(head.route_key) in self.held:
            return wholebodies.build_answer(200, (), b'whole')
        return MISDIRECTED


class LeaseTask:
    """Handles messages to the lease task at once."""

    def __init__(self, lease):
        self._lease = lease

    def tell(self, message):
        asyncio.ensure_future(self._lease.handle(message))


def make_lease():
    view = follower.PositionView()
    view.end, view.as_of = 4, clock.read_boot_clock()
    metrics = types.SimpleNamespace(
        key_rows_granted=types.SimpleNamespace(inc=lambda _: None)
    )
    return targetlease.TargetLease(
        targetlease.Identity('b', 2, 'z', '10.0.0.1', 1, 's'),
        view,
        fakes.FakeTask(),
        types.SimpleNamespace(ask=fakes.FakeTask(None).ask),
        metrics,
    )


async def beat(lease, sequence):
    reply = await lease.handle(
        leasing.Heartbeat(LIFE, 's', 'z', 8, sequence, False, 0.0)
    )
    if isinstance(reply, asyncio.Future):
        lease._answer(clock.read_boot_clock())


# Guards against a node that sends a target request after request for keys that
# it has denied to hold (issue 20: 9,183 arrivals answered 421). Columns:
# routing of the service, keys that the target holds, keys asked for before and
# after the next heartbeat, keys that reach the target.
@pytest.mark.parametrize(
    ('routing', 'held', 'before', 'after', 'reached'),
    [
        pytest.param(
            state.Routing.RANGE,
            {2000},
            *([7, 7, 8, 2000], [7, 7], [7, 2000, 7]),
            id='one range denied',
        ),
        pytest.param(
            state.Routing.RANGE,
            {7, 8},
            *([7, 1500, 8], [7], [7, 8, 7]),
            id='none denied',
        ),
        pytest.param(
            state.Routing.LOAD,
            set(),
            *([7, 7, 8], [7], [7, 7, 8, 7]),
            id='any target',
        ),
    ],
)
async def test_denied_keys_are_withheld(routing, held, before, after, reached):
    lease, target = make_lease(), Target(held)
    states = porting.StateView()
    states.current = STATES[routing]
    lease._apply_state(STATES[routing], clock.read_boot_clock())
    await beat(lease, 1)
    scheduler = test_hosting.FakeScheduler(test_hosting.ADMITTED, 0.0)
    ports = hosting.Ports(
        *(states, scheduler, LeaseTask(lease), lease.holdings, target),
        *(logs.ThrottledLogger(), hostedmetrics.HostedMetrics()),
        clock.read_boot_clock,
    )
    for number, keys in enumerate((before, after), 2):
        for key in keys:
            head = dataclasses.replace(
                requestfakes.HEAD,
                route_key=str(key),
                deadline=clock.read_boot_clock() + 1.0,
            )
            reply = await hosting.host_request(ports, head, b'')
            if key not in held:
                assert reply.outcome is requests.Outcome.NOT_RUN
            await asyncio.sleep(0)
        await beat(lease, number)
    assert target.asked == reached
