"""Removes a node from the fleet without interrupting requests."""

import asyncio
import collections.abc
import typing

from sesamejunction.decisions import witnessplanning
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import records
from sesamejunction.model import sharing
from sesamejunction.model import valueclass

RECORD_LEAVE_TIMEOUT_S = 1.0
HELD_POLL_INTERVAL_S = 0.05
# Time allowed for replacing a witness once the log records its end.
REPLACEMENT_TIMEOUT_S = 3.0


class Task(typing.Protocol):
    """A task with an inbox."""

    async def ask(self, message):
        """Send a message and return the reply."""

    def tell(self, message) -> None:
        """Queue a message that has no reply."""


@valueclass.define
class Ports:
    """Dependencies; ``clock`` returns seconds."""

    incarnation: int
    appender: Task
    owners: Task | None
    shares: Task | None
    clock: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], collections.abc.Awaitable]


@valueclass.define
class LeaveResult:
    """Whether the log recorded the leave, and the number of held slots."""

    recorded: bool
    held: int


async def leave_fleet(ports: Ports, limit_s: float) -> LeaveResult:
    """Record the leave, release all slots and return the rate tokens.

    Waits up to ``limit_s`` seconds until no slot is held. The append gets at
    most RECORD_LEAVE_TIMEOUT_S, since slots can be released without the log.
    """
    deadline = ports.clock() + limit_s
    recorded = await _record_leaving(ports)
    if ports.owners is not None:
        ports.owners.tell(owning.StopOwning())
    if ports.shares is not None:
        ports.shares.tell(sharing.ReturnAllTokens())
    held = await _count_held_slots(ports)
    while held and ports.clock() < deadline:
        await ports.sleep(HELD_POLL_INTERVAL_S)
        held = await _count_held_slots(ports)
    return LeaveResult(recorded, held)


async def serve_as_witness_until_replaced(
    ports: Ports, journal: Task, must_stop
) -> None:
    """Keep serving as a witness until the node is replaced in all sets.

    The ended incarnation goes on granting lease renewals and declaring other
    members ended; otherwise nodes whose witness it is could lose their
    leases. Returns when the log records the end and no witness set contains
    the incarnation, REPLACEMENT_TIMEOUT_S after the log recorded the end, or
    when ``must_stop()`` is true. While the log is unavailable it waits, since
    a new incarnation could not join either.
    """
    own_incarnation = ports.incarnation
    ports.appender.tell(
        journaling.Propose(records.MembersEnded((own_incarnation,)))
    )
    end_recorded_at = None
    while not must_stop():
        current = await journal.ask(journaling.GetState())
        if own_incarnation not in current.members:
            now = ports.clock()
            end_recorded_at = (
                now if end_recorded_at is None else end_recorded_at
            )
            if own_incarnation not in witnessplanning.list_named_witnesses(
                current
            ):
                return
            if now >= end_recorded_at + REPLACEMENT_TIMEOUT_S:
                return
        await ports.sleep(HELD_POLL_INTERVAL_S)


async def _record_leaving(ports) -> bool:
    record = records.MemberLeaving(ports.incarnation)
    try:
        async with asyncio.timeout(RECORD_LEAVE_TIMEOUT_S):
            await ports.appender.ask(journaling.Append(record))
    except (errors.SesameError, TimeoutError):
        return False
    return True


async def _count_held_slots(ports) -> int:
    if ports.owners is None:
        return 0
    try:
        return await ports.owners.ask(owning.CountHeldSlots())
    except errors.InboxFull:
        # Unknown, so assume that a slot is held; the next poll asks again.
        return 1
