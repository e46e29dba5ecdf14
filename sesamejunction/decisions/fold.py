"""Folds log records into the state; inapplicable records are ignored."""

import collections.abc
import dataclasses

from sesamejunction.decisions import slotorders
from sesamejunction.model import records
from sesamejunction.model import state

# A join may be appended at most this many offsets after its writer last read
# the log. Ended incarnations are kept equally long, so a repeated join can
# never bring one back, and the state stays bounded.
JOIN_WINDOW = 10_000

# Incomplete checkpoints that are tracked; a writer that stops part-way leaves
# an incomplete one behind.
MAX_OPEN_CHECKPOINTS = 8

# Maps Removal.kind to the State field that the entry is deleted from.
REMOVABLE = {
    'organisation': 'organisations',
    'caller_key': 'caller_keys',
    'zone': 'zones',
    'target': 'targets',
}


def apply_record(
    current: state.State, offset: int, record: records.Record | None
) -> state.State:
    """Return the state after the only record at this offset."""
    return apply_batch(current, offset, (record,))


def apply_batch(
    current: state.State,
    offset: int,
    batch: collections.abc.Iterable[records.Record | None],
) -> state.State:
    """Return the state after all records of one log offset.

    None in place of a record means that it could not be decoded; it changes
    nothing. Offsets below the state's are ignored, so the state never goes
    back in the log.
    """
    if offset < current.offset:
        return current
    folded = dataclasses.replace(current, offset=offset)
    for record in batch:
        folded = fold_record(folded, record)
    return dataclasses.replace(folded, offset=offset + 1)


def is_needed(current: state.State, record: records.Record) -> bool:
    """Return whether the record would change the current state."""
    return fold_record(current, record) is not current


def fold_record(current, record) -> state.State:
    """Return the state with the record applied, or the same object."""
    match record:
        case records.MemberJoined():
            return _join(current, record)
        case records.MemberLeaving(incarnation=incarnation):
            return _mark_leaving(current, incarnation)
        case records.MembersEnded(incarnations=ended):
            return _end_members(current, ended)
        case records.WitnessesNamed(entries=entries):
            return _name_witnesses(current, entries)
        case records.WitnessesSettled(incarnation=holder, version=version):
            return _settle_witnesses(current, holder, version)
        case records.SlotsArranged(service=service, entries=entries):
            return slotorders.arrange_slots(
                current, service, entries, record.balance
            )
        case records.SlotsSettled(service=service, entries=entries):
            return slotorders.settle_slots(current, service, entries)
        case records.HotKeyPlaced():
            return slotorders.place_hot_key(current, record)
        case records.HotKeyRemoved():
            return slotorders.remove_hot_key(current, record)
        case records.TicketApplied():
            return _apply_ticket(current, record)
        case records.CheckpointPart():
            return _count_part(current, record)
        case _:
            return current


def accepts_ticket(
    current: state.State, record: records.TicketApplied
) -> bool:
    """Return whether the fold would accept the ticket."""
    return record.number > current.last_ticket


def is_new(current: state.State, incarnation: int) -> bool:
    """Return whether the incarnation is no member and not known as ended."""
    return not (incarnation in current.members or incarnation in current.ended)


def is_timely(current: state.State, record: records.MemberJoined) -> bool:
    """Return whether all members ended since the join was written are known.

    Otherwise a late join could bring back an ended incarnation.
    """
    return current.offset - record.read_offset <= JOIN_WINDOW


def knows_former(former: int, record: records.MemberJoined) -> bool:
    """Return whether the joining process knew who had its address.

    Otherwise a late join of an earlier process would end a later process at
    the same address.
    """
    return former == record.replaces


def find_member_at_address(current: state.State, member: state.Member) -> int:
    """Return the incarnation at the member's address, or 0."""
    address = (member.host, member.peer_port)
    for candidate in current.members.values():
        if (candidate.host, candidate.peer_port) == address:
            return candidate.incarnation
    return 0


def _join(current, record):
    member = record.member
    former = find_member_at_address(current, member)
    if not (
        is_new(current, member.incarnation)
        and is_timely(current, record)
        and knows_former(former, record)
    ):
        return current
    current = _end_members(current, (former,))
    if len(current.members) >= current.fleet.max_nodes:
        return current
    members = {**current.members, member.incarnation: member}
    return dataclasses.replace(current, members=members)


def _mark_leaving(current, incarnation):
    member = current.members.get(incarnation)
    if member is None or member.leaving:
        return current
    members = dict(current.members)
    members[incarnation] = dataclasses.replace(member, leaving=True)
    return dataclasses.replace(current, members=members)


def _end_members(current, ended):
    ended_members = [
        ended_id for ended_id in ended if ended_id in current.members
    ]
    if not ended_members:
        return current
    members = dict(current.members)
    sets = dict(current.witness_sets)
    oldest = current.offset - JOIN_WINDOW
    remembered = {
        ended_id: at for ended_id, at in current.ended.items() if at >= oldest
    }
    for ended_id in ended_members:
        members.pop(ended_id, None)
        sets.pop(ended_id, None)
        remembered[ended_id] = current.offset
    return dataclasses.replace(
        current, members=members, witness_sets=sets, ended=remembered
    )


def _count_part(current, part):
    seen = current.checkpoint_parts.get(part.checkpoint, 0)
    if part.covers <= current.checkpoint_offset or part.index != seen:
        return current
    parts = {**current.checkpoint_parts, part.checkpoint: seen + 1}
    if part.index + 1 < part.total:
        while len(parts) > MAX_OPEN_CHECKPOINTS:
            del parts[next(iter(parts))]
        return dataclasses.replace(current, checkpoint_parts=parts)
    del parts[part.checkpoint]
    return dataclasses.replace(
        current, checkpoint_offset=part.covers, checkpoint_parts=parts
    )


def _name_witnesses(current, entries):
    sets = dict(current.witness_sets)
    for entry in entries:
        old = sets.get(entry.incarnation)
        if entry.incarnation not in current.members:
            continue
        others = set(entry.witnesses) - {entry.incarnation}
        if len(others) != 3 or not others <= current.members.keys():
            continue
        if old is None and entry.version == 1:
            sets[entry.incarnation] = state.WitnessSet(1, entry.witnesses)
        elif old is not None and _may_replace_set(old, entry):
            sets[entry.incarnation] = state.WitnessSet(
                entry.version, entry.witnesses, old.witnesses
            )
    if sets == current.witness_sets:
        return current
    return dataclasses.replace(current, witness_sets=sets)


def _may_replace_set(old, entry):
    return old.previous is None and entry.version == old.version + 1


def _settle_witnesses(current, holder, version):
    old = current.witness_sets.get(holder)
    if old is None or old.version != version or old.previous is None:
        return current
    sets = dict(current.witness_sets)
    sets[holder] = dataclasses.replace(old, previous=None)
    return dataclasses.replace(current, witness_sets=sets)


def _apply_ticket(current, ticket):
    if not accepts_ticket(current, ticket):
        return current
    ended_members = tuple(
        forgotten_member.incarnation
        for forgotten_member in current.members.values()
        if forgotten_member.name in ticket.forgotten
    )
    current = _end_members(current, ended_members)
    changes = {
        'organisations': {
            organisation.name: organisation
            for organisation in ticket.organisations
        },
        'caller_keys': {
            caller_key.digest: caller_key for caller_key in ticket.caller_keys
        },
        'zones': dict(ticket.zones),
        'targets': dict(ticket.targets),
        'services': _keep_slot_counts(current, ticket.services),
    }
    merged = {
        field: {**getattr(current, field), **added}
        for field, added in changes.items()
    }
    for removal in ticket.removals:
        field = REMOVABLE.get(removal.kind)
        if field is not None:
            merged[field].pop(removal.name, None)
    return dataclasses.replace(
        current,
        last_ticket=ticket.number,
        last_ticket_digest=ticket.digest,
        fleet=ticket.fleet or current.fleet,
        **merged,
    )


def _keep_slot_counts(current, services):
    # A different slot count would move every key at once without a handover,
    # so a service keeps the count of its first declaration.
    kept = {}
    for declared_service in services:
        old = current.services.get(declared_service.name)
        count = old.slot_count if old else declared_service.slot_count
        kept[declared_service.name] = dataclasses.replace(
            declared_service, slot_count=count
        )
    return kept
