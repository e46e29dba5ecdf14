"""Requests, their admission and their outcomes."""

import collections.abc
import contextlib
import enum
import math

from sesamejunction.model import state
from sesamejunction.model import valueclass


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
    """Whether a request without an answer may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Standing(enum.Enum):
    """Whether work has been done that would be lost without a request.

    BEGUN is a call that a running request has made.
    """

    NEW = 0
    BEGUN = 1


@valueclass.define
class Head:
    """Head of a request, with its routing parameters.

    ``route_key`` is the caller's routing key or None. ``deadline`` is in
    boot-clock seconds. ``idempotency_key`` is the caller's UUID as text or
    None. ``headers`` has end-to-end fields only, without the caller's key.
    Rank 0 has the highest priority at a busy target. ``objective`` is the
    boot-clock time of the latency objective. ``max_targets`` limits the
    targets that the request may be sent to. ``caller_service`` is the
    service of the machine that the request came from. ``repeat_share`` is the
    probability that the request exists only because of a retry: 1 for a
    further attempt, less for a call that a target may have made while it ran
    one. A call has the rank of the request that made it, and the earlier
    objective and deadline of both. ``requester`` is the incarnation of the
    node that forwarded the request, 0 for one that began at this node.
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
    repeat_share: float = 0.0
    standing: Standing = Standing.NEW
    requester: int = 0


@valueclass.define
class Token:
    """Fencing token, ordered by epoch, then by place in the slot's order."""

    epoch: int
    place: int


@valueclass.define
class Load:
    """A target's load as measured by the gate or scheduler of its node.

    ``limit`` is the number of requests that may run at the same time.
    ``latency_s`` is the target's recent latency. ``work_s`` is the expected
    run time of the work in progress and queued, at the target's present
    speed; None if the target does not report its speed.
    """

    in_flight: int
    queued: int
    limit: int
    latency_s: float
    work_s: float | None = None


@valueclass.define
class TargetReport:
    """Load of a target as it reports it with an answer.

    ``slowness`` is how many times longer than usual work takes there at this
    moment, None if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@valueclass.define
class Refusal:
    """A reply that carries no answer.

    ``owner`` is the ``host:port`` of the node that serves the key, if known.
    ``inputs`` are named values that the decision was based on. They are for
    the log of the caller's node and are not sent to callers.
    ``reached_target`` is set if the request arrived at a target, which
    refused it itself. ``report`` is the target's own load, for its node only.
    """

    code: Code
    outcome: Outcome
    message: str
    retry_after_s: float | None = None
    owner: str | None = None
    load: Load | None = None
    inputs: tuple[tuple[str, float], ...] = ()
    reached_target: bool = False
    report: TargetReport | None = None


@valueclass.define
class Answer:
    """The head of an answer, and its body as a stream.

    Closing ``resources`` releases the connection. If the body was not read
    to its end, the connection is closed instead of reused. ``report`` is the
    target's own load, for its node only.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: collections.abc.AsyncIterator[bytes]
    resources: contextlib.AsyncExitStack
    load: Load | None = None
    report: TargetReport | None = None


@valueclass.define
class Candidate:
    """A member that may run a request; slot and token are set if keyed."""

    member: state.Member
    slot: int | None = None
    token: Token | None = None


@valueclass.define
class Grant:
    """Conditions under which a node sends one request to its target.

    Times are in boot-clock seconds. The request must not start after
    ``start_before``. The target must have finished or abandoned it by
    ``end``, if set.
    """

    start_before: float
    end: float | None = None
    token: Token | None = None
    slot: int | None = None
