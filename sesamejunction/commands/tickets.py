"""Applies numbered tickets and tracks their confirmation by the fleet."""

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
from sesamejunction.model import valueclass
from sesamejunction.queries import status as queries

MAX_APPEND_ATTEMPTS = 3
APPEND_RETRY_S = 0.5
POLL_INTERVAL_S = 0.1


class Log(typing.Protocol):
    """The log service, with decoded records."""

    async def read(self, offset: int) -> ticketing.LogEntries:
        """Return the records from an offset on; raises LogUnavailable."""

    async def append(self, record_id: str, record: records.Record) -> int:
        """Append a record and return its offset; raises LogUnavailable."""

    def decode_state(self, data: bytes) -> state.State:
        """Decode the state of a checkpoint; raises CodecError."""


@valueclass.define
class Ports:
    """Dependencies; ``clock`` returns seconds."""

    log: Log
    nodes: queries.Nodes
    clock: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], collections.abc.Awaitable]


class LogView:
    """The state folded from the log and the tickets accepted so far."""

    def __init__(self, log: Log):
        self._log = log
        self.state = state.State()
        self.accepted = {}
        self._checkpoint_parts = {}
        self._oldest_offset = 0

    async def catch_up(self) -> state.State:
        """Read the log to its end and return the folded state.

        Raises LogUnavailable, and RetentionGap when older records were
        deleted and no checkpoint replaces them.
        """
        offset = self.state.offset
        while True:
            page = await self._log.read(offset)
            self._oldest_offset = page.oldest
            offset = max(offset, page.oldest)
            for entry_offset, batch in itertools.groupby(
                page.entries, key=lambda entry: entry.offset
            ):
                offset = entry_offset + 1
                if self._fold(entry_offset, tuple(batch)):
                    # The checkpoint was written after records that it does
                    # not cover, so these are read again.
                    offset = self.state.offset
                    break
            if offset >= page.next:
                break
        if self.state.offset < offset:
            raise errors.RetentionGap(
                f'records {self.state.offset} to {self._oldest_offset - 1} '
                f'of the log are gone and no checkpoint covers them yet; wait '
                f'for the next checkpoint and run this again'
            )
        return self.state

    def _fold(self, offset, batch) -> bool:
        """Fold the entries of one offset.

        An append may contain several records, which all have its offset.
        Returns True if a checkpoint has replaced the state, so that reading
        must continue at the offset of the new state.
        """
        for entry in batch:
            if isinstance(entry.record, records.CheckpointPart):
                if self._add_checkpoint_part(entry.record):
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

    def _add_checkpoint_part(self, part) -> bool:
        """Store a part; returns whether its checkpoint replaced the state."""
        if part.covers <= self.state.offset:
            return False
        parts = self._checkpoint_parts.setdefault(part.checkpoint, {})
        parts[part.index] = part.data
        if len(parts) < part.total:
            return False
        data = b''.join(parts[index] for index in range(part.total))
        checkpoint_state = self._log.decode_state(data)
        if checkpoint_state.offset <= self.state.offset:
            return False
        self.state = checkpoint_state
        return True


def find_applied_ticket(
    view: LogView, ticket: records.TicketApplied, record_id: str
) -> ticketing.AppliedTicket | None:
    """Return the ticket as applied, None if the log does not have it yet.

    Raises TicketRefused when the number was used for other content or is
    lower than the last one.
    """
    entry = view.accepted.get(ticket.number)
    last_number = view.state.last_ticket
    if entry is not None:
        if entry.record_id == record_id:
            return ticketing.AppliedTicket(ticket.number, entry.offset, False)
        if entry.record.digest != ticket.digest:
            raise errors.TicketRefused(
                f'ticket {ticket.number} was accepted with other content, '
                f'by {entry.record.author}; nothing changed; run diff and '
                f'apply again with a number above {last_number}'
            )
        if ticket.number == last_number:
            return ticketing.AppliedTicket(last_number, entry.offset, True)
    if ticket.number > last_number:
        return None
    if (ticket.number, ticket.digest) == (
        last_number,
        view.state.last_ticket_digest,
    ):
        return ticketing.AppliedTicket(
            last_number, view.state.offset - 1, True
        )
    raise errors.TicketRefused(
        f'ticket {ticket.number} is not newer than ticket {last_number}; '
        f'nothing changed; run diff and apply again with a number above '
        f'{last_number}'
    )


async def apply_ticket(
    ports: Ports, view: LogView, ticket: records.TicketApplied
) -> ticketing.AppliedTicket:
    """Append a ticket and return it once the log shows it as accepted.

    After a lost reply, the log is read to find the outcome. Raises
    TicketRefused, LogUnavailable, and AppendOutcomeUnknown if the outcome
    cannot be found out.
    """
    record_id = uuid.uuid4().hex
    for _ in range(MAX_APPEND_ATTEMPTS):
        await view.catch_up()
        applied = find_applied_ticket(view, ticket, record_id)
        if applied is not None:
            return applied
        try:
            await ports.log.append(record_id, ticket)
        except errors.AppendOutcomeUnknown:
            await ports.sleep(APPEND_RETRY_S)
    try:
        await view.catch_up()
        applied = find_applied_ticket(view, ticket, record_id)
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
    """Apply the declarations to the fleet with one ticket.

    Without a number the next one is used, and no ticket is appended if
    nothing differs. Raises the errors of ``apply_ticket``, and TicketRefused
    also when a concurrent ticket left the declarations only partly in force.
    """
    current = await view.catch_up()
    digest = tickets.digest_declared(declared)
    if number is not None and number <= current.last_ticket:
        repeated = records.TicketApplied(number, digest, author)
        return find_applied_ticket(view, repeated, '')
    ticket = tickets.build_ticket(
        declared, current, number or current.last_ticket + 1, author
    )
    if number is None and tickets.is_empty(ticket):
        return ticketing.AppliedTicket(
            current.last_ticket, current.offset - 1, True
        )
    applied = await apply_ticket(ports, view, ticket)
    remaining = tickets.build_ticket(declared, view.state, 0, author)
    if not tickets.is_empty(remaining):
        raise errors.TicketRefused(
            f'ticket {applied.number} is in force, but another ticket came '
            f'between and the declarations are not; run diff, then apply'
        )
    return applied


async def apply_change(
    ports: Ports, view: LogView, author: str, **content
) -> ticketing.AppliedTicket:
    """Apply a ticket with the next number and the given content.

    ``content`` has the changed fields of TicketApplied. Raises the errors of
    ``apply_ticket``.
    """
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

    Forgetting a running node would let its successors serve the same keys
    at the same time.
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
    """Wait until all live members have applied the record at ``offset``.

    Waits up to ``limit_s`` seconds and queries at most ``concurrency`` members
    at the same time. Members that join or end during the wait are taken into
    account as long as the log can be read.
    """
    started = ports.clock()
    confirmed = set()
    semaphore = asyncio.Semaphore(concurrency)
    while True:
        try:
            await view.catch_up()
        except (errors.LogUnavailable, errors.RetentionGap):
            pass
        members = view.state.members
        waiting = [
            live_member
            for live_member in members.values()
            if live_member.incarnation not in confirmed
        ]
        reasons = await asyncio.gather(
            *(
                _check_member(ports, semaphore, live_member, offset)
                for live_member in waiting
            )
        )
        checked = tuple(zip(waiting, reasons, strict=True))
        confirmed.update(
            live_member.incarnation
            for live_member, problem in checked
            if not problem
        )
        unconfirmed = tuple(
            _describe_unconfirmed(live_member, problem)
            for live_member, problem in checked
            if problem
        )
        taken = ports.clock() - started
        if not unconfirmed or taken >= limit_s:
            count = len(confirmed.intersection(members))
            return ticketing.Confirmations(taken, count, unconfirmed)
        await ports.sleep(POLL_INTERVAL_S)


def _describe_unconfirmed(member, reason) -> ticketing.UnconfirmedMember:
    address = f'{member.host}:{member.operator_port}'
    return ticketing.UnconfirmedMember(member.name, address, reason)


async def _check_member(ports, semaphore, member, offset) -> str:
    """Return why the member has not applied the offset, '' if it has."""
    async with semaphore:
        try:
            status = await ports.nodes.read_status(member)
        except errors.PeerUnavailable as error:
            return str(error)
    if status.incarnation != member.incarnation:
        return 'another process runs at this address and has not joined yet'
    if status.offset <= offset:
        return f'at offset {status.offset}, needs {offset + 1}'
    return ''
