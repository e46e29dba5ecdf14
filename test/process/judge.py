"""Checks of process tests on call results and targets' histories."""

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

# Coprime to the number of call kinds, so each kind is sent for each key.
KEY_COUNT = 23


def make_keyed_call(running, service, number, kind=None) -> load.Call:
    """Return a lookup, a lookup with a unique key, or a once-only call.

    Unique keys and idempotency keys identify calls in the histories.
    """
    match number % 4 if kind is None else kind:
        case 0:
            return running.make_call(
                number, service, once=True, keys=KEY_COUNT
            )
        case 1:
            return running.make_call(number, service, keys=10**9)
        case _:
            return running.make_call(number, service, keys=KEY_COUNT)


def read_header(call, name) -> str | None:
    """Return a header of a call."""
    return dict(call.headers).get(name)


def is_lookup(result) -> bool:
    """Return whether a result belongs to a repeatable call."""
    return result.call.method == 'GET'


def read_code(result) -> str:
    """Return the code of a refusal, the client's error or the status."""
    if result.status in (None, 200):
        return result.error or 'answered'
    try:
        return json.loads(result.text)['code']
    except (ValueError, KeyError):
        return str(result.status)


def print_results(label, results) -> None:
    """Print the number of results by method and code."""
    found = {}
    for result in results:
        key = f'{result.call.method} {read_code(result)}'
        found[key] = found.get(key, 0) + 1
    print(label, dict(sorted(found.items())))


def print_causes(running, results, since) -> None:
    """Print failed calls and the nodes' log lines on slots and leases.

    Lines from before ``since``, a wall-clock time in seconds, are left out.
    """
    for result in results:
        if not result.answered:
            late = f'{result.latency:.3f} s'
            print(
                result.at,
                result.call.base,
                read_code(result),
                late,
                result.text,
            )
    print_node_logs(running.fleet, running.instances, since)


def print_node_logs(fleet, names, since) -> None:
    """Print nodes' log lines on slots, leases and plans since a time."""
    for name in names:
        for line in harness.read_log(fleet, name):
            if line['timestamp'] >= since and line.get(
                'message_type', ''
            ).startswith(('owner: ', 'lease: ', 'node: ', 'plan: ')):
                print(name, line)


def find_false_refusals(results, entries) -> list[load.Result]:
    """Return results with "not run" although a target started the work."""
    ran = {one.idempotency_key for one in entries}
    ran |= {one.route_key for one in entries}
    # Routing keys of several calls or of readiness probes identify no call.
    uses = collections.Counter(
        read_header(one.call, 'SJ-Key') for one in results
    )
    ran -= {key for key, count in uses.items() if count > 1}
    ran -= {f'lot-{number}' for number in range(KEY_COUNT)} | {None}
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
    """Return the time until each key was served by a target not lost.

    In seconds from the loss; infinity for keys that were not served again.
    """
    first = dict.fromkeys(keys, math.inf)
    for entry in sorted(entries, key=lambda entry: entry.start, reverse=True):
        if entry.start >= lost_at and entry.target not in targets:
            if entry.route_key in first:
                first[entry.route_key] = entry.start - lost_at
    return first


def find_keys_last_served_by(entries, target, until) -> set[str]:
    """Return the shared keys whose last run before a time was at a target."""
    last = {}
    for entry in sorted(entries, key=lambda entry: entry.start):
        if entry.start < until:
            last[entry.route_key] = entry.target
    common = {f'lot-{number}' for number in range(KEY_COUNT)}
    return {key for key in common if last.get(key) == target}


async def check_histories(running, since, results) -> list[history.Entry]:
    """Check the histories for violations and return their entries."""
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


def has_stable_owners(current, count) -> bool:
    """Return whether ``count`` nodes own all slots and nothing moves."""
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


async def wait_until_stable(running) -> state.State:
    """Wait until all nodes serve requests and no slot moves."""
    await running.wait_ready()
    async with asyncio.timeout(harness.READY_LIMIT_S):
        while not has_stable_owners(
            current := await read_state(running), len(running.instances)
        ):
            await asyncio.sleep(harness.POLL_S)
    # New owners answer "outcome unknown" for idempotency keys from this time.
    await asyncio.sleep(timing.MAX_CALLER_CLOCK_ERROR_S + harness.POLL_S)
    return current


@dataclasses.dataclass(frozen=True, slots=True)
class LossChoice:
    """Nodes to lose together: an owner and, if more than one, successors.

    ``keys`` have their owner among these and a successor that remains.
    ``stopped`` are other nodes that lose two witnesses and so stop as well.
    """

    nodes: tuple[str, ...]
    keys: frozenset[str]
    stopped: tuple[str, ...]


def choose_losses(current, service, count) -> LossChoice:
    """Return the nodes whose loss stops the fewest other nodes.

    Of several such choices, the one with the most keys.
    """
    declared, table = current.services[service], current.tables[service]
    orders = {}
    for number in range(KEY_COUNT):
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
                LossChoice(
                    tuple(names[one] for one in order[:count]),
                    keys,
                    tuple(names[one] for one in stopped),
                )
            )
    return min(found, key=lambda one: (len(one.stopped), -len(one.keys)))
