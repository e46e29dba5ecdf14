"""Operators' declarations, and the tickets that apply them."""

import dataclasses

from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass


@valueclass.define
class KeyName:
    """The name of a caller key in the declarations."""

    name: str
    digest: str


@valueclass.define
class Declarations:
    """The contents of a declarations directory."""

    organisations: tuple[state.Organisation, ...] = ()
    caller_keys: tuple[state.CallerKey, ...] = ()
    services: tuple[state.Service, ...] = ()
    zones: tuple[tuple[str, state.Standing], ...] = ()
    targets: tuple[tuple[str, state.Standing], ...] = ()
    fleet: state.FleetSettings = dataclasses.field(
        default_factory=state.FleetSettings
    )
    key_names: tuple[KeyName, ...] = ()


@valueclass.define
class Change:
    """An object that a ticket would change; ``what`` describes the change."""

    kind: str
    name: str
    what: str


@valueclass.define
class LogEntry:
    """A log record; ``record`` is None if it could not be decoded."""

    offset: int
    record_id: str
    record: records.Record | None


@valueclass.define
class LogEntries:
    """Records read, with the oldest offset kept and the next one to write."""

    oldest: int
    next: int
    entries: tuple[LogEntry, ...]


@valueclass.define
class AppliedTicket:
    """A ticket in force.

    ``already_applied`` is set if an earlier command applied it. A node has
    applied it once its own offset exceeds ``offset``.
    """

    number: int
    offset: int
    already_applied: bool


@valueclass.define
class UnconfirmedMember:
    """A live member that has not applied a ticket yet."""

    name: str
    address: str
    reason: str


@valueclass.define
class Confirmations:
    """How many members applied a ticket within ``taken_s`` seconds."""

    taken_s: float
    confirmed: int
    unconfirmed: tuple[UnconfirmedMember, ...]
