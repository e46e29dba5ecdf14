"""What a node tells its operators."""

import dataclasses
import enum
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """Short answer of a node; ``log_age_s`` is None before any contact.

    ``offset`` is the next log offset that the node expects.
    """

    incarnation: int
    name: str
    zone: str
    offset: int
    last_ticket: int
    last_ticket_digest: str
    members: int
    joined: bool
    stopping: bool
    log_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GetDump:
    """Asks any task for its state; the reply is a TaskDump."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskDump:
    """A task's state; ``detail`` is a data class of the task's own.

    ``queued`` counts messages waiting and ``dropped`` those that were
    thrown away because the inbox was full. ``error`` says why there is no
    detail.
    """

    task: str
    queued: int
    dropped: int
    detail: typing.Any = None
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One setting as text; secrets are hidden."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDump:
    """State of a whole node."""

    status: NodeStatus
    settings: tuple[Setting, ...]
    tasks: tuple[TaskDump, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotCount:
    """How many slots of a service a member owns; 0 stands for nobody."""

    service: str
    owner: int
    settled: int
    moving: int


@dataclasses.dataclass(frozen=True, slots=True)
class JournalDump:
    """Summary of the folded state; keys appear by digest prefix only."""

    offset: int
    checkpoint_offset: int
    last_ticket: int
    log_age_s: float | None
    members: tuple
    witness_sets: tuple
    slots: tuple[SlotCount, ...]
    organisations: tuple
    services: tuple
    zones_out: tuple[str, ...]
    targets_out: tuple[str, ...]
    key_prefixes: tuple[str, ...]
    fleet: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeDump:
    """Large bodies of other nodes, by what they do."""

    waiting: int
    under_way: int


class StopReason(enum.Enum):
    """Why a node leaves the fleet."""

    PLANNED = 'planned'
    TARGET_LOST = 'target-lost'
    LEASE_LOST = 'lease-lost'
