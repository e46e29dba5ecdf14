"""Judges a row of a process test by results and targets' histories."""

import asyncio
import collections
import dataclasses
import json
import math

from sesamejunction.border import loghttp
from sesamejunction.border import ticketlog
from sesamejunction.commands import tickets
from sesamejunction.decisions import hashing
from sesamejunction.model import state
from sesamejunction.model import timing
from test.process import harness
from test.process import history
from test.process import load

# A prime, so that every kind of call meets every key.
KEYS = 23


def make_keyed_call(running, service, number, kind=None) -> load.Call:
    """Return a lookup, a lookup of a key used once, or a once-only call.

    Keys used once and idempotency keys tell calls apart in the histories.
    """
    match number % 4 if kind is None else kind:
        case 0:
            return running.make_call(number, service, once=True, keys=KEYS)
        case 1:
            return running.make_call(number, service, keys=10**9)
        case _:
            return running.make_call(number, service, keys=KEYS)


def read_header(call, name) -> str | None:
    """Return a header of a call."""
    return dict(call.headers).get(name)


def is_lookup(one) -> bool:
    """Return whether a result is that of a repeatable call."""
    return one.call.method == 'GET'


def read_code(one) -> str:
    """Return the code of a refusal, the client's error or the status."""
    if one.status in (None, 200):
        return one.error or 'answered'
    try:
        return json.loads(one.text)['code']
    except (ValueError, KeyError):
        return str(one.status)


def print_results(label, results) -> None:
    """Print how often each end of a call came, by method."""
    found = {}
    for one in results:
        key = f'{one.call.method} {read_code(one)}'
        found[key] = found.get(key, 0) + 1
    print(label, dict(sorted(found.items())))


def print_causes(running, results, since) -> None:
    """Print failed calls and what nodes logged of slots and leases.

    ``since`` is the wall-clock time of the first line in seconds.
    """
    for one in results:
        if not one.answered:
            late = f'{one.latency:.3f} s'
            print(one.at, one.call.base, read_code(one), late, one.text)
    print_lines(running.fleet, running.spots, since)


def print_lines(fleet, names, since) -> None:
    """Print what nodes logged of slots, leases and plans since a time."""
    for name in names:
        for line in harness.read_log(fleet, name):
            if line['timestamp'] >= since and line.get(
                'message_type', ''
            ).startswith(('owner: ', 'lease: ', 'node: ', 'plan: ')):
                print(name, line)


def find_false_refusals(results, entries) -> list[load.Result]:
    """Return results that say "not run" of work that a target started."""
    ran = {one.idempotency_key for one in entries}
    ran |= {one.route_key for one in entries}
    # A routing key of several calls, or of a readiness probe, tells nothing.
    uses = collections.Counter(
        read_header(one.call, 'SJ-Key') for one in results
    )
    ran -= {key for key, count in uses.items() if count > 1}
    ran -= {f'lot-{number}' for number in range(KEYS)} | {None}
    return [
        one
        for one in results
        if one.not_run
        and {
            read_header(one.call, 'Idempotency-Key'),
            read_header(one.call, 'SJ-Key'),
        }
        & ran
    ]


def find_takeovers(entries, targets, lost_at, keys) -> dict[str, float]:
    """Return for each key when another target than the lost ones served it.

    Seconds from the loss; infinity for keys not served again.
    """
    first = dict.fromkeys(keys, math.inf)
    for one in sorted(entries, key=lambda one: one.start, reverse=True):
        if one.start >= lost_at and one.target not in targets:
            if one.route_key in first:
                first[one.route_key] = one.start - lost_at
    return first


def find_keys_of(entries, target, until) -> set[str]:
    """Return the common keys whose latest run before a time was there."""
    last = {}
    for one in sorted(entries, key=lambda one: one.start):
        if one.start < until:
            last[one.route_key] = one.target
    common = {f'lot-{number}' for number in range(KEYS)}
    return {key for key in common if last.get(key) == target}


async def check_histories(running, since, results) -> list[history.Entry]:
    """Check what holds in every row and return the entries."""
    entries = await running.read_history()
    entries = [one for one in entries if one.start >= since]
    keyed = {
        one.name
        for one in running.declaration.services
        if one.routing is state.Routing.KEY
    }
    violations = history.find_violations(entries, keyed)
    refusals = find_false_refusals(results, entries)
    for one in (*violations, *refusals):
        print(one)
    assert violations == []
    assert refusals == []
    return entries


async def read_state(running) -> state.State:
    """Return the state folded from the log."""
    async with loghttp.LogClient(running.fleet.log_url) as client:
        view = tickets.LogView(ticketlog.TicketLog(client))
        return await view.catch_up()


def is_settled(current, count) -> bool:
    """Return whether ``count`` live nodes own all slots for good."""
    members = current.members
    if len(members) != count or any(one.leaving for one in members.values()):
        return False
    for name, table in current.tables.items():
        for one in table.orders:
            if one is None or one.previous is not None:
                return False
            if not members.keys() >= set(one.order):
                return False
        eligible = {
            one.incarnation
            for one in members.values()
            if one.service == name or name == state.SHARES_SERVICE
        }
        if eligible != {one.order[0] for one in table.orders}:
            return False
    return all(
        one.previous is None and members.keys() >= set(one.witnesses)
        for one in current.witness_sets.values()
    )


async def wait_settled(running) -> state.State:
    """Wait until all nodes serve and no slot moves."""
    await running.wait_ready()
    async with asyncio.timeout(harness.READY_LIMIT_S):
        while not is_settled(
            current := await read_state(running), len(running.spots)
        ):
            await asyncio.sleep(harness.POLL_S)
    # New owners give "outcome unknown" for idempotency keys of this time.
    await asyncio.sleep(timing.MAX_CALLER_CLOCK_ERROR_S + harness.POLL_S)
    return current


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Nodes to lose together, the first an owner, the next its successor.

    ``keys`` have their owner among the nodes and a successor that stays.
    ``stopped`` are other nodes that lose two witnesses and so stop as well.
    """

    nodes: tuple[str, ...]
    keys: frozenset[str]
    stopped: tuple[str, ...]


def choose_losses(current, service, count) -> Choice:
    """Return the nodes whose loss stops the fewest others.

    Of those, the ones that own the most keys.
    """
    declared, table = current.services[service], current.tables[service]
    orders = {}
    for number in range(KEYS):
        key = f'lot-{number}'
        slot = hashing.find_slot(declared, table, key)
        orders[key] = table.orders[slot].order
    names = {one.incarnation: one.name for one in current.members.values()}
    found = []
    for order in sorted(set(orders.values())):
        lost = set(order[:count])
        stopped = {
            holder
            for holder, one in current.witness_sets.items()
            if len(lost & set(one.witnesses)) > 1 and holder not in lost
        }
        keys = frozenset(
            key
            for key, order in orders.items()
            if order[0] in lost and set(order) - lost - stopped
        )
        if keys:
            found.append(
                Choice(
                    tuple(names[one] for one in order[:count]),
                    keys,
                    tuple(names[one] for one in stopped),
                )
            )
    return min(found, key=lambda one: (len(one.stopped), -len(one.keys)))
