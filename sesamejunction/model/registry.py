"""Records of the fleet's keyed topic, and the operators' declarations."""

import collections.abc
import dataclasses

from sesamejunction.model import ranges
from sesamejunction.model import routing
from sesamejunction.model import state
from sesamejunction.model import valueclass


# The era that stores without eras are in. An era below it is not possible.
FIRST_ERA = 0
# Offsets of one era take the low bits of a packed position: ten records a
# second fill them in 13 years.
OFFSET_BITS = 32
# Epochs, which are packed positions, must stay exact as JSON numbers.
MAX_ERA = (1 << 20) - 1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a topic: the era of the store and the offset in it.

    Offsets are given out again in each era, so positions are compared by era
    first. Packed positions are numbers with the same order; ends and offsets
    of copies, news and echoes, and epochs are such numbers. Those of the
    first era are the offsets themselves.
    """

    era: int
    offset: int

    def pack(self) -> int:
        """Return the position as a number."""
        return (self.era - FIRST_ERA << OFFSET_BITS) + self.offset

    @classmethod
    def unpack(cls, packed: int) -> 'Position':
        """Return the position of a number."""
        rank, offset = divmod(packed, 1 << OFFSET_BITS)
        return cls(rank + FIRST_ERA, offset)


def find_era(packed: int) -> int:
    """Return the eras before a packed position; 0 in the first one."""
    return max(0, packed) >> OFFSET_BITS


@valueclass.define
class MemberRecord:
    """Registration of a node and its local target.

    ``incarnation`` is that of the node's process. ``life`` is the target's
    process run, None without a target. ``leaving`` is set when the target or
    the node leaves, ``stopping`` when only the node does.
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


@valueclass.define
class PlanRecord:
    """Owners of the key ranges of one service."""

    service: str
    ranges: tuple[ranges.Range, ...]


@valueclass.define
class SecretRecord:
    """The secret that authenticates messages between members."""

    secret: str


@valueclass.define
class MemberGone:
    """Removes the registration of a node that no longer runs."""

    name: str


@valueclass.define
class EraRecord:
    """Tells that the facts of earlier eras are in the topic again.

    ``era`` counts from 0 for the first one. ``is_open`` is set when no grant
    that was based on an earlier era is valid any more.
    """

    era: int
    is_open: bool


Record = (
    MemberRecord
    | PlanRecord
    | state.Allocators
    | state.ActivePlanner
    | SecretRecord
    | MemberGone
    | EraRecord
)


@valueclass.define
class DeclaredConfig:
    """A complete version of the operator's configuration."""

    version: int
    routes: tuple[routing.Route, ...]
    services: tuple[state.Service, ...]
    organisations: tuple[state.Organisation, ...]
    caller_keys: tuple[state.CallerKey, ...]
    limits: routing.Limits


@valueclass.define
class TopicItem:
    """Newest value of a key, with the offset of its record."""

    offset: int
    value: bytes


@valueclass.define
class TopicCopy:
    """Copy of a keyed topic: the newest value of each key before ``end``."""

    end: int
    items: collections.abc.Mapping[str, TopicItem]


@valueclass.define
class Entry:
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@valueclass.define
class TopicBatch:
    """Records from the requested offset on, and the topic's end offset."""

    entries: tuple[Entry, ...]
    end: int


@valueclass.define
class TopicChanged:
    """Published by a follower when its copy has changed."""

    topic: str
    copy: TopicCopy


@valueclass.define
class PeerPosition:
    """Reports a peer's end offset, which was current at ``as_of`` or later."""

    member: int
    end: int
    as_of: float


@valueclass.define
class PeerAhead:
    """Reports that a member has a newer copy of a topic, up to ``end``."""

    member: state.Member
    end: int


@valueclass.define
class EraChanged:
    """Reports that the store is in a later era than was known.

    ``era`` counts from 0 for the first one.
    """

    era: int


@valueclass.define
class AskFloor:
    """Requests the newest facts of earlier eras that a node knows.

    ``era`` is the present one. The facts are left out of the reply, a
    FloorAnswer, if the node's copy ends at ``end`` or before.
    """

    era: int
    end: int


@valueclass.define
class FloorAnswer:
    """Answers AskFloor; ``age_s`` is that of the copy of earlier eras."""

    end: int
    age_s: float
    items: collections.abc.Mapping[str, TopicItem]


@valueclass.define
class AppendFailed:
    """Reports that an append failed or had no valid reply."""


@valueclass.define
class TopicGrown:
    """Reports that there is a record at ``offset``.

    This node has appended it, or an append has failed because of it.
    """

    offset: int


@valueclass.define
class TakeCopy:
    """Gives a follower the copy of a peer, which was current at ``as_of``."""

    copy: TopicCopy
    as_of: float


@valueclass.define
class GetCopy:
    """Requests a follower's copy; the reply is a TopicCopy or None.

    ``topic`` and the requester's end offset are set between nodes only.
    """

    topic: str = ''
    end: int = -1


@valueclass.define
class TopicNews:
    """What a copy lacks up to ``end``: later items and removed keys.

    If ``is_whole``, the items are the whole copy. ``removed`` lists keys with
    the offsets of their removal.
    """

    end: int
    is_whole: bool
    items: collections.abc.Mapping[str, TopicItem]
    removed: tuple[tuple[str, int], ...] = ()


@valueclass.define
class AskNews:
    """Requests the news of a topic for a copy that ends at ``end``.

    The reply, a NewsAnswer, waits up to ``wait_s`` seconds for some.
    """

    topic: str
    end: int
    wait_s: float


@valueclass.define
class NewsAnswer:
    """Answers AskNews.

    ``news`` is None if the answering node has no copy, or no news and no
    contact with the log.
    ``as_of_s`` is when the copy was known to be current, in seconds after the
    question arrived; negative if before.
    """

    news: TopicNews | None
    as_of_s: float


@valueclass.define
class Register:
    """Asks the registrar to make a record the newest of its key."""

    record: MemberRecord


@valueclass.define
class RegistrationLost:
    """Tells that the topic lacks the registration of this process.

    Up to ``end`` the newest record of its key is another one, or none.
    """

    end: int


@valueclass.define
class Propose:
    """Appends a record if the topic still ends at ``end``.

    The reply is the offset, None if the condition failed or the store did
    not answer, or ProposalRejected.
    """

    record: Record
    end: int


@valueclass.define
class ProposalRejected:
    """The log will never take the record as it is."""
