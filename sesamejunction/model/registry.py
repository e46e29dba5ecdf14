"""Records of the fleet's keyed topic and what operators have declared."""

import collections.abc
import dataclasses

from sesamejunction.model import ranges
from sesamejunction.model import routing
from sesamejunction.model import state


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """A node and the target beside it, as the node registers them.

    ``incarnation`` is that of the node's process. ``life`` is None while
    there is no target. ``leaving`` is set when the target or the node leaves.
    """

    name: str
    incarnation: int
    zone: str
    host: str
    peer_port: int
    service: str
    slots: int
    life: ranges.Life | None
    leaving: bool = False
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlanRecord:
    """Owners of all key ranges of one service."""

    service: str
    ranges: tuple[ranges.Range, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SecretRecord:
    """The secret with which members authenticate their messages."""

    secret: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberGone:
    """Drops the registration of a node that no longer runs."""

    name: str


Record = (
    MemberRecord | PlanRecord | state.Allocators | SecretRecord | MemberGone
)


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredConfig:
    """One configuration of the operator, complete."""

    version: int
    routes: tuple[routing.Route, ...]
    services: tuple[state.Service, ...]
    organisations: tuple[state.Organisation, ...]
    caller_keys: tuple[state.CallerKey, ...]
    limits: routing.Limits


@dataclasses.dataclass(frozen=True, slots=True)
class TopicItem:
    """A keyed record's newest value; ``offset`` is where it stands."""

    offset: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TopicCopy:
    """A copy of a keyed topic: the newest value of each key below ``end``."""

    end: int
    items: collections.abc.Mapping[str, TopicItem]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One record read from a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TopicBatch:
    """Records from the offset that was asked for, and the topic's end."""

    entries: tuple[Entry, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class TopicChanged:
    """Published by a follower when its copy has changed."""

    topic: str
    copy: TopicCopy


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """How far a follower is; ``as_of`` is when that was the newest."""

    end: int
    as_of: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPosition:
    """Tells a follower what a peer knew at ``as_of`` or later."""

    member: int
    end: int
    as_of: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAhead:
    """Tells that a member's copy of a topic ends at ``end``."""

    member: state.Member
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """Tells a follower that the log gave no usable answer to an append."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeCopy:
    """Gives a follower the copy of a peer, current as of ``as_of``."""

    copy: TopicCopy
    as_of: float


@dataclasses.dataclass(frozen=True, slots=True)
class GetCopy:
    """Asks a follower for its copy; the reply is a Copy or None.

    The topic and the asker's position are named between nodes.
    """

    topic: str = ''
    end: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Asks the registrar to make a record the newest of its key.

    ``is_retry`` tells that an earlier one was dropped.
    """

    record: MemberRecord
    is_retry: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks to append a record if the topic still ends at ``end``.

    The reply is the offset, or None when the condition failed or the store
    gave no answer.
    """

    record: Record
    end: int
