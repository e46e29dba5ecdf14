"""Idempotency records and messages for requests that run at most once."""

import enum

from sesamejunction.model import valueclass


class Progress(enum.Enum):
    """What the owner knows about the outcome of a once-only request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@valueclass.define
class Identity:
    """Identity of a once-only request; repeats have the same one.

    ``route_key`` is None if the request is routed by its idempotency key.
    """

    organisation: str
    route_key: str | None
    idempotency_key: str


@valueclass.define
class KeptAnswer:
    """A complete answer, kept for repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@valueclass.define
class Record:
    """Idempotency record of one request.

    ``expires`` is in wall-clock seconds. ``request_id`` is the id of the
    attempt that runs it. ``answer`` is None if the answer was too large or
    has been evicted.
    """

    service: str
    slot: int
    progress: Progress
    expires: float
    request_id: str
    answer: KeptAnswer | None = None


@valueclass.define
class Begin:
    """Asks to run a once-only request.

    The reply is MayRun, AlreadyAnswered or Refusal. ``owned_since`` is that
    of owning.Serving, in wall-clock seconds: a request whose idempotency key
    was created earlier may have run without a record at this node.
    """

    identity: Identity
    request_id: str
    service: str
    slot: int
    owned_since: float


@valueclass.define
class MayRun:
    """The request may be sent; RecordResult or Forget must follow."""


@valueclass.define
class AlreadyAnswered:
    """The request has already been answered with ``answer``."""

    answer: KeptAnswer


@valueclass.define
class RecordResult:
    """Records the result; ``answer`` is None if it cannot be kept.

    Only the attempt that began the request may record or forget it.
    """

    identity: Identity
    request_id: str
    progress: Progress
    answer: KeptAnswer | None = None


@valueclass.define
class Forget:
    """Removes the record of a request that is known not to have run."""

    identity: Identity
    request_id: str


@valueclass.define
class Export:
    """Requests a slot's records for its next owner.

    The records also stay at this node. ``known_since`` is the wall-clock
    time from which they are complete. The reply is a Transfer.
    """

    service: str
    slot: int
    known_since: float


@valueclass.define
class Entry:
    """One record of a Transfer."""

    identity: Identity
    record: Record


@valueclass.define
class Transfer:
    """Records of a slot, transferred with its release.

    ``known_since`` is the wall-clock time from which the records are
    complete. Also the message that passes them to the new owner's task.
    """

    service: str
    slot: int
    known_since: float
    entries: tuple[Entry, ...]
