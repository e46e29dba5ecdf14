"""Records and messages of requests that must run at most once."""

import dataclasses
import enum


class Progress(enum.Enum):
    """What the owner knows of a once-only request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What makes two requests the same request.

    ``route_key`` is None where the idempotency key places the request.
    """

    organisation: str
    route_key: str | None
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """State of one once-only request.

    ``expires`` is wall-clock seconds; ``request_id`` names the attempt that
    runs it; ``answer`` is None when the answer was too large or has been
    dropped.
    """

    service: str
    slot: int
    progress: Progress
    expires: float
    request_id: str
    answer: KeptAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Asks to run a once-only request; the reply is Run, Kept or Refusal.

    ``owned_since`` comes from the owners task: a key made before may have
    run without a record here.
    """

    identity: Identity
    request_id: str
    service: str
    slot: int
    owned_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class MayRun:
    """The request may be sent; Settle or Forget must follow."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """The request was answered before with this."""

    answer: KeptAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RecordResult:
    """Tells the result; ``answer`` is None when it cannot be kept.

    Only the attempt that began the request may settle or forget it.
    """

    identity: Identity
    request_id: str
    progress: Progress
    answer: KeptAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Tells that the request is known not to have run."""

    identity: Identity
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Export:
    """Asks for a slot's records for its next owner; they are kept here.

    ``known_since`` is the wall-clock time from which they are complete. The
    reply is a Transfer.
    """

    service: str
    slot: int
    known_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One record of a transfer."""

    identity: Identity
    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Records of a slot, given with its release.

    ``known_since`` is the wall-clock time from which the records are
    complete. Also the message that hands them to the next owner's task.
    """

    service: str
    slot: int
    known_since: float
    entries: tuple[Entry, ...]
