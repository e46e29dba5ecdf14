"""Targets that became cold while their node could not hear it."""

import dataclasses

import pytest

from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import targetlease
from test import test_misdirected

BORN = 5_000
LIFE = ranges.Life('b', 't', BORN)


def make_heartbeat(sequence, cold_left_s=0.0, born=BORN):
    return leasing.Heartbeat(
        ranges.Life('b', 't', born),
        *('s', 'z', 8, sequence, False, cold_left_s),
    )


class Node:
    """The lease task of a node, at times that the test sets."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(clock, 'read_boot_clock', lambda: self.now)
        self._lease = test_misdirected.make_lease()

    async def run(self, span_s):
        """Let the process run, with its ticks."""
        for _ in range(round(span_s / targetlease.IDLE_S)):
            self.now += targetlease.IDLE_S
            await self._lease.tick()

    async def pause(self, span_s):
        """Pause the process for a time."""
        self.now += span_s
        await self._lease.tick()

    async def hear(self, heartbeat):
        """Handle a heartbeat, which is answered later."""
        await self._lease.handle(heartbeat)

    def take_zone(self, standing, service=None):
        """Learn whether the zone is in service, and the target's service."""
        self._lease._apply_state(
            state.State(
                zones={'z': standing},
                declared_version=1,
                declared_end=1,
                services={'s': service} if service else {},
            ),
            self.now,
        )

    @property
    def cold_left_s(self):
        return self._lease.target_status.cold_until - self.now


@pytest.fixture
async def node(monkeypatch):
    made = Node(monkeypatch)
    made.take_zone(state.Standing.IN)
    await made.run(0.5)
    await made.hear(make_heartbeat(5))
    await made.run(1.0)
    return made


# Guards against a flood of a target that became cold while its node was
# paused, as when its zone was taken out of service and back meanwhile.
@pytest.mark.parametrize(
    ('paused_s', 'is_cold'), [(0.6, False), (1.5, True), (8.0, True)]
)
async def test_target_counts_as_cold_after_a_pause(node, paused_s, is_cold):
    await node.pause(paused_s)
    assert (node.cold_left_s > 0) is is_cold


# Guards against a heartbeat that waited through the pause and ends the cold
# time. Columns: seconds from the pause to the heartbeat, its cold time,
# whether the target counts as cold after it.
@pytest.mark.parametrize(
    ('after_s', 'cold_left_s', 'is_cold'),
    [(0.0, 0.0, True), (0.0, 3.0, True), (0.5, 0.0, False), (0.5, 3.0, True)],
)
async def test_later_heartbeats_end_the_doubt(
    node, after_s, cold_left_s, is_cold
):
    await node.pause(3.0)
    await node.run(after_s)
    await node.hear(make_heartbeat(6, cold_left_s))
    assert (node.cold_left_s > 0) is is_cold


# Guards against a flood of a target whose heartbeats are ignored, and whose
# node therefore does not hear that it is cold. Columns: sequence number, start
# of the life that is named.
@pytest.mark.parametrize(
    ('sequence', 'born'), [(1, BORN), (9, BORN - 1)], ids=('again', 'older')
)
async def test_ignored_heartbeat_tells_of_a_cold_target(node, sequence, born):
    await node.hear(make_heartbeat(sequence, 3.0, born))
    assert node.cold_left_s == pytest.approx(3.0)
    await node.hear(make_heartbeat(sequence, 0.0, born))
    assert node.cold_left_s == pytest.approx(3.0)


async def test_accepted_heartbeat_ends_what_an_ignored_one_told(node):
    # Guards against an odd heartbeat that limits a warm target for long.
    await node.hear(make_heartbeat(1, 1000.0))
    await node.run(0.5)
    await node.hear(make_heartbeat(7))
    assert node.cold_left_s <= 0.0


RATED = state.Service('s', state.Routing.LOAD, 0, cold_rate=4.0)


# Guards against a flood of a target whose zone returns while little is known
# of its service. Columns: the service, seconds for which the target counts as
# cold.
@pytest.mark.parametrize(
    ('service', 'cold_s'),
    [
        pytest.param(None, 2.0, id='not declared'),
        pytest.param(RATED, 2.0, id='no time of a cold start'),
        pytest.param(
            dataclasses.replace(RATED, cold_s=7.0), 7.0, id='declared'
        ),
    ],
)
async def test_target_of_a_zone_that_returns_is_cold(node, service, cold_s):
    node.take_zone(state.Standing.OUT, service)
    await node.run(1.0)
    node.take_zone(state.Standing.IN, service)
    assert node.cold_left_s == pytest.approx(cold_s)
