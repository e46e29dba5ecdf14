"""Joining, leaving and ending of a node: commands and actor."""

import asyncio
import io

import eliot
import pytest

from sesamejunction.commands import membership as leaving
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import operating
from sesamejunction.model import owning
from sesamejunction.model import records
from sesamejunction.model import sharing
from sesamejunction.model import state
from sesamejunction.tasks import membership
from test import fakes

HELD = errors.InboxFull('full')


# Rows: reply to MemberLeaving, answers to CountHeldSlots, the result
# (recorded, held) and the maximum of seconds taken.
@pytest.mark.parametrize(
    ('reply', 'counts', 'expected', 'at_most'),
    [
        (7, [0], (True, 0), 0.5),
        (7, [3, HELD, 1, 0], (True, 0), 0.5),
        (errors.LogUnavailable('down'), [1, 0], (False, 0), 0.5),
        (None, [0], (False, 0), 1.5),
        (7, [4] * 999, (True, 4), 1.0),
    ],
)
async def test_leave_fleet(reply, counts, expected, at_most):
    # Guards against a stop that waits for a log that is down, and against
    # one that finishes while slots are held.
    loop = asyncio.get_running_loop()
    appender, owners, shares = (
        fakes.FakeTask(reply),
        fakes.FakeTask(*counts),
        fakes.FakeTask(),
    )
    ports = leaving.Ports(
        5, appender, owners, shares, loop.time, asyncio.sleep
    )
    started = loop.time()
    left = await leaving.leave_fleet(ports, 0.4)
    assert (left.recorded, left.held) == expected
    assert loop.time() - started < at_most
    wanted = journaling.Append(records.MemberLeaving(5))
    assert appender.messages == [wanted]
    assert owners.messages[0] == owning.StopOwning()
    assert shares.messages == [sharing.ReturnAllTokens()]


ANNOUNCED = gating.TargetAnnounced('s', 3, 1, 1, True)
OWN = state.Member(1, 'n', 'z', 'h', 1, 2, 3, 's', 3, 1, True)
FULL = state.FleetSettings(max_nodes=1)
OTHER = state.Member(8, 'o', 'z', 'h', 1, 9, 3, 's', 3, 1, True)
FORMER = state.Member(9, 'n', 'z', 'h', 1, 2, 3, 's', 3, 1, True)


def at(*members, fleet=None):
    return journaling.StateChanged(
        state.State(
            members={one.incarnation: one for one in members},
            fleet=fleet or state.FleetSettings(),
        )
    )


LEFT = owning.StopOwning()


def name(witness):
    """Return a state in which member 8 has this witness."""
    sets = {8: state.WitnessSet(1, (witness, 6, 7))}
    return state.State(members={8: OTHER}, witness_sets=sets)


STILL = state.State(members={5: OTHER})


# Guards against an ended node that leaves others without a witness, against
# one that never restarts, and against a planned stop that waits for the log.
# Rows: states of the log in order, polls until a planned stop, polls made.
@pytest.mark.parametrize(
    ('states', 'stop_after', 'polls'),
    [
        ([name(4)], 999, 1),
        ([STILL, STILL, name(5), name(5), name(4)], 999, 5),
        ([STILL] * 999, 90, 90),
        ([STILL] + [name(5)] * 999, 999, 26),
    ],
    ids=('replaced', 'replaced later', 'log down', 'never replaced'),
)
async def test_stay_witness(states, stop_after, polls, monkeypatch):
    # A binary fraction, so that the sum reaches the limit exactly.
    monkeypatch.setattr(leaving, 'HELD_POLL_INTERVAL_S', 0.125)
    appender, journal = fakes.FakeTask(), fakes.FakeTask(*states)
    now = 100.0

    async def sleep(seconds):
        nonlocal now
        now += seconds

    ports = leaving.Ports(5, appender, None, None, lambda: now, sleep)
    await leaving.serve_as_witness_until_replaced(
        ports, journal, lambda: len(journal.messages) >= stop_after
    )
    ended = records.MembersEnded((5,))
    assert appender.messages == [journaling.Propose(ended)]
    assert len(journal.messages) == polls


# Rows: steps, which are seconds to wait or messages, the number of proposed
# joins, whether the node has to restart, and a text of the log.
@pytest.mark.parametrize(
    ('steps', 'joins', 'lost', 'logged'),
    [
        ([5.0], 0, False, ''),
        ([ANNOUNCED, 0.2], 1, False, 'node: joining'),
        ([ANNOUNCED, 0.2, at(OWN), 3.0], 1, False, 'node: joining'),
        ([ANNOUNCED, 0.2, 2.2], 2, False, 'node: joining'),
        ([ANNOUNCED, 0.2, at(OWN), 3.6], 1, True, 'node: target lost'),
        ([ANNOUNCED, 0.2, at(OWN), 3.0, ANNOUNCED, 3.0], 1, False, ''),
        ([ANNOUNCED, 3.6, ANNOUNCED, 0.2], 1, False, 'node: joining'),
        ([at(OTHER, fleet=FULL), ANNOUNCED, 0.2], 0, False, 'max_nodes'),
        ([at(FORMER, fleet=FULL), ANNOUNCED, 0.2], 1, False, 'joining'),
        ([ANNOUNCED, 0.2, LEFT, at(), 2.2], 1, False, 'node: joining'),
    ],
)
async def test_node_joins_and_notices_target_loss(steps, joins, lost, logged):
    now = 100.0
    stops = []
    appender = fakes.FakeTask()
    identity = membership.Identity(1, 'n', 'z', 'h', 1, 2, 3)
    task = membership.Membership(identity, appender, stops.append, lambda: now)
    stream = io.StringIO()
    destination = eliot.FileDestination(stream)
    eliot.add_destinations(destination)
    try:
        for one in steps:
            if isinstance(one, float):
                now += one
                await task.tick()
            else:
                await task.handle(one)
    finally:
        eliot.remove_destination(destination)
    assert len(appender.messages) == joins
    assert stops == [operating.StopReason.TARGET_LOST] * lost
    assert logged in stream.getvalue()
