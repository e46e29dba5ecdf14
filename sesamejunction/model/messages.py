"""Datagrams between nodes; times are in seconds of the sender's boot clock."""

from sesamejunction.model import valueclass


@valueclass.define
class RenewLease:
    """Asks a witness to renew the sender's lease.

    While the witness set is not settled, ``released_by`` lists the old
    witnesses whose release the holder has received. ``log_offset`` is the
    next offset to apply, ``log_age`` the seconds since the latest log contact
    of any node that the sender knows of.
    """

    holder: int
    version: int
    sent_at: float
    log_offset: int
    log_age: float
    released_by: tuple[int, ...] = ()


@valueclass.define
class LeasePromise:
    """Grants the lease renewal that the holder sent at ``sent_at``.

    ``log_offset`` and ``log_age`` are those of the witness, as in RenewLease.
    """

    witness: int
    holder: int
    version: int
    sent_at: float
    log_offset: int
    log_age: float


@valueclass.define
class EndDeclaration:
    """A witness's declaration that an incarnation has ended.

    A witness never withdraws it. ``version`` identifies the witness set. In
    an incarnation's declaration of its own end, ``witness`` equals ``ended``.
    """

    witness: int
    ended: int
    version: int


@valueclass.define
class EndedQuery:
    """Asks a witness or member whether it knows that an incarnation ended."""

    asker: int
    incarnation: int


@valueclass.define
class WitnessRelease:
    """A witness's promise about an old witness set of ``holder``.

    The witness never again declares the holder's end or renews its lease
    under that version.
    """

    witness: int
    holder: int
    version: int


@valueclass.define
class WitnessReleaseQuery:
    """Requests the WitnessRelease of a former witness for an old version."""

    asker: int
    holder: int
    version: int


@valueclass.define
class ShareWant:
    """The part of a ShareRequest for one organisation, in tokens.

    ``unspent`` is the number of granted tokens not used yet. A negative
    ``want`` returns that many tokens, which ``unspent`` no longer includes.
    ``waiting`` is the number of requests queued for tokens.
    """

    organisation: str
    unspent: float
    want: float
    waiting: int = 0


@valueclass.define
class ShareRequest:
    """Requests rate tokens from an allocator.

    ``received`` is the sequence number of the last reply that was used.
    """

    holder: int
    sequence: int
    received: int
    wants: tuple[ShareWant, ...]


@valueclass.define
class ShareGrant:
    """Tokens granted for one organisation, valid for ``valid_s`` seconds.

    ``empty_s`` is the time until the bucket has its next token, 0 unless the
    organisation's bucket is empty.
    """

    organisation: str
    tokens: float
    valid_s: float
    empty_s: float = 0.0


@valueclass.define
class ShareReply:
    """Answers the ShareRequest with the same sequence number."""

    allocator: int
    holder: int
    sequence: int
    grants: tuple[ShareGrant, ...]


@valueclass.define
class TopicAge:
    """End offset of a member's copy of a topic, and its age in seconds."""

    end: int
    age: float


@valueclass.define
class Probe:
    """Requests an Echo from a member; ``sent_at`` is returned in it.

    ``members`` is the digest of the member list that the prober knows.
    """

    prober: int
    sent_at: float
    topics: tuple[TopicAge, ...]
    members: int = 0


@valueclass.define
class PackedAges:
    """Times since the last contact with members.

    ``ages`` is packed by decisions/memberages. It starts with the member at
    index ``first`` of the member list, whose digest is ``members``.
    """

    members: int
    first: int
    ages: bytes


@valueclass.define
class Echo:
    """Answers a Probe.

    ``topics`` has the topic of the declarations first, then that of the
    fleet. ``heard`` has other members' incarnations, each with the seconds
    since the last contact with it; ``packed`` replaces it if both nodes know
    the same members.
    ``has_log`` tells whether the member can reach the log.
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
