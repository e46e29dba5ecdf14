"""Log records; each is a compare-and-set, so repeats change nothing."""

import dataclasses

from sesamejunction.model import state


@dataclasses.dataclass(frozen=True, slots=True)
class MemberJoined:
    """A new incarnation, which has bound its host and peer port.

    ``replaces`` is the incarnation that the joiner knows on that address, or
    0, and ends with the join. Another one there means that this record is
    late, and the fold ignores it. ``read_offset`` is the joiner's next
    offset; an older one than fold.JOIN_WINDOW is ignored as well.
    """

    member: state.Member
    replaces: int = 0
    read_offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLeaving:
    """The incarnation takes no new work and will stop."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembersEnded:
    """The incarnations have ended for good.

    Appended only by a node that holds the evidence: two declarations of one
    witness set, or the incarnation's own.
    """

    incarnations: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessEntry:
    """New witnesses of one member; accepted when the version is next."""

    incarnation: int
    version: int
    witnesses: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessesNamed:
    """New witness sets."""

    entries: tuple[WitnessEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessesSettled:
    """The set of this version counts; the previous one is forgotten."""

    incarnation: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotEntry:
    """New order of a slot; accepted when settled at ``base_epoch``."""

    slot: int
    base_epoch: int
    order: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsArranged:
    """New orders for the slots touched.

    ``balance`` marks moves that no join, leave or loss requires; the time
    since the latest such record limits their rate.
    """

    service: str
    entries: tuple[SlotEntry, ...]
    balance: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SettledEntry:
    """A slot and the epoch at which its owner serves."""

    slot: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsSettled:
    """The moves to these epochs are complete."""

    service: str
    entries: tuple[SettledEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HotKeyPlaced:
    """A key gets a slot of its own, moving from its fixed slot's order.

    ``former_epoch`` is the epoch that the hot slot has from an earlier key,
    or 0; it makes a repeat after the key's removal fail.
    """

    service: str
    key_hash: int
    slot: int
    base_epoch: int
    order: tuple[int, ...]
    former_epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HotKeyRemoved:
    """A key returns to its fixed slot, whose order must be the same."""

    service: str
    key_hash: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """An object that a ticket deletes; ``kind`` names its mapping."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketApplied:
    """An operator's change: the whole new state of what it touches.

    ``forgotten`` names nodes that the operator states no longer run.
    """

    number: int
    digest: str
    author: str
    organisations: tuple[state.Organisation, ...] = ()
    caller_keys: tuple[state.CallerKey, ...] = ()
    services: tuple[state.Service, ...] = ()
    zones: tuple[tuple[str, state.Standing], ...] = ()
    targets: tuple[tuple[str, state.Standing], ...] = ()
    removals: tuple[Removal, ...] = ()
    forgotten: tuple[str, ...] = ()
    fleet: state.FleetSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointPart:
    """One part of an encoded state that covers offsets below ``covers``."""

    checkpoint: int
    covers: int
    index: int
    total: int
    data: bytes


Record = (
    MemberJoined
    | MemberLeaving
    | MembersEnded
    | WitnessesNamed
    | WitnessesSettled
    | SlotsArranged
    | SlotsSettled
    | HotKeyPlaced
    | HotKeyRemoved
    | TicketApplied
    | CheckpointPart
)
