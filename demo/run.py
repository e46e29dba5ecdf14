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
# A new owner cannot tell whether orders have run whose idempotency keys date
# from before its takeover plus 500 ms (docs/design.md 5.6), so the first
# orders are sent later than that.
OWNER_SETTLE_S = 1.0
FOLLOW_CONCURRENCY = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of docs/design.md 1.3.

    ``layout`` holds (service, number of targets) pairs; ``slots`` is the
    limit of requests that each target runs at once.
    """

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
    """Run the deployment named by DEPLOYMENT, which defaults to colatec."""
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
        stack.enter_context(treat_sigterm_as_interrupt())
        stack.enter_context(running)
        # Called before the fleet is stopped, so that a second Ctrl-C does not
        # leave processes behind.
        stack.callback(ignore_interrupts)
        print_progress(
            f'{len(running.instances)} nodes with targets, {len(zones)} zones'
        )
        uvloop.run(prepare_fleet(running, declared))
        replay_trace(running, name, declared, folder)


@contextlib.contextmanager
def treat_sigterm_as_interrupt():
    """Make SIGTERM act as Ctrl-C; restore both handlers at the end."""
    previous_handlers = {
        signal_number: signal.getsignal(signal_number)
        for signal_number in (signal.SIGTERM, signal.SIGINT)
    }
    # A shell starts background processes with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    # While an event loop runs, its SIGINT handler cancels the main task.
    signal.signal(
        signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT)
    )
    try:
        yield
    finally:
        for signal_number, handler in previous_handlers.items():
            signal.signal(signal_number, handler)


def ignore_interrupts() -> None:
    """Ignore Ctrl-C and SIGTERM while the processes are stopped."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, signal.SIG_IGN)


async def prepare_fleet(
    running: fleet.Fleet, declared: ticketing.Declarations
) -> None:
    """Apply the declarations and wait until all slots have owners."""
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
        print_progress(
            f'ticket {applied.number} confirmed by {followed.confirmed} '
            f'nodes after {followed.taken_s:.2f} s'
        )
        await wait_until(running, view, has_owners, 'all slots have owners')
        await asyncio.sleep(OWNER_SETTLE_S)
        print_progress(f'ready after {time.monotonic() - started:.1f} s')


async def wait_until(running, view, condition, goal) -> None:
    """Poll the log until a condition holds.

    Raises TicketNotConfirmed after READY_LIMIT_S, or once a process ends.
    """
    deadline = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(errors.LogUnavailable):
            if condition(running, await view.catch_up()):
                print_progress(goal)
                return
        exited = [
            key
            for key, process in running.processes.items()
            if process.poll() is not None
        ]
        if exited:
            raise errors.TicketNotConfirmed(
                f'{exited[0]} has ended by itself; look at its output'
            )
        await asyncio.sleep(POLL_S)
    raise errors.TicketNotConfirmed(
        f'not reached within {READY_LIMIT_S:g} s: {goal}; run it again on '
        f'an idle machine'
    )


def has_members(running, current) -> bool:
    """Return whether every node has joined."""
    names = {member.name for member in current.members.values()}
    return names >= {instance.name for instance in running.instances}


def has_owners(_running, current) -> bool:
    """Return whether every slot of every service has a settled owner."""
    return bool(current.services) and all(
        name in current.tables
        and all(
            slot_order is not None and slot_order.previous is None
            for slot_order in current.tables[name].orders
        )
        for name in current.services
    )


def replay_trace(running, name, declared, folder) -> None:
    """Replay the short trace.

    Raises OutcomeMissed if a stated outcome does not hold or was not measured.
    """
    host = fleet.HOST
    traces = FOLDER / 'traces'
    replay.replay(
        str(traces / f'{name}.jsonl.gz'),
        nodes=','.join(
            f'{host}:{instance.caller_port}' for instance in running.instances
        ),
        caller_keys={
            entry.name: f'demo-key-{entry.name}'
            for entry in declared.organisations
        },
        declarations=str(folder),
        bounds=str(traces / f'{name}.bounds.yaml'),
        histories=','.join(
            f'{instance.service}=http://{host}:{instance.target_port}'
            for instance in running.instances
        ),
    )


def print_progress(text: str) -> None:
    """Write a line of progress to standard error."""
    print(f'demo: {text}', file=sys.stderr, flush=True)


def main() -> None:
    """Run the demonstration from the command line."""
    os.environ['UV_USE_IO_URING'] = '0'
    invocation.run_command(run)


if __name__ == '__main__':
    main()
