"""Runs the demonstration: a fleet, its declarations and a short trace."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys
import time

import uvloop

from demo import fleet
from sesamejunction.border import declarations
from sesamejunction.border import loghttp
from sesamejunction.border import operatorclient
from sesamejunction.border import ticketlog
from sesamejunction.commands import tickets as commands
from sesamejunction import errors
from sesamejunction.model import ticketing
from sesamejunction.ui import invocation
from sesamejunction.ui import replay

FOLDER = pathlib.Path(__file__).parent
POLL_S = 0.2
READY_LIMIT_S = 45.0
# A new owner cannot know of orders from before it took over and 500 ms more
# (docs/design.md 5.6), so the first orders must be younger than that.
SETTLE_S = 1.0
FOLLOW_CONCURRENCY = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of docs/design.md 1.3; layout is service and servers."""

    layout: tuple[tuple[str, int], ...]
    slots: int


DEPLOYMENTS = {
    'colatec': Deployment(
        (('catalogue', 5), ('orders', 4), ('sheets', 3)), 12
    ),
    'sangham': Deployment(
        (('enquiry', 5), ('register', 4), ('archive', 3)), 18
    ),
}


def run() -> None:
    """Run the deployment that DEPLOYMENT names; colatec without it."""
    name = os.environ.get('DEPLOYMENT', 'colatec')
    if name not in DEPLOYMENTS:
        raise errors.UsageError(
            f'DEPLOYMENT={name}: unknown; set it to one of '
            f'{", ".join(DEPLOYMENTS)}'
        )
    deployment = DEPLOYMENTS[name]
    folder = FOLDER / 'declarations' / name
    declared = declarations.read_declarations(str(folder))
    zones = [zone for zone, _ in declared.zones]
    with contextlib.ExitStack() as stack:
        running = fleet.Fleet(deployment.layout, deployment.slots, zones)
        stack.enter_context(hold_interrupts())
        stack.enter_context(running)
        # Runs before the fleet is stopped, so that a second Ctrl-C does not
        # leave processes behind.
        stack.callback(ignore_interrupts)
        show(f'{len(running.spots)} nodes with targets, {len(zones)} zones')
        uvloop.run(prepare(running, declared))
        replay_trace(running, name, declared, folder)


@contextlib.contextmanager
def hold_interrupts():
    """Treat SIGTERM as Ctrl-C inside, and restore both at the end."""
    before = {
        one: signal.getsignal(one) for one in (signal.SIGTERM, signal.SIGINT)
    }
    # A shell starts background processes with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    # While a loop runs, its own handler of SIGINT ends the main task.
    signal.signal(
        signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT)
    )
    try:
        yield
    finally:
        for one, handler in before.items():
            signal.signal(one, handler)


def ignore_interrupts() -> None:
    """Ignore Ctrl-C and SIGTERM while the processes are stopped."""
    for one in (signal.SIGTERM, signal.SIGINT):
        signal.signal(one, signal.SIG_IGN)


async def prepare(
    running: fleet.Fleet, declared: ticketing.Declarations
) -> None:
    """Apply the declarations and return when all slots have an owner."""
    async with contextlib.AsyncExitStack() as stack:
        log = await stack.enter_async_context(
            loghttp.LogClient(running.log_url)
        )
        client = await stack.enter_async_context(
            operatorclient.OperatorClient(fleet.OPERATOR_KEY)
        )
        ports = commands.Ports(
            ticketlog.TicketLog(log), client, time.monotonic, asyncio.sleep
        )
        started = time.monotonic()
        view = commands.LogView(ports.log)
        await wait_until(running, view, has_members, 'all nodes joined')
        applied = await commands.apply_declarations(
            ports, view, declared, None, 'demo'
        )
        followed = await commands.wait_for_confirmations(
            ports, view, applied.offset, READY_LIMIT_S, FOLLOW_CONCURRENCY
        )
        if followed.unconfirmed:
            raise errors.TicketNotConfirmed(
                f'{len(followed.unconfirmed)} nodes did not confirm ticket '
                f'{applied.number}; run it again on an idle machine'
            )
        show(
            f'ticket {applied.number} confirmed by {followed.confirmed} '
            f'nodes after {followed.taken_s:.2f} s'
        )
        await wait_until(running, view, has_owners, 'all slots have owners')
        await asyncio.sleep(SETTLE_S)
        show(f'ready after {time.monotonic() - started:.1f} s')


async def wait_until(running, view, holds, what) -> None:
    """Poll the log until the state holds; raises NotConfirmed."""
    ends = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < ends:
        with contextlib.suppress(errors.LogUnavailable):
            if holds(running, await view.catch_up()):
                show(what)
                return
        ended = [
            key
            for key, process in running.processes.items()
            if process.poll() is not None
        ]
        if ended:
            raise errors.TicketNotConfirmed(
                f'{ended[0]} has ended by itself; look at its output'
            )
        await asyncio.sleep(POLL_S)
    raise errors.TicketNotConfirmed(
        f'not reached within {READY_LIMIT_S:g} s: {what}; run it again on '
        f'an idle machine'
    )


def has_members(running, current) -> bool:
    """Return whether every node has joined."""
    names = {one.name for one in current.members.values()}
    return names >= {one.name for one in running.spots}


def has_owners(_running, current) -> bool:
    """Return whether every slot has an order and is not in transition."""
    return bool(current.services) and all(
        name in current.tables
        and all(
            one is not None and one.previous is None
            for one in current.tables[name].orders
        )
        for name in current.services
    )


def replay_trace(running, name, declared, folder) -> None:
    """Replay the short trace; raises OutcomeMissed."""
    host = fleet.HOST
    traces = FOLDER / 'traces'
    replay.replay(
        str(traces / f'{name}.jsonl.gz'),
        nodes=','.join(f'{host}:{one.caller_port}' for one in running.spots),
        caller_keys={
            one.name: f'demo-key-{one.name}' for one in declared.organisations
        },
        declarations=str(folder),
        bounds=str(traces / f'{name}.bounds.yaml'),
        histories=','.join(
            f'{one.service}=http://{host}:{one.target_port}'
            for one in running.spots
        ),
    )


def show(text: str) -> None:
    """Write a line of progress to standard error."""
    print(f'demo: {text}', file=sys.stderr, flush=True)


def main() -> None:
    """Run the demonstration from the command line."""
    os.environ['UV_USE_IO_URING'] = '0'
    invocation.run_command(run)


if __name__ == '__main__':
    main()
