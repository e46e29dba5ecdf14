"""A keyed service under load while its log is slow or has lost records."""

import asyncio
import dataclasses
import signal
import time

import pytest
import pytest_asyncio

from sesamejunction.border import loghttp
from sesamejunction import errors
from sesamejunction.model import state
from test.process import harness
from test.process import judge
from test.process import load
from test.process import relay

pytestmark = [
    pytest.mark.process,
    pytest.mark.asyncio(loop_scope='module'),
]
# Stated target: a key is served again within 1 s of a loss.
TAKEOVER_LIMIT_S = 1.0
RATE = 40.0
BEFORE_S = 4.0
FROZEN_S = 2.5
AFTER_S = 1.0
EXIT_LIMIT_S = 5.0
SERVICE = 'catalogue'
SERVICES = (state.Service(SERVICE, state.Routing.KEY, 64),)
LAYOUT = ((SERVICE, 5),)
STATE_ADOPTED = b'journal: adopted a state'
SNAPSHOT_TAKEN = b'journal: took a snapshot'
# Together more than the newest 4 MB of records that a node keeps for others.
LARGE_RECORDS = 20
LARGE_BYTES = 250_000
# A configuration is in force at all nodes within this (two-year target).
CONFIG_LIMIT_S = 5.0
CUT_OFF_NODE = 'catalogue-4'
HEALTHY = {'delay_s': 0, 'reply_delay_s': 0, 'lose_replies': 0}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A fault of the log during which a node is lost and comes back.

    With ``drops`` the log drops all records first; ``way`` is the signal by
    which the node is lost.
    """

    name: str
    fault: dict
    drops: bool = False
    way: signal.Signals = signal.SIGKILL

    def __str__(self):
        return self.name


ROWS = [
    # Below the 3 s after which an append counts as lost.
    Row('slow', {'delay_s': 2}),
    Row('late-replies', {'reply_delay_s': 4}),
    Row('lost-replies', {'lose_replies': 10**6}),
    Row('dropped', {}, True),
    Row('dropped-frozen', {}, True, signal.SIGSTOP),
    Row('dropped-slow', {'delay_s': 2}, True),
]


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def running():
    declared = harness.make_declaration(*SERVICES)
    async with harness.start_fleet(
        LAYOUT, declared, cold_slots=12, log_relayed=(CUT_OFF_NODE,)
    ) as made:
        yield made


def make_load(running):
    return load.Load(
        RATE, lambda number: judge.make_keyed_call(running, SERVICE, number)
    )


def count_lines(running, name, line):
    """Return how often a line occurs in a node's log."""
    path = running.fleet.logs / f'node-{name}.log'
    return path.read_bytes().count(line)


async def drop_records(running):
    """Let the log drop all records; wait for a new checkpoint."""
    await running.set_log_fault(drop_before=10**9)
    async with asyncio.timeout(harness.READY_LIMIT_S):
        while True:
            try:
                return await judge.read_state(running)
            except errors.RetentionGap:
                await asyncio.sleep(harness.POLL_S)


async def bring_back_node(running, row, name):
    """Restart or continue a lost node and wait until it has joined."""
    if row.way is signal.SIGKILL:
        await running.wait_stopped(name, EXIT_LIMIT_S)
        running.start_node(name)
    else:
        running.signal_node(name, signal.SIGCONT)
        # Its lease has expired, which it takes a moment to notice.
        await asyncio.sleep(TAKEOVER_LIMIT_S)
    async with asyncio.timeout(harness.READY_LIMIT_S):
        while True:
            status = await running.read_status(name)
            if status and status['joined']:
                return
            await asyncio.sleep(harness.POLL_S)


def list_late_lookups(running, results, name, lost_at):
    """Return lookups at other nodes, sent after the takeover limit."""
    base = f'http://127.0.0.1:{running.instances[name].caller_port}'
    return [
        result
        for result in results
        if judge.is_lookup(result)
        and result.call.base != base
        and result.at > lost_at + TAKEOVER_LIMIT_S
    ]


# Guards against service that depends on a fast log, a node that cannot join
# while replies are late or lost, a node that starts with an empty state after
# the log has dropped records, and two owners or repeated once-only work.
@pytest.mark.parametrize('row', ROWS, ids=str)
async def test_log_faults(running, row):
    current = await judge.wait_until_stable(running)
    choice = judge.choose_losses(current, SERVICE, 1)
    assert not choice.stopped
    name = choice.nodes[0]
    adopted = count_lines(running, name, STATE_ADOPTED)
    began = load.read_clock()
    async with make_load(running) as sent:
        if row.drops:
            await drop_records(running)
        await running.set_log_fault(**row.fault)
        # Long enough for the fault to affect every node.
        await asyncio.sleep(BEFORE_S)
        lost_at = load.read_clock()
        running.signal_node(name, row.way)
        await asyncio.sleep(FROZEN_S)
        returned_at = load.read_clock()
        await bring_back_node(running, row, name)
        joined_at = load.read_clock()
        await asyncio.sleep(AFTER_S)
    await running.set_log_fault(**HEALTHY)
    judge.print_results(str(row), sent.results)
    entries = await judge.check_histories(running, began, sent.results)
    keys = judge.find_keys_last_served_by(entries, name, lost_at)
    taken = judge.find_takeovers(entries, [name], lost_at, keys)
    print(
        f'{row}: {len(taken)} keys served elsewhere, joined again after '
        f'{joined_at - returned_at:.1f} s'
    )
    late = list_late_lookups(running, sent.results, name, lost_at)
    for result in late:
        if not result.answered:
            print(
                result.call.base,
                result.at - lost_at,
                result.latency,
                result.text,
            )
    assert late
    assert {judge.read_code(result) for result in late} == {'answered'}
    assert (count_lines(running, name, STATE_ADOPTED) > adopted) is row.drops
    await judge.wait_until_stable(running)
    async with make_load(running) as sent:
        await asyncio.sleep(AFTER_S)
    judge.print_results('after', sent.results)
    assert {judge.read_code(result) for result in sent.results} == {'answered'}


async def append_large(running):
    """Append records that displace all older ones from the nodes' memory."""
    async with loghttp.LogClient(running.fleet.log_url) as client:
        for _ in range(LARGE_RECORDS):
            await client.append(b'0' * LARGE_BYTES)


# Guards against a node that never catches up after a loss of contact with the
# log when neither the log nor a peer still has the records that it lacks.
async def test_cut_off_node_takes_snapshot(running):
    await judge.wait_until_stable(running)
    taken = count_lines(running, CUT_OFF_NODE, SNAPSHOT_TAKEN)
    began, began_wall = load.read_clock(), time.time()
    async with make_load(running) as sent:
        running.log_relays[CUT_OFF_NODE].switch.set(relay.Mode.DROP)
        await append_large(running)
        written_at = load.read_clock()
        async with asyncio.timeout(CONFIG_LIMIT_S):
            while count_lines(running, CUT_OFF_NODE, SNAPSHOT_TAKEN) == taken:
                await asyncio.sleep(harness.POLL_S)
        print(f'snapshot after {load.read_clock() - written_at:.1f} s')
        await drop_records(running)
        running.log_relays[CUT_OFF_NODE].switch.set(relay.Mode.PASS)
        await asyncio.sleep(AFTER_S)
    judge.print_results('cut off', sent.results)
    judge.print_causes(running, sent.results, began_wall)
    await judge.check_histories(running, began, sent.results)
    assert {judge.read_code(result) for result in sent.results} == {'answered'}
    await judge.wait_until_stable(running)
