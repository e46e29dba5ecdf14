"""Messages of the lease and slot ownership tasks."""

import dataclasses

from sesamejunction.model import once
from sesamejunction.model import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The node's lease; ``end`` is boot-clock seconds, in the past if lost.

    ``serves_callers`` is False when the node must refuse new callers for
    another reason, which ``reason`` names.
    """

    end: float
    serves_callers: bool = True
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EnterSlot:
    """Asks to run a request in a slot; the reply is Serving or NotServing.

    After Serving the slot is not released before LeaveSlot. ``key_hash`` is
    the hash of the routing key, to be given for every keyed request: one that
    was routed by an older state is refused once the key has another slot.
    """

    service: str
    slot: int
    request_id: str
    key_hash: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveSlot:
    """Says that the request no longer runs in the slot.

    Use give_back: a told message may be dropped, and the slot would never
    be released.
    """

    service: str
    slot: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """The node owns the slot.

    ``lease_end`` is boot-clock seconds; no request may be sent to the
    target later. ``work_end`` is when the target must have given up.
    ``owned_since`` is the wall-clock time from which the idempotency records
    here are complete, for keys made before it.
    """

    token: requests.Token
    lease_end: float
    work_end: float
    owned_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class NotServing:
    """The node does not own the slot; ``owner`` is who it believes does.

    ``ready_in_s`` is set while this node waits for the hold of a former
    owner: the seconds until it serves the slot.
    """

    owner: int | None
    epoch: int
    ready_in_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEnded:
    """Published when evidence shows that an incarnation has ended."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembersSilent:
    """Published: the members that nobody has heard of lately."""

    incarnations: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRelease:
    """A member's promise not to serve the slot at this epoch or before.

    ``known_since`` is the wall-clock time from which ``entries`` and what
    they replace are all that ran, None from a member that never served.
    """

    service: str
    slot: int
    epoch: int
    member: int
    known_since: float | None = None
    entries: tuple[once.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AskReleases:
    """Asks a member to release slots of the named epochs, if it can now."""

    claimant: int
    wanted: tuple[SlotRelease, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Releases:
    """Releases that a member gave.

    The reply to AskReleases; told without a question in a planned stop.
    """

    given: tuple[SlotRelease, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopRenewing:
    """Tells the lease task to let the lease run out."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOwning:
    """Planned stop: release every slot as its requests finish.

    Slots that no other live member may own are kept until the planner has
    named one.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class CountHeldSlots:
    """Asks how many slots are still served here; the reply is an int.

    Releases that no successor has confirmed yet count as held. Some time
    after StopOwning, and without a lease, only running requests count.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class EndIncarnation:
    """Asks to state that this incarnation has ended, after a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot that a node serves, and since when on the boot clock."""

    service: str
    slot: int
    token: requests.Token
    since: float
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersDump:
    """State of the task for operators; ``unconfirmed`` counts releases."""

    held: tuple[HeldSlot, ...]
    pending: int
    unconfirmed: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListHeldSlots:
    """Asks for the slots served here; the reply is a tuple of Held."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetGrant:
    """What the target may run: tokens from ``floor`` on, until ``end``.

    ``end`` is boot-clock seconds of the shared instance.
    """

    incarnation: int
    floor: requests.Token
    end: float
