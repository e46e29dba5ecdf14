"""Applies numbered tickets and follows them through the fleet."""

import asyncio
import collections.abc
import dataclasses
import itertools
import typing
import uuid

from sesamejunction.decisions import fold
from sesamejunction.decisions import tickets
from sesamejunction import errors
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import ticketing
from sesamejunction.queries import status as queries

APPEND_ATTEMPTS = 3
RETRY_S = 0.5
POLL_S = 0.1


class Log(typing.Protocol):
    """The log service with decoded records."""

    async def read(self, offset: int) -> ticketing.LogEntries:
        """Return records from an offset; raises LogUnavailable."""

    async def append(self, record_id: str, record: records.Record) -> int:
        """Append and return the offset; raises LogUnavailable."""

    def decode_state(self, data: bytes) -> state.State:
        """Return the state of a checkpoint; raises CodecError."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """What the use cases need; the clock counts seconds."""

    log: Log
    nodes: queries.Nodes
    clock: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], collections.abc.Awaitable]


class LogView:
    """The state folded from the log, and which tickets it accepted."""

    def __init__(self, log: Log):
        self._log = log
        self.state = state.State()
        self.accepted = {}
        self._parts = {}
        self._oldest = 0

    async def catch_up(self) -> state.State:
        """Fold the log up to its end and return the state.

        Raises LogUnavailable, and RetentionGap when older records are gone
        and no checkpoint replaces them.
        """
        offset = self.state.offset
        while True:
            page = await self._log.read(offset)
            self._oldest = page.oldest
            offset = max(offset, page.oldest)
            for at, batch in itertools.groupby(
                page.entries, key=lambda entry: entry.offset
            ):
                offset = at + 1
                if self._fold(at, tuple(batch)):
                    # A checkpoint stands behind records that it does not
                    # cover, so they are read again.
                    offset = self.state.offset
                    break
            if offset >= page.next:
                break
        if self.state.offset < offset:
            raise errors.RetentionGap(
                f'records {self.state.offset} to {self._oldest - 1} of the '
                f'log are gone and no checkpoint covers them yet; wait for '
                f'the next checkpoint and run this again'
            )
        return self.state

    def _fold(self, offset, batch) -> bool:
        """Fold the entries of one offset; return whether a state replaced it.

        An append carries several records, all at its offset.
        """
        for entry in batch:
            if isinstance(entry.record, records.CheckpointPart):
                if self._collect(entry.record):
                    return True
        if offset != self.state.offset:
            return False
        current = self.state
        for entry in batch:
            match entry.record:
                case records.TicketApplied(number=number):
                    if fold.accepts_ticket(current, entry.record):
                        self.accepted[number] = entry
            current = fold.fold_record(current, entry.record)
        self.state = fold.apply_batch(
            self.state, offset, [entry.record for entry in batch]
        )
        return False

    def _collect(self, part) -> bool:
        if part.covers <= self.state.offset:
            return False
        parts = self._parts.setdefault(part.checkpoint, {})
        parts[part.index] = part.data
        if len(parts) < part.total:
            return False
        data = b''.join(parts[index] for index in range(part.total))
        adopted = self._log.decode_state(data)
        if adopted.offset <= self.state.offset:
            return False
        self.state = adopted
        return True


def judge_ticket(
    view: LogView, ticket: records.TicketApplied, record_id: str
) -> ticketing.AppliedTicket | None:
    """Return the ticket's place in force, None when it was not read yet.

    Raises TicketRefused when the number belongs to other content or is
    older than the last one.
    """
    entry = view.accepted.get(ticket.number)
    last = view.state.last_ticket
    if entry is not None:
        if entry.record_id == record_id:
            return ticketing.AppliedTicket(ticket.number, entry.offset, False)
        if entry.record.digest != ticket.digest:
            raise errors.TicketRefused(
                f'ticket {ticket.number} was accepted with other content, '
                f'by {entry.record.author}; nothing changed; run diff and '
                f'apply again with a number above {last}'
            )
        if ticket.number == last:
            return ticketing.AppliedTicket(last, entry.offset, True)
    if ticket.number > last:
        return None
    if (ticket.number, ticket.digest) == (
        last,
        view.state.last_ticket_digest,
    ):
        return ticketing.AppliedTicket(last, view.state.offset - 1, True)
    raise errors.TicketRefused(
        f'ticket {ticket.number} is not newer than ticket {last}; nothing '
        f'changed; run diff and apply again with a number above {last}'
    )


async def apply_ticket(
    ports: Ports, view: LogView, ticket: records.TicketApplied
) -> ticketing.AppliedTicket:
    """Append a ticket and return it once the fold has accepted it.

    A lost reply is cleared up by reading the log. Raises TicketRefused,
    LogUnavailable, and AppendUnknown when the log gave no answer in the end.
    """
    record_id = uuid.uuid4().hex
    for _ in range(APPEND_ATTEMPTS):
        await view.catch_up()
        applied = judge_ticket(view, ticket, record_id)
        if applied is not None:
            return applied
        try:
            await ports.log.append(record_id, ticket)
        except errors.AppendOutcomeUnknown:
            await ports.sleep(RETRY_S)
    try:
        await view.catch_up()
        applied = judge_ticket(view, ticket, record_id)
    except errors.LogUnavailable:
        applied = None
    if applied is None:
        raise errors.AppendOutcomeUnknown(
            f'the log did not say whether it took ticket {ticket.number}; '
            f'run the same command with --number {ticket.number} again, '
            f'which cannot apply it twice'
        )
    return applied


async def apply_declarations(
    ports: Ports,
    view: LogView,
    declared: ticketing.Declarations,
    number: int | None,
    author: str,
) -> ticketing.AppliedTicket:
    """Bring the fleet to the declarations with one ticket.

    Without a number the next one is taken; when nothing differs, no ticket
    is appended. Raises TicketRefused as well when another ticket came
    between, so that the declarations are not wholly in force.
    """
    current = await view.catch_up()
    digest = tickets.digest_declared(declared)
    if number is not None and number <= current.last_ticket:
        known = records.TicketApplied(number, digest, author)
        return judge_ticket(view, known, '')
    ticket = tickets.build_ticket(
        declared, current, number or current.last_ticket + 1, author
    )
    if number is None and tickets.is_empty(ticket):
        return ticketing.AppliedTicket(
            current.last_ticket, current.offset - 1, True
        )
    applied = await apply_ticket(ports, view, ticket)
    left = tickets.build_ticket(declared, view.state, 0, author)
    if not tickets.is_empty(left):
        raise errors.TicketRefused(
            f'ticket {applied.number} is in force, but another ticket came '
            f'between and the declarations are not; run diff, then apply'
        )
    return applied


async def apply_change(
    ports: Ports, view: LogView, author: str, **content
) -> ticketing.AppliedTicket:
    """Apply a ticket with the next number that carries this content."""
    ticket = records.TicketApplied(
        view.state.last_ticket + 1, '', author, **content
    )
    changed = dataclasses.replace(ticket, number=0, author='')
    ticket = dataclasses.replace(
        ticket, digest=tickets.digest_content(changed)
    )
    return await apply_ticket(ports, view, ticket)


async def check_not_running(ports: Ports, member: state.Member) -> None:
    """Raise TicketRefused when the member still answers.

    Forgetting a node that runs would let its successors serve the same
    keys.
    """
    try:
        status = await ports.nodes.read_status(member)
    except errors.PeerUnavailable:
        return
    if status.incarnation == member.incarnation:
        raise errors.TicketRefused(
            f'{member.name} still answers, so nothing changed; run drain '
            f'{member.name} instead'
        )


async def wait_for_confirmations(
    ports: Ports,
    view: LogView,
    offset: int,
    limit_s: float,
    concurrency: int,
) -> ticketing.Confirmations:
    """Wait until each live member has folded the offset, or the limit.

    Members that join or end meanwhile are taken into account as long as
    the log can be read.
    """
    started = ports.clock()
    confirmed = set()
    places = asyncio.Semaphore(concurrency)
    while True:
        try:
            await view.catch_up()
        except (errors.LogUnavailable, errors.RetentionGap):
            pass
        members = view.state.members
        waiting = [
            one for one in members.values() if one.incarnation not in confirmed
        ]
        reasons = await asyncio.gather(
            *(_check_member(ports, places, one, offset) for one in waiting)
        )
        checked = tuple(zip(waiting, reasons, strict=True))
        confirmed.update(one.incarnation for one, why in checked if not why)
        laggards = tuple(
            _describe_laggard(one, why) for one, why in checked if why
        )
        taken = ports.clock() - started
        if not laggards or taken >= limit_s:
            count = len(confirmed.intersection(members))
            return ticketing.Confirmations(taken, count, laggards)
        await ports.sleep(POLL_S)


def _describe_laggard(member, reason) -> ticketing.UnconfirmedMember:
    address = f'{member.host}:{member.operator_port}'
    return ticketing.UnconfirmedMember(member.name, address, reason)


async def _check_member(ports, places, member, offset) -> str:
    async with places:
        try:
            status = await ports.nodes.read_status(member)
        except errors.PeerUnavailable as error:
            return str(error)
    if status.incarnation != member.incarnation:
        return 'another process runs at this address and has not joined yet'
    if status.offset <= offset:
        return f'at offset {status.offset}, needs {offset + 1}'
    return ''
