"""Takes a node out of the fleet without cutting a request."""

import asyncio
import collections.abc
import dataclasses
import typing

from sesamejunction.decisions import witnessplanning
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import records
from sesamejunction.model import sharing

LEAVING_LIMIT_S = 1.0
HELD_POLL_INTERVAL_S = 0.05
# Time for a witness to be replaced once the log shows its end.
REPLACE_LIMIT_S = 3.0


class Task(typing.Protocol):
    """A task that takes messages."""

    async def ask(self, message):
        """Return the reply to a message."""

    def tell(self, message) -> None:
        """Queue a message without reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """What leaving needs; the clock counts seconds."""

    incarnation: int
    appender: Task
    owners: Task | None
    shares: Task | None
    clock: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], collections.abc.Awaitable]


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """How leaving went: whether the log took it, and slots still held."""

    recorded: bool
    held: int


async def leave_fleet(ports: Ports, limit_s: float) -> Left:
    """Announce leaving, release all slots and return the tokens.

    Waits until no slot is held, at most ``limit_s`` seconds. The log is
    given one second, since releases work without it.
    """
    ends = ports.clock() + limit_s
    recorded = await _record_leaving(ports)
    if ports.owners is not None:
        ports.owners.tell(owning.StopOwning())
    if ports.shares is not None:
        ports.shares.tell(sharing.ReturnAllTokens())
    held = await _count_held(ports)
    while held and ports.clock() < ends:
        await ports.sleep(HELD_POLL_INTERVAL_S)
        held = await _count_held(ports)
    return Left(recorded, held)


async def serve_as_witness_until_replaced(
    ports: Ports, journal: Task, must_stop
) -> None:
    """Go on as a witness until others have been named.

    An incarnation that has ended promises and declares as before, so that
    its end takes no other node's lease with it. Returns when the log shows
    the end and no set names the incarnation, REPLACE_LIMIT_S after the log
    has shown the end, or when ``must_stop()`` is true. Without the log it
    waits, since a new incarnation could not join either.
    """
    own = ports.incarnation
    ports.appender.tell(journaling.Propose(records.MembersEnded((own,))))
    shown_at = None
    while not must_stop():
        current = await journal.ask(journaling.GetState())
        if own not in current.members:
            now = ports.clock()
            shown_at = now if shown_at is None else shown_at
            if own not in witnessplanning.list_named_witnesses(current):
                return
            if now >= shown_at + REPLACE_LIMIT_S:
                return
        await ports.sleep(HELD_POLL_INTERVAL_S)


async def _record_leaving(ports) -> bool:
    record = records.MemberLeaving(ports.incarnation)
    try:
        async with asyncio.timeout(LEAVING_LIMIT_S):
            await ports.appender.ask(journaling.Append(record))
    except (errors.SesameError, TimeoutError):
        return False
    return True


async def _count_held(ports) -> int:
    if ports.owners is None:
        return 0
    try:
        return await ports.owners.ask(owning.CountHeldSlots())
    except errors.InboxFull:
        # Counted again on the next check.
        return 1
