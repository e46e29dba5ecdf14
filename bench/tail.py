"""Tail latency by choice of target while some of four are slow.

Nodes, gates and choosers are the real ones in one process; targets are
timers, and a forwarded request is a call.
"""

import argparse
import asyncio
import contextlib
import random

import uvloop

from sesamejunction.commands import ports as porting
from sesamejunction.commands import requests as commands
from sesamejunction.commands import serving
from sesamejunction.commands import uploads
from sesamejunction.model import choosing
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.queries import routes
from sesamejunction.tasks import chooser
from sesamejunction.tasks import clock
from sesamejunction.tasks import gate
from test import permissive

TARGETS = 4
SLOTS = 12
WORK_S = 0.005
SLOW = 10
RATE = 200.0
RUN_S = 4.0
WARM_UP_S = 1.0
ROUNDS = 3
ANNOUNCE_S = 1.0


class RoundRobin(chooser.Chooser):
    """Takes the targets in turn."""

    def _choose_target(self, service, message):
        members = routes.list_targets(self._state, service)
        self._turn = getattr(self, '_turn', -1) + 1
        return choosing.Chosen(members[self._turn % len(members)])


class Random(chooser.Chooser):
    """Takes any target."""

    def _choose_target(self, service, message):
        members = routes.list_targets(self._state, service)
        return choosing.Chosen(random.choice(members))


class Single(chooser.Chooser):
    """The project's choice without second tries."""

    def _choose_target(self, service, message):
        found = super()._choose_target(service, message)
        if isinstance(found, choosing.Chosen):
            return choosing.Chosen(found.candidate)
        return found


POLICIES = {
    'round robin': RoundRobin,
    'random': Random,
    'two choices': Single,
    'and second try': chooser.Chooser,
}


class Target:
    """Works by a timer; slow ones take ten times as long."""

    def __init__(self, factor: int):
        self._factor = factor

    async def send(self, _grant, _head, _upload):
        """Answer after the work."""
        work_s = WORK_S * (0.8 + random.expovariate(5.0))
        await asyncio.sleep(work_s * self._factor)
        return requests.Answer(
            200, (), answer_nothing(), contextlib.AsyncExitStack()
        )

    def cancel(self, _request_id):
        """Do nothing; cancelling the call has stopped the timer."""


async def answer_nothing():
    """Yield an empty body."""
    yield b''


class Peers:
    """Calls the other node in the place of the network."""

    def __init__(self, nodes):
        self._nodes = nodes

    def reports_silence(self, _candidate):
        """Return False; calls in one process are not silent."""
        return False

    async def send(self, candidate, head, upload, _tell_silent=None):
        """Serve at the candidate's node."""
        other = self._nodes[candidate.member.incarnation]
        return await serving.serve_request(
            other, other.states.current, head, upload
        )


def build_state() -> state.State:
    """Return a state with all targets in one availability zone."""
    members = {
        number: state.Member(
            *(number, f'n{number}', 'a', '127.0.0.1', number, number),
            *(number, 's', SLOTS, SLOTS, True),
        )
        for number in range(1, TARGETS + 1)
    }
    service = state.Service('s', state.Routing.LOAD, 4)
    return state.State(members=members, services={'s': service})


def build_node(number, kind, slow, nodes, group, stack):
    """Start the tasks of a node and return its ports."""
    tasks = {
        'gate': gate.Gate(number),
        'owners': permissive.PermissiveOwners(number),
        'shares': permissive.PermissiveShares(),
        'chooser': kind(number, 'a'),
    }
    states = porting.StateView()
    for task in tasks.values():
        stack.callback(group.create_task(task.run()).cancel)
    for one in (tasks['gate'], tasks['chooser'], states):
        one.publish(journaling.StateChanged(build_state()))
    return porting.Ports(
        incarnation=number,
        states=states,
        lease=permissive.PermissiveLease(),
        once=None,
        peers=Peers(nodes),
        target=Target(SLOW if number <= slow else 1),
        clock=clock.read_boot_clock,
        room=porting.WaiterLimit(64),
        **tasks,
    )


async def announce(nodes) -> None:
    """Announce the targets each second."""
    while True:
        for number, node in nodes.items():
            node.gate.tell(
                gating.TargetAnnounced('s', SLOTS, SLOTS, number, True)
            )
        await asyncio.sleep(ANNOUNCE_S)


async def call(node, number, taken, failed) -> None:
    """Make one request and note its time."""
    started = clock.read_boot_clock()
    head = requests.Head(
        *(f'r{number}', 's', 'GET', '/', None, None, 'ana'),
        *(started + 2.0, True),
    )
    reply = await commands.route_request(
        node, node.states.current, head, uploads.EMPTY
    )
    if isinstance(reply, requests.Refusal):
        failed.append(reply.code)
        return
    async for _ in reply.chunks:
        pass
    await reply.resources.aclose()
    taken.append((started, clock.read_boot_clock() - started))


async def run_policy(kind, slow: int) -> tuple[list[float], int]:
    """Return the latencies after the warm-up, and the failures."""
    taken, failed, nodes = [], [], {}
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        for number in range(1, TARGETS + 1):
            nodes[number] = build_node(number, kind, slow, nodes, group, stack)
        stack.callback(group.create_task(announce(nodes)).cancel)
        await asyncio.sleep(0.05)
        begun = clock.read_boot_clock()
        due, number = begun, 0
        async with asyncio.TaskGroup() as calls:
            while due < begun + RUN_S + WARM_UP_S:
                due += random.expovariate(RATE)
                await asyncio.sleep(max(0, due - clock.read_boot_clock()))
                number += 1
                node = nodes[number % TARGETS + 1]
                calls.create_task(call(node, number, taken, failed))
    kept = [one for at, one in taken if at >= begun + WARM_UP_S]
    return kept, len(failed)


def pick(values, part) -> float:
    """Return a percentile in milliseconds."""
    return sorted(values)[min(len(values) - 1, int(len(values) * part))] * 1e3


async def measure() -> None:
    """Print the percentiles of each policy; rounds take turns."""
    for slow in (0, 1, 2):
        found = {name: ([], 0) for name in POLICIES}
        for _ in range(ROUNDS):
            for name, kind in POLICIES.items():
                taken, failed = await run_policy(kind, slow)
                found[name] = found[name][0] + taken, found[name][1] + failed
        for name, (taken, failed) in found.items():
            parts = ' '.join(
                f'p{part * 100:g} {pick(taken, part):6.1f} ms'
                for part in (0.5, 0.99, 0.999)
            )
            print(
                f'{slow} slow of {TARGETS}  {name:15} {parts}  '
                f'({len(taken)} answered, {failed} refused)',
                flush=True,
            )


def main() -> None:
    """Run the measurement."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    uvloop.run(measure())


if __name__ == '__main__':
    main()
