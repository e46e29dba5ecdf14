"""Messages of the lease and slot ownership tasks."""

from sesamejunction.model import once
from sesamejunction.model import requests
from sesamejunction.model import valueclass


@valueclass.define
class Lease:
    """The node's lease.

    ``end`` is in boot-clock seconds; it is in the past if the lease is lost.
    ``serves_callers`` is False if callers must be refused for another
    reason, given in ``reason``.
    """

    end: float
    serves_callers: bool = True
    reason: str = ''


@valueclass.define
class EnterSlot:
    """Asks to run a request in a slot; the reply is Serving or NotServing.

    After Serving the slot is not released until LeaveSlot. ``key_hash`` is
    the hash of the routing key and is required for every keyed request, so
    that one routed by an older state is refused if its key has since moved
    to another slot.
    """

    service: str
    slot: int
    request_id: str
    key_hash: int | None = None


@valueclass.define
class LeaveSlot:
    """Reports that the request no longer runs in the slot.

    Send it with ``tell_reliably``: if it were dropped, the slot would never
    be released.
    """

    service: str
    slot: int
    request_id: str


@valueclass.define
class Serving:
    """The node owns the slot and the request may run.

    ``lease_end`` is in boot-clock seconds; no request may be sent to the
    target later. ``work_end`` is the time by which the target must have
    abandoned it. ``owned_since`` is the wall-clock time from which the
    idempotency records of this node are complete; keys created earlier may
    have run elsewhere. ``former_ended_at`` is a boot-clock time by which all
    former owners had ended, None if that is not known.
    """

    token: requests.Token
    lease_end: float
    work_end: float
    owned_since: float
    former_ended_at: float | None = None


@valueclass.define
class NotServing:
    """The node does not serve the slot.

    ``owner`` is the incarnation of the presumed owner, None if unknown.
    ``epoch`` is the latest epoch of the slot that the node knows, or 0.
    ``ready_in_s`` is set while this node waits for a former owner's hold to
    expire: the seconds until it serves the slot.
    """

    owner: int | None
    epoch: int
    ready_in_s: float | None = None


@valueclass.define
class MemberEnded:
    """Published when an incarnation has been proven to have ended."""

    incarnation: int


@valueclass.define
class MembersSilent:
    """Published set of members that no node has had recent contact with."""

    incarnations: frozenset[int]


@valueclass.define
class SlotRelease:
    """A member's promise not to serve the slot at this epoch or before.

    ``known_since`` is the wall-clock time from which ``entries``, together
    with the records they replace, cover all requests that ran. It is None
    from a member that never served the slot.
    """

    service: str
    slot: int
    epoch: int
    member: int
    known_since: float | None = None
    entries: tuple[once.Entry, ...] = ()


@valueclass.define
class AskReleases:
    """Asks a member to release slots at the given epochs, if it can now."""

    claimant: int
    wanted: tuple[SlotRelease, ...]


@valueclass.define
class Releases:
    """Slot releases of a member.

    The reply to AskReleases; sent unasked in a planned stop.
    """

    given: tuple[SlotRelease, ...]


@valueclass.define
class StopRenewing:
    """Makes the lease task stop renewing, so that the lease expires."""


@valueclass.define
class StopOwning:
    """Starts a planned stop: slots are released as their requests finish.

    Slots that no other live member may own are kept until the planner has
    assigned a new owner.
    """


@valueclass.define
class CountHeldSlots:
    """Requests the number of slots that the node still holds.

    Slots whose release no successor has confirmed count as held. Some time
    after StopOwning, and without a lease, only slots with running requests
    count. The reply is an int.
    """


@valueclass.define
class EndIncarnation:
    """Requests a declaration of the node's own end, after a planned stop."""


@valueclass.define
class HeldSlot:
    """A slot that a node serves; ``since`` is in boot-clock seconds."""

    service: str
    slot: int
    token: requests.Token
    since: float
    running: int


@valueclass.define
class OwnersDump:
    """State of the owners task.

    ``pending`` counts slots that wait for releases, time or requests,
    ``unconfirmed`` the releases that no successor has confirmed.
    """

    held: tuple[HeldSlot, ...]
    pending: int
    unconfirmed: int


@valueclass.define
class ListHeldSlots:
    """Requests the slots that the node serves.

    The reply is a tuple of HeldSlot.
    """


@valueclass.define
class TargetGrant:
    """Permission for the target to run requests until ``end``.

    ``floor`` is the lowest fencing token that it may accept. ``end`` is in
    seconds of the boot clock that node and target share on their instance.
    """

    incarnation: int
    floor: requests.Token
    end: float
