"""Messages of the task that renews the lease of the target's key ranges."""

import dataclasses

from sesamejunction.model import ranges


@dataclasses.dataclass(frozen=True, slots=True)
class HeldKeys:
    """Keys that a target says it holds, under one fencing token."""

    first: int
    last: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself; the reply is a Renewal.

    ``sequence`` grows with each heartbeat of one life. ``cold_left_s`` is how
    long the target stays in cold start. ``freed`` are ranges given up since
    the last acknowledged heartbeat.
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


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRow:
    """Keys granted under one token, with the last holder's handover."""

    first: int
    last: int
    epoch: int
    handover: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """All that the target is to hold, for ``hold_s`` from its heartbeat.

    ``rows`` is None when the node may renew nothing now.
    """

    rows: tuple[GrantRow, ...] | None = None
    hold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """The target says that it ends; it goes on for a moment."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUnreachable:
    """The target's port refused a connection, so its process has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskRelease:
    """Asks the node of a life to release keys; the reply is a Released.

    ``epoch`` is the claimant's fencing token.
    """

    service: str
    first: int
    last: int
    epoch: int
    life: ranges.Life


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseResult:
    """Whether the keys are released, and the handovers known for them."""

    released: bool
    pieces: tuple[ranges.ReleasedKeys, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AskAllocatorStop:
    """Asks a former allocator to stop; the reply is a Released."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskKeyLoad:
    """Asks how busy the target's keys are; the reply is a KeyLoadReport."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLoadReport:
    """Load of a target's keys in requests a second.

    ``segments`` are first key, last key and rate; ``capacity`` is the rate
    that the target can run.
    """

    segments: tuple[tuple[int, int, float], ...]
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Published: what the target beside this node may be given.

    ``cold_until`` is a boot-clock time; ``leaving_since`` and ``out_since``
    are set while the target leaves or its availability zone is out.
    """

    life: ranges.Life | None
    slots: int
    cold_until: float
    leaving_since: float | None = None
    out_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StopNode:
    """Planned stop of this node; its target goes on."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseAnswered:
    """The answer to a claim, None when there was none."""

    claim: AskRelease
    reply: ReleaseResult | None
