"""Compares declarations with the state and builds tickets from them.

A ticket is one numbered change that an operator applies.
"""

import dataclasses
import hashlib
import json

from sesamejunction import errors
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import ticketing


def digest_content(content) -> str:
    """Return the SHA-256 of a dataclass, in hexadecimal.

    It does not depend on the state, so the same declarations with the same
    ticket number are recognised on a second run.
    """
    text = json.dumps(
        dataclasses.asdict(content),
        sort_keys=True,
        default=lambda enum_member: enum_member.value,
    )
    return hashlib.sha256(text.encode()).hexdigest()


def digest_declared(declared: ticketing.Declarations) -> str:
    """Return the digest of declarations, independent of their order."""
    ordered = dataclasses.replace(
        declared,
        organisations=_sort_by(declared.organisations, 'name'),
        caller_keys=_sort_by(declared.caller_keys, 'digest'),
        services=_sort_by(declared.services, 'name'),
        zones=tuple(sorted(declared.zones, key=lambda entry: entry[0])),
        targets=tuple(sorted(declared.targets, key=lambda entry: entry[0])),
        key_names=(),
    )
    return digest_content(ordered)


def build_ticket(
    declared: ticketing.Declarations,
    current: state.State,
    number: int,
    author: str,
) -> records.TicketApplied:
    """Return the ticket that makes the state equal to the declarations.

    It contains the complete new value of each object that differs. A zone or
    target that is not declared keeps its standing. Raises TicketRefused for
    a change that the fold would ignore, and for one that would return a zone
    or target to service.
    """
    _check_services(declared, current)
    _check_standing('zone', declared.zones, current.zones)
    _check_standing('target', declared.targets, current.targets)
    same_fleet = declared.fleet == current.fleet
    return records.TicketApplied(
        number,
        digest_declared(declared),
        author,
        organisations=_find_changed(
            declared.organisations, current.organisations
        ),
        caller_keys=_find_changed(
            declared.caller_keys, current.caller_keys, 'digest'
        ),
        services=_find_changed(declared.services, current.services),
        zones=_find_standings(declared.zones, current.zones),
        targets=_find_standings(declared.targets, current.targets),
        removals=_find_removals(declared, current),
        fleet=None if same_fleet else declared.fleet,
    )


def _find_removals(declared, current) -> tuple[records.Removal, ...]:
    return (
        *_find_removed(
            'organisation', declared.organisations, current.organisations
        ),
        *_find_removed(
            'caller_key', declared.caller_keys, current.caller_keys, 'digest'
        ),
    )


def list_changes(
    ticket: records.TicketApplied, current: state.State
) -> tuple[ticketing.Change, ...]:
    """Return human-readable descriptions of the ticket's changes."""
    changes = []
    for kind, entries, old in (
        ('organisation', ticket.organisations, current.organisations),
        ('service', ticket.services, current.services),
    ):
        for entry in entries:
            changes.append(
                ticketing.Change(
                    kind, entry.name, describe(old.get(entry.name), entry)
                )
            )
    for entry in ticket.caller_keys:
        old = current.caller_keys.get(entry.digest)
        changes.append(
            ticketing.Change(
                'caller key',
                shorten_digest(entry.digest),
                describe(old, entry),
            )
        )
    for kind, entries in (('zone', ticket.zones), ('target', ticket.targets)):
        for name, standing in entries:
            changes.append(ticketing.Change(kind, name, standing.value))
    for entry in ticket.removals:
        kind = entry.kind.replace('_', ' ')
        name = (
            shorten_digest(entry.name) if kind == 'caller key' else entry.name
        )
        changes.append(ticketing.Change(kind, name, 'removed'))
    for name in ticket.forgotten:
        changes.append(ticketing.Change('node', name, 'forgotten'))
    if ticket.fleet is not None:
        changes.append(
            ticketing.Change(
                'fleet', 'fleet', describe(current.fleet, ticket.fleet)
            )
        )
    return tuple(changes)


def describe(old, new) -> str:
    """Return a text with the changed fields of a dataclass."""
    if old is None:
        return 'added'
    parts = [
        f'{field.name} {_format_value(getattr(old, field.name))} -> '
        f'{_format_value(getattr(new, field.name))}'
        for field in dataclasses.fields(new)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    return ', '.join(parts)


def shorten_digest(digest: str) -> str:
    """Return the part of a key's digest that is shown to operators."""
    return digest[:12]


def is_empty(ticket: records.TicketApplied) -> bool:
    """Return whether the ticket changes nothing."""
    kept = dataclasses.replace(ticket, number=0, digest='', author='')
    return kept == records.TicketApplied(0, '', '')


def _format_value(value):
    if isinstance(value, state.Routing | state.Standing):
        return value.value
    if isinstance(value, tuple):
        return f'({len(value)} entries)' if value else '(none)'
    return str(value)


def _sort_by(entries, field):
    return tuple(sorted(entries, key=lambda entry: getattr(entry, field)))


def _find_changed(declared, old, field='name'):
    return tuple(
        entry for entry in declared if old.get(getattr(entry, field)) != entry
    )


def _find_removed(kind, declared, old, field='name'):
    names = {getattr(entry, field) for entry in declared}
    return [
        records.Removal(kind, removed_name)
        for removed_name in sorted(set(old) - names)
    ]


def _find_standings(declared, old):
    return tuple(
        (name, standing)
        for name, standing in declared
        if old.get(name, state.Standing.IN) is not standing
    )


def _check_services(declared, current):
    by_name = {entry.name: entry for entry in declared.services}
    for name, old in current.services.items():
        new = by_name.get(name)
        if new is None:
            raise errors.TicketRefused(
                f'service {name} is in force and cannot be removed; put it '
                f'back into services.yaml'
            )
        if new.slot_count != old.slot_count:
            raise errors.TicketRefused(
                f'service {name} has {old.slot_count} slots and keeps them; '
                f'set slot_count: {old.slot_count} in services.yaml'
            )


def _check_standing(kind, declared, current):
    # An unrelated change from version control must not undo an operator's
    # recent decision to take a zone or target out of service; only the
    # command for its return does that.
    for name, standing in declared:
        old = current.get(name, state.Standing.IN)
        if (old, standing) == (state.Standing.OUT, state.Standing.IN):
            raise errors.TicketRefused(
                f'{kind} {name} is out of service and the declarations say '
                f'in; run {kind}-in {name}, or set it to out in standing.yaml'
            )
