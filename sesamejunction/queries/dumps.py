"""Collects state dumps of a node's tasks."""

import asyncio
import collections
import typing

from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.model import state

REPLY_TIMEOUT_S = 1.0
KEY_PREFIX_DIGITS = 12


class Task(typing.Protocol):
    """A task that answers GetDump."""

    name: str

    async def ask(self, message):
        """Return the reply to a message."""


async def dump_tasks(tasks) -> tuple[operating.TaskDump, ...]:
    """Return the dump of each task; without a reply, it has an error."""
    return tuple(
        await asyncio.gather(
            *(_dump_task(polled_task) for polled_task in tasks)
        )
    )


async def dump_node(
    status: operating.NodeStatus,
    settings: tuple[operating.Setting, ...],
    tasks,
) -> operating.NodeDump:
    """Return the dump of the node with all its tasks."""
    return operating.NodeDump(status, settings, await dump_tasks(tasks))


def summarise_state(
    current: state.State, log_age_s: float
) -> operating.JournalDump:
    """Return a summary of the folded state that fits into a log line.

    Of caller keys, only the first digits of the digests are included.
    """
    out = state.Standing.OUT
    return operating.JournalDump(
        offset=current.offset,
        checkpoint_offset=current.checkpoint_offset,
        last_ticket=current.last_ticket,
        log_age_s=None if log_age_s == float('inf') else round(log_age_s, 3),
        members=tuple(current.members.values()),
        witness_sets=tuple(current.witness_sets.items()),
        slots=tuple(_count_slots(current)),
        organisations=tuple(current.organisations.values()),
        services=tuple(current.services.values()),
        zones_out=_list_out(current.zones, out),
        targets_out=_list_out(current.targets, out),
        key_prefixes=tuple(
            sorted(
                digest[:KEY_PREFIX_DIGITS] for digest in current.caller_keys
            )
        ),
        fleet=current.fleet,
    )


async def _dump_task(task) -> operating.TaskDump:
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await task.ask(operating.GetDump())
    except (errors.SesameError, TimeoutError) as error:
        reason = str(error) or f'no reply within {REPLY_TIMEOUT_S} s'
        return operating.TaskDump(
            task.name, 0, getattr(task, 'dropped', 0), error=reason
        )


def _count_slots(current):
    for service, table in sorted(current.tables.items()):
        settled = collections.Counter()
        moving = collections.Counter()
        for slot_order in table.orders:
            owner = _find_owner(current, slot_order)
            is_settled = slot_order is None or slot_order.previous is None
            (settled if is_settled else moving)[owner] += 1
        for owner in sorted(settled | moving):
            yield operating.SlotCount(
                service, owner, settled[owner], moving[owner]
            )


def _find_owner(current, order) -> int:
    members = order.order if order else ()
    return next(
        (
            incarnation
            for incarnation in members
            if incarnation in current.members
        ),
        0,
    )


def _list_out(standings, out):
    return tuple(
        name for name, standing in sorted(standings.items()) if standing is out
    )
