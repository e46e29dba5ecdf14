"""What operators declare, and the tickets that carry it."""

import dataclasses

from sesamejunction.model import records
from sesamejunction.model import state


@dataclasses.dataclass(frozen=True, slots=True)
class KeyName:
    """The name by which the declarations call a caller key."""

    name: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """A whole directory of declarations."""

    organisations: tuple[state.Organisation, ...] = ()
    caller_keys: tuple[state.CallerKey, ...] = ()
    services: tuple[state.Service, ...] = ()
    zones: tuple[tuple[str, state.Standing], ...] = ()
    targets: tuple[tuple[str, state.Standing], ...] = ()
    fleet: state.FleetSettings = dataclasses.field(
        default_factory=state.FleetSettings
    )
    key_names: tuple[KeyName, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One object that a ticket would change; ``what`` is for people."""

    kind: str
    name: str
    what: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A decoded record, None when it could not be decoded."""

    offset: int
    record_id: str
    record: records.Record | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntries:
    """Records read, the oldest offset kept and the next to be written."""

    oldest: int
    next: int
    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedTicket:
    """A ticket in force; ``already_applied`` when an earlier run applied it.

    A node has it in force when its offset is above ``offset``.
    """

    number: int
    offset: int
    already_applied: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedMember:
    """A live member that has not confirmed a ticket."""

    name: str
    address: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmations:
    """How far a ticket came; ``taken_s`` is seconds since the start."""

    taken_s: float
    confirmed: int
    unconfirmed: tuple[UnconfirmedMember, ...]
