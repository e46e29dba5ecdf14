"""Tail latency of policies to choose a target while some of four are slow.

The nodes' request path, gates and choosers are the real ones and run in one
process. Targets are timers, and requests are forwarded by a function call.
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
# Mean duration of the work at a target that is not slow.
WORK_S = 0.005
# Factor on the work of a slow target.
SLOWDOWN = 10
RATE_PER_S = 200.0
RUN_S = 4.0
WARM_UP_S = 1.0
ROUNDS = 3
ANNOUNCE_S = 1.0


class RoundRobin(chooser.Chooser):
    """Chooses the targets in turn."""

    def _choose_target(self, service, message):
        members = routes.list_targets(self._state, service)
        self._turn = getattr(self, '_turn', -1) + 1
        return choosing.Chosen(members[self._turn % len(members)])


class Random(chooser.Chooser):
    """Chooses a target at random."""

    def _choose_target(self, service, message):
        members = routes.list_targets(self._state, service)
        return choosing.Chosen(random.choice(members))


class WithoutSecondTry(chooser.Chooser):
    """The project's chooser without a second target."""

    def _choose_target(self, service, message):
        chosen = super()._choose_target(service, message)
        if isinstance(chosen, choosing.Chosen):
            return choosing.Chosen(chosen.candidate)
        return chosen


POLICIES = {
    'round robin': RoundRobin,
    'random': Random,
    'two choices': WithoutSecondTry,
    'and second try': chooser.Chooser,
}


class Target:
    """Answers after a random time multiplied by a factor."""

    def __init__(self, factor: int):
        self._factor = factor

    async def send(self, _grant, _head, _upload):
        """Wait for the simulated work, then answer."""
        work_s = WORK_S * (0.8 + random.expovariate(5.0))
        await asyncio.sleep(work_s * self._factor)
        return requests.Answer(
            200, (), stream_nothing(), contextlib.AsyncExitStack()
        )

    def cancel(self, _request_id):
        """Do nothing; cancelling the call has stopped the timer."""


async def stream_nothing():
    """Yield an empty body."""
    yield b''


class Peers:
    """Forwards to other nodes by a function call."""

    def __init__(self, nodes):
        self._nodes = nodes

    def reports_silence(self, _candidate):
        """Return False: a function call gives no sign of silence."""
        return False

    async def send(self, candidate, head, upload, _tell_silent=None):
        """Serve the request at the candidate's node."""
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


def build_node(number, chooser_class, slow_count, nodes, group, stack):
    """Start the tasks of a node and return its ports.

    The first ``slow_count`` nodes have slow targets. ``nodes`` maps all
    numbers to ports, also those of nodes that are built later.
    """
    tasks = {
        'gate': gate.Gate(number),
        'owners': permissive.PermissiveOwners(number),
        'shares': permissive.PermissiveShares(),
        'chooser': chooser_class(number, 'a'),
    }
    states = porting.StateView()
    for task in tasks.values():
        stack.callback(group.create_task(task.run()).cancel)
    for subscriber in (tasks['gate'], tasks['chooser'], states):
        subscriber.publish(journaling.StateChanged(build_state()))
    return porting.Ports(
        incarnation=number,
        states=states,
        lease=permissive.PermissiveLease(),
        once=None,
        peers=Peers(nodes),
        target=Target(SLOWDOWN if number <= slow_count else 1),
        clock=clock.read_boot_clock,
        waiter_limit=porting.WaiterLimit(64),
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


async def call(node, number, latencies, failed) -> None:
    """Send one request and record its latency."""
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
    latencies.append((started, clock.read_boot_clock() - started))


async def run_policy(
    chooser_class, slow_count: int
) -> tuple[list[float], int]:
    """Return the latencies after the warm-up and the number of failures."""
    latencies, failed, nodes = [], [], {}
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        for number in range(1, TARGETS + 1):
            nodes[number] = build_node(
                number, chooser_class, slow_count, nodes, group, stack
            )
        stack.callback(group.create_task(announce(nodes)).cancel)
        await asyncio.sleep(0.05)
        started_at = clock.read_boot_clock()
        due, number = started_at, 0
        async with asyncio.TaskGroup() as calls:
            while due < started_at + RUN_S + WARM_UP_S:
                due += random.expovariate(RATE_PER_S)
                await asyncio.sleep(max(0, due - clock.read_boot_clock()))
                number += 1
                node = nodes[number % TARGETS + 1]
                calls.create_task(call(node, number, latencies, failed))
    measured = [
        latency for at, latency in latencies if at >= started_at + WARM_UP_S
    ]
    return measured, len(failed)


def percentile_ms(values, fraction) -> float:
    """Return a percentile of values in seconds, in milliseconds."""
    return (
        sorted(values)[min(len(values) - 1, int(len(values) * fraction))] * 1e3
    )


async def measure() -> None:
    """Print the percentiles of each policy; the policies alternate."""
    for slow_count in (0, 1, 2):
        totals = {name: ([], 0) for name in POLICIES}
        for _ in range(ROUNDS):
            for name, chooser_class in POLICIES.items():
                latencies, failed = await run_policy(chooser_class, slow_count)
                totals[name] = (
                    totals[name][0] + latencies,
                    totals[name][1] + failed,
                )
        for name, (latencies, failed) in totals.items():
            parts = ' '.join(
                f'p{fraction * 100:g} '
                f'{percentile_ms(latencies, fraction):6.1f} ms'
                for fraction in (0.5, 0.99, 0.999)
            )
            print(
                f'{slow_count} slow of {TARGETS}  {name:15} {parts}  '
                f'({len(latencies)} answered, {failed} refused)',
                flush=True,
            )


def main() -> None:
    """Run the measurement."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    uvloop.run(measure())


if __name__ == '__main__':
    main()
