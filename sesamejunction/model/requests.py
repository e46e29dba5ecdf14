"""A caller's request, its admission and its outcome."""

import collections.abc
import contextlib
import dataclasses
import enum
import math

from sesamejunction.model import state


class Code(enum.Enum):
    """Reason of a refusal or of an unknown outcome (docs/refusals.md)."""

    KEY_UNKNOWN = 'key-unknown'
    KEY_FORBIDDEN = 'key-forbidden'
    SERVICE_UNKNOWN = 'service-unknown'
    ROUTE_KEY_MISSING = 'route-key-missing'
    IDEMPOTENCY_KEY_BAD = 'idempotency-key-bad'
    REQUEST_BAD = 'request-bad'
    OVER_RATE = 'over-rate'
    OVERLOADED = 'overloaded'
    NO_OWNER = 'no-owner'
    NOT_OWNER = 'not-owner'
    NO_TARGET = 'no-target'
    NO_LEASE = 'no-lease'
    MOVING = 'moving'
    STOPPING = 'stopping'
    ZONE_OUT = 'zone-out'
    DEADLINE = 'deadline'
    RUNNING = 'running'
    SHED = 'shed'
    PEER_FORGED = 'peer-forged'
    LOST = 'lost'
    OWNER_CHANGED = 'owner-changed'


class Outcome(enum.Enum):
    """What a caller may conclude from a reply without an answer."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a request as the router sees it.

    ``route_key`` is the caller's routing key or None; ``deadline`` is a
    boot-clock time in seconds; ``idempotency_key`` is the caller's UUID in
    text or None. ``headers`` holds the end-to-end fields only, without the
    caller's key. ``rank`` 0 goes first at a busy target; ``objective`` is
    the boot-clock time until which the answer has its full worth;
    ``max_targets`` bounds the targets that the request may be sent to.
    ``caller_service`` is the service at the machine where it began.
    """

    request_id: str
    service: str
    method: str
    path: str
    route_key: str | None
    idempotency_key: str | None
    organisation: str
    deadline: float
    repeatable: bool
    headers: tuple[tuple[str, str], ...] = ()
    route: str = ''
    rank: int = 0
    objective: float = math.inf
    max_targets: int | None = None
    caller_service: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Fencing token; ordered by epoch, then by place in the order."""

    epoch: int
    place: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A target's load as its own gate sees it; times in seconds."""

    in_flight: int
    queued: int
    limit: int
    latency_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A reply that carries no answer.

    ``owner`` is ``host:port`` of the node that serves the key, where known.
    ``inputs`` are the numbers that decided it, by name, for the log line of
    the caller's node; callers do not get them.
    """

    code: Code
    outcome: Outcome
    message: str
    retry_after_s: float | None = None
    owner: str | None = None
    load: Load | None = None
    inputs: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of an answer and its body as it arrives.

    Closing ``resources`` releases the connection; an answer whose body was
    not read to its end is cut there, and the connection is not reused.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: collections.abc.AsyncIterator[bytes]
    resources: contextlib.AsyncExitStack
    load: Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A member that may run a request, with slot and token when keyed."""

    member: state.Member
    slot: int | None = None
    token: Token | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Under what a node sends one request to its target.

    Boot-clock seconds: the target must not start after ``start_before``;
    ``end`` is when it must have given up, None without a limit.
    """

    start_before: float
    end: float | None = None
    token: Token | None = None
    slot: int | None = None
