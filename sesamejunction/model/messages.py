"""Datagrams between nodes; times are seconds of the sender's boot clock."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Asks a witness for a promise.

    ``released_by`` names the old witnesses whose release the holder has,
    as long as the witness set is not settled. ``log_offset`` is the next
    offset to apply; ``log_age`` the seconds since the latest log contact
    known to the sender.
    """

    holder: int
    version: int
    sent_at: float
    log_offset: int
    log_age: float
    released_by: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeasePromise:
    """Grants the renewal that was sent at ``sent_at``."""

    witness: int
    holder: int
    version: int
    sent_at: float
    log_offset: int
    log_age: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndDeclaration:
    """A witness's statement that the incarnation has ended for good.

    ``version`` is the witness set; the incarnation's own statement has
    ``witness`` equal to ``ended``.
    """

    witness: int
    ended: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndedQuery:
    """Asks a witness or member whether it knows the incarnation ended."""

    asker: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessRelease:
    """A promise never to declare or renew under the old version."""

    witness: int
    holder: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessReleaseQuery:
    """Asks an old witness for its release of a version."""

    asker: int
    holder: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShareWant:
    """One organisation's line in a share request, in tokens.

    A negative ``want`` gives that many tokens back; ``unspent`` no longer
    contains them. Requests wait for ``waiting`` of the wanted tokens.
    """

    organisation: str
    unspent: float
    want: float
    waiting: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRequest:
    """Asks an allocator for tokens.

    ``received`` is the sequence of the latest reply that was taken.
    """

    holder: int
    sequence: int
    received: int
    wants: tuple[ShareWant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShareGrant:
    """Tokens added for one organisation, usable for ``valid_s`` seconds.

    ``empty_s`` is the time until the next token, 0 unless the organisation
    has used up its bucket.
    """

    organisation: str
    tokens: float
    valid_s: float
    empty_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReply:
    """Answers the request with the same sequence."""

    allocator: int
    holder: int
    sequence: int
    grants: tuple[ShareGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TopicAge:
    """How far a member has read a topic, and how old that is in seconds."""

    end: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a member for its Echo; ``sent_at`` comes back in it.

    ``members`` is the digest of the members that the prober knows.
    """

    prober: int
    sent_at: float
    topics: tuple[TopicAge, ...]
    members: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PackedAges:
    """How long ago members were heard of, packed as in decisions/hearsay.

    ``members`` is the digest of the members; the ages begin with the one at
    place ``first``.
    """

    members: int
    first: int
    ages: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """Answers a Probe.

    ``topics`` are in the order of the fleet's agreement: declarations, then
    the fleet's own. ``heard`` tells how long ago the member heard of others;
    ``packed`` does so instead where both know the same members. ``has_log``
    tells whether the log answers it.
    """

    member: int
    sent_at: float
    topics: tuple[TopicAge, ...]
    heard: tuple[tuple[int, float], ...] = ()
    has_log: bool = True
    packed: PackedAges | None = None


Message = (
    RenewLease
    | LeasePromise
    | EndDeclaration
    | EndedQuery
    | WitnessRelease
    | WitnessReleaseQuery
    | ShareRequest
    | ShareReply
    | Probe
    | Echo
)
