"""Messages of the task that leases key ranges to the local target."""

import enum

from sesamejunction.model import ranges
from sesamejunction.model import valueclass


@valueclass.define
class HeldKeys:
    """A key range that a target reports as held, with its fencing token."""

    first: int
    last: int
    epoch: int


@valueclass.define
class Heartbeat:
    """A target's heartbeat; the reply is a Renewal.

    ``life`` identifies the target's process run, and ``sequence`` increases
    with each heartbeat of a run. ``draining`` is set if the target is
    leaving. ``cold_left_s`` is the remaining time of the cold start.
    ``freed`` lists ranges released since the last acknowledged heartbeat.
    ``tells_held`` is unset if it does not tell what the target holds.
    """

    life: ranges.Life
    service: str
    zone: str
    slots: int
    sequence: int
    draining: bool
    cold_left_s: float
    held: tuple[HeldKeys, ...] = ()
    freed: tuple[ranges.ReleasedKeys, ...] = ()
    tells_held: bool = True


@valueclass.define
class GrantRow:
    """Keys granted under one token.

    ``handover`` is the data that the previous holder passed on.
    """

    first: int
    last: int
    epoch: int
    handover: str = ''


@valueclass.define
class Renewal:
    """All keys granted to the target, for ``hold_s`` from its heartbeat.

    ``rows`` is None if the node may not renew any grant now.
    """

    rows: tuple[GrantRow, ...] | None = None
    hold_s: float = 0.0


@valueclass.define
class TargetLeaving:
    """The target announced that it is about to end."""

    target: str


@valueclass.define
class TargetUnreachable:
    """A connection to the target failed.

    The target lease task gets this only if the port refused the connection,
    so that the target takes no requests; its hold runs on. The scheduler gets
    it after any failed connection.
    """


@valueclass.define
class KeyNotHeld:
    """The target refused a request since it does not hold its key."""

    key: int


@valueclass.define
class AskRelease:
    """Asks the node of a former owner to release keys.

    ``life`` is the process run of the former owner's target, ``epoch`` the
    claimant's fencing token. The reply is a ReleaseResult.
    """

    service: str
    first: int
    last: int
    epoch: int
    life: ranges.Life


@valueclass.define
class ReleaseResult:
    """Whether the keys are released, and their known handover data."""

    released: bool
    pieces: tuple[ranges.ReleasedKeys, ...] = ()


@valueclass.define
class AskAllocatorStop:
    """Asks a former allocator to stop; the reply is a ReleaseResult.

    ``epoch`` is the epoch of the allocator that replaces it. The former one
    has stopped once it has read this epoch.
    """

    epoch: int


@valueclass.define
class AskKeyLoad:
    """Requests the load of the target's keys; the reply is a KeyLoadReport."""


@valueclass.define
class KeyLoadReport:
    """Load of a target's keys in requests per second.

    Each segment has first key, last key and rate. ``capacity`` is the
    highest rate that the target can sustain.
    """

    segments: tuple[tuple[int, int, float], ...]
    capacity: float


class ColdSource(enum.Enum):
    """What tells that a target is cold."""

    HEARTBEAT = 'heartbeat'
    ZONE_RETURN = 'return of its availability zone'
    UNREACHABLE = 'failed connection'
    PAUSED = 'pause of this process'
    IGNORED = 'ignored heartbeat'


@valueclass.define
class TargetStatus:
    """State of the local target, published to limit the work it gets.

    ``life`` is None without a target. ``cold_until`` is the boot-clock time
    at which the cold start ends, as ``cold_source`` told at ``cold_told_at``.
    ``leaving_since`` and ``out_since`` are set while the target leaves or
    its availability zone is out of service.
    """

    life: ranges.Life | None
    slots: int
    cold_until: float
    leaving_since: float | None = None
    out_since: float | None = None
    cold_source: ColdSource = ColdSource.HEARTBEAT
    cold_told_at: float = float('-inf')


@valueclass.define
class StopNode:
    """Starts a planned stop of the node; its target keeps running."""


@valueclass.define
class ReleaseAnswered:
    """An AskRelease was answered, or has failed if ``reply`` is None."""

    claim: AskRelease
    reply: ReleaseResult | None
