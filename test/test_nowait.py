"""Tasks wait between the turns of the event loop."""

import asyncio
import dataclasses
import socket
import types

import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import pipelinedhttp
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import linking
from sesamejunction.model import outgoinganswers
from sesamejunction.model import registry
from sesamejunction.model import routing
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import follower
from sesamejunction.tasks import line
from sesamejunction.tasks import link
from sesamejunction.tasks import scheduler
from sesamejunction.tasks import topicsources
from test import steppedloop
from test import test_idle
from test import test_scheduler
from test import test_sources

RUN_S = 1.0
# A timer is late by the two milliseconds that make it never early, and by its
# wake-up.
LATEST_S = 0.0025
# Nodes of an availability zone at the size of the target.
ZONE_SIZE = 91


class Alarm(actor.Actor):
    """Has a task at a time of the boot clock, as many actors have."""

    def __init__(self, due):
        super().__init__()
        self.tick_s = 0.0
        self.due, self.done_at = due, None

    async def tick(self):
        now = clock.read_boot_clock()
        if self.done_at is None and now >= self.due:
            self.done_at = now
        self.tick_s = 1.0 if self.done_at else self.due - now


async def run_alarms(loop):
    """The rest until a time of the boot clock is a part of a millisecond."""
    alarms = [
        Alarm(loop.read_clock() + 0.01 + number / 10_000)
        for number in range(10)
    ]
    running = [loop.create_task(alarm.run()) for alarm in alarms]
    await asyncio.sleep(RUN_S)
    for task in running:
        task.cancel()
    for alarm in alarms:
        assert alarm.due <= alarm.done_at <= alarm.due + LATEST_S


def run_actor(make, told):
    """Return a coroutine that runs an idle or a waiting actor."""

    async def run(loop):
        task = make()
        task.publish(journaling.StateChanged(test_idle.make_state()))
        running = loop.create_task(task.run())
        for message in told:
            task.tell(message)
        await asyncio.sleep(RUN_S)
        running.cancel()

    return run


async def make_scheduler(loop, rate):
    made = scheduler.Scheduler(
        'orders', test_scheduler.Holdings(), loop.read_clock
    )
    cold_until = loop.read_clock() + 10.0 if rate else 0.0
    await made.handle(
        leasing.TargetStatus(test_scheduler.LIFE, 2, cold_until=cold_until)
    )
    service = dataclasses.replace(test_scheduler.SERVICE, cold_rate=rate)
    current = dataclasses.replace(state.State(), services={'orders': service})
    await made.handle(journaling.StateChanged(current))
    return made


async def admit(loop, made, number):
    head = test_scheduler.make_head(number, left_s=5.0, now=loop.read_clock())
    await made.ask(gating.Admit(head))
    made.tell(gating.WorkFinished(head.request_id, 0.001))


async def run_cold_target(loop):
    """Requests wait for their turn at a target in its cold start."""
    made = await make_scheduler(loop, 37.0)
    running = loop.create_task(made.run())
    async with asyncio.timeout(3.0):
        await asyncio.gather(*(admit(loop, made, n) for n in range(20)))
    running.cancel()


async def run_given_up(loop):
    """All places are held by requests that were given up."""
    made = await make_scheduler(loop, 0.0)
    running = loop.create_task(made.run())
    for tenths in range(10):
        occupied_until = loop.read_clock() + 0.01 + tenths / 10_000
        for place in range(2):
            head = test_scheduler.make_head(place, now=loop.read_clock())
            await made.ask(gating.Admit(head))
            made.tell(
                gating.WorkFinished(
                    head.request_id, None, occupied_until=occupied_until
                )
            )
        async with asyncio.timeout(1.0):
            await admit(loop, made, 9)
        assert loop.read_clock() <= occupied_until + LATEST_S
    running.cancel()


async def run_line(loop):
    """Parts of large answers wait for the line."""
    made = line.Line(
        10.0, hostedmetrics.HostedMetrics(), clock=loop.read_clock
    )
    running = loop.create_task(made.run())
    latest = loop.read_clock() + 5.0
    async with asyncio.timeout(3.0):
        await asyncio.gather(
            *(
                made.ask(outgoinganswers.AwaitGrant(32_000, 1, latest))
                for _ in range(20)
            )
        )
    running.cancel()


class Transport:
    """A connection on which nothing arrives and all is taken at once."""

    def __init__(self):
        self.is_closed = False
        self._socket = socket.socket()

    def get_extra_info(self, name):
        return self._socket if name == 'socket' else ('127.0.0.1', 1)

    def set_write_buffer_limits(self, _high):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_closed

    def write(self, _data):
        pass

    def close(self):
        self.is_closed = True
        self._socket.close()

    abort = close


async def run_idle_caller(_loop):
    """A caller's connection is idle for as long as it may be."""
    ports = pipelinedhttp.ServerPorts(
        *(None, None, lambda: False, lambda: 1000, clock.read_boot_clock),
        find_limits=lambda: routing.Limits(idle_s=0.0104),
    )
    connection, transport = pipelinedhttp.Connection(ports), Transport()
    connection.connection_made(transport)
    await asyncio.sleep(0.0052)
    # An answer in between moves the end of the idle time.
    connection._idle_since = asyncio.get_running_loop().time() + 0.0001
    await asyncio.sleep(0.05)
    assert transport.is_closed


async def run_silent_peer(loop):
    """A peer neither answers nor acknowledges a ping."""
    usage = types.SimpleNamespace(
        traffic=types.SimpleNamespace(sent=0, received=0), describe=dict
    )
    connection, transport = link.Link(usage), Transport()
    connection.connection_made(transport)
    connection.start_exchange()
    connection.send_frame(linking.Ping(0))
    await asyncio.sleep(RUN_S)
    assert not connection.is_usable
    transport.abort()


class FailingLinks:
    """Connections to members, none of which can be reached."""

    def __init__(self):
        self.asked = 0

    async def ask(self, _member, _question):
        self.asked += 1
        raise errors.PeerUnavailable('no connection')


async def run_follower_without_peers(loop):
    """Each read from a peer fails before it has waited for anything."""
    members = test_sources.make_members((ZONE_SIZE,))
    presence = types.SimpleNamespace(
        silent=frozenset(), last_heard_at=dict.fromkeys(members, 0.0)
    )
    peers = FailingLinks()
    sources = topicsources.TopicSources(
        *(max(members), 'z0'),
        types.SimpleNamespace(current=state.State(members=members)),
        *(presence, peers),
    )
    await run_follower(loop, sources, test_sources.RefusingTopic())
    assert peers.asked


async def run_follower_without_log(loop):
    """Each read of the log fails before it has waited for anything."""
    await run_follower(loop, None, test_sources.RefusingTopic())


async def run_follower(loop, sources, topic):
    made = follower.Follower(
        topic, (), lambda: 9, lambda _: None, sources, apply_s=100.0
    )
    made.start_with(registry.TopicCopy(5, {}), loop.read_clock())
    running = [loop.create_task(made.run()), loop.create_task(made.follow())]
    await asyncio.sleep(RUN_S)
    for task in running:
        task.cancel()


CASES = {
    'a time of the boot clock': run_alarms,
    'requests for a cold target': run_cold_target,
    'places held by given-up requests': run_given_up,
    'parts of large answers': run_line,
    'an idle caller': run_idle_caller,
    'a silent peer': run_silent_peer,
    'peers that fail at once': run_follower_without_peers,
    'a log that fails at once': run_follower_without_log,
    **{
        name: run_actor(make, told)
        for name, (make, told, _) in test_idle.CASES.items()
    },
}


# Guards against a process that goes on without a wait until a clock has moved:
# timers armed again with a rest that the loop rounds to nothing, and loops
# that go on at once after a failure.
@pytest.mark.parametrize('build', CASES.values(), ids=CASES)
def test_task_waits(build, monkeypatch):
    loops = []

    def read_clock():
        return loops[0].read_clock()

    async def run(loop):
        loops.append(loop)
        await build(loop)

    monkeypatch.setattr(clock, 'read_boot_clock', read_clock)
    steppedloop.run(run)
