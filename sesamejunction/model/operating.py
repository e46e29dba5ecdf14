"""Status and state dumps of a node for its operators."""

import enum
import typing

from sesamejunction.model import valueclass


@valueclass.define
class NodeStatus:
    """Status of a node.

    ``offset`` is the next log offset to apply. ``members`` is the number of
    members that the node knows, and ``joined`` is set if it is one itself.
    ``log_age_s`` is the time since the last log contact, None before the
    first one.
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


@valueclass.define
class GetDump:
    """Requests the state of a task; the reply is a TaskDump."""


@valueclass.define
class TaskDump:
    """State of a task; ``detail`` is a data class that depends on the task.

    ``queued`` counts messages in the inbox, ``dropped`` those discarded
    because it was full. ``error`` is the reason why ``detail`` is missing.
    """

    task: str
    queued: int
    dropped: int
    detail: typing.Any = None
    error: str = ''


@valueclass.define
class Setting:
    """A setting as text, with secrets masked."""

    name: str
    value: str


@valueclass.define
class NodeDump:
    """State dump of a node with all its tasks."""

    status: NodeStatus
    settings: tuple[Setting, ...]
    tasks: tuple[TaskDump, ...]


@valueclass.define
class SlotCount:
    """Number of slots of a service that a member owns.

    ``owner`` is 0 for slots without an owner.
    """

    service: str
    owner: int
    settled: int
    moving: int


@valueclass.define
class JournalDump:
    """Summary of the folded state; keys are shown as digest prefixes."""

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


@valueclass.define
class IntakeDump:
    """Number of large bodies from other nodes that are queued or arriving."""

    waiting: int
    under_way: int


class StopReason(enum.Enum):
    """Reason for a node to leave the fleet."""

    PLANNED = 'planned'
    TARGET_LOST = 'target-lost'
    LEASE_LOST = 'lease-lost'
