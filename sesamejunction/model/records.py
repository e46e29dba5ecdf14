"""Log records; each is a compare-and-set, so repeats have no effect."""

from sesamejunction.model import state
from sesamejunction.model import valueclass


@valueclass.define
class MemberJoined:
    """A new incarnation, which has bound its host and peer port.

    ``replaces`` is the incarnation that the joiner knows at that address, or
    0; it ends with the join. If the state has another incarnation at that
    address, this record is stale and the fold ignores it. ``read_offset`` is
    the joiner's next offset; the fold also ignores a record whose
    ``read_offset`` is more than fold.JOIN_WINDOW behind.
    """

    member: state.Member
    replaces: int = 0
    read_offset: int = 0


@valueclass.define
class MemberLeaving:
    """The incarnation accepts no new work and will stop."""

    incarnation: int


@valueclass.define
class MembersEnded:
    """The incarnations have ended and cannot return.

    Appended only by a node that holds the proof: two declarations from one
    witness set, or the incarnation's own declaration.
    """

    incarnations: tuple[int, ...]


@valueclass.define
class WitnessEntry:
    """New witnesses of one member; accepted if the version is the next."""

    incarnation: int
    version: int
    witnesses: tuple[int, ...]


@valueclass.define
class WitnessesNamed:
    """New witness sets of one or more members."""

    entries: tuple[WitnessEntry, ...]


@valueclass.define
class WitnessesSettled:
    """The witness set of this version is settled and replaces the previous."""

    incarnation: int
    version: int


@valueclass.define
class SlotEntry:
    """New order of a slot, accepted if settled at ``base_epoch``."""

    slot: int
    base_epoch: int
    order: tuple[int, ...]


@valueclass.define
class SlotsArranged:
    """New orders for the listed slots.

    ``balance`` marks moves for load balancing, which no join, leave or loss
    requires. They are rate-limited by the time since the last such record.
    """

    service: str
    entries: tuple[SlotEntry, ...]
    balance: bool = False


@valueclass.define
class SettledEntry:
    """A slot and the epoch at which its owner serves it."""

    slot: int
    epoch: int


@valueclass.define
class SlotsSettled:
    """The moves of the slots to these epochs are complete."""

    service: str
    entries: tuple[SettledEntry, ...]


@valueclass.define
class HotKeyPlaced:
    """A hot key moves from its fixed slot to a slot of its own.

    ``former_epoch`` is the epoch that the hot slot has from an earlier key,
    or 0. It makes a repeat of this record fail after the key's removal.
    """

    service: str
    key_hash: int
    slot: int
    base_epoch: int
    order: tuple[int, ...]
    former_epoch: int = 0


@valueclass.define
class HotKeyRemoved:
    """A hot key returns to its fixed slot, which must have the same order."""

    service: str
    key_hash: int
    epoch: int


@valueclass.define
class Removal:
    """An object that a ticket deletes; ``kind`` is its field in State."""

    kind: str
    name: str


@valueclass.define
class TicketApplied:
    """An operator's change, with the complete new state of each object.

    ``forgotten`` lists nodes that, according to the operator, no longer run.
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


@valueclass.define
class CheckpointPart:
    """One part of a checkpoint, which covers the offsets below ``covers``."""

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
