"""State table of one request over all its attempts."""

import dataclasses
import enum
import math

from sesamejunction.model import requests

# Retries allowed: this part of the recent requests, plus a fixed number so
# that a node with little traffic can retry at all.
RETRY_PART = 0.1
RETRY_EXTRA = 10.0
# "Recent" requests and retries lose half their weight in this time.
BUDGET_HALF_LIFE_S = 10.0


class Phase(enum.Enum):
    """Where a request is."""

    RECEIVED = 'received'
    CHOOSING = 'choosing'
    CONNECTING = 'connecting'
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CANCELLED = 'cancelled'
    CUT = 'cut'


class Action(enum.Enum):
    """What the command does next."""

    CHOOSE = 'choose'
    CONNECT = 'connect'
    AWAIT = 'await'
    CHOOSE_SECOND = 'choose-second'
    PASS_ON = 'pass-on'
    SAY_NOT_RUN = 'say-not-run'
    SAY_UNKNOWN = 'say-unknown'
    CANCEL = 'cancel'
    ABORT = 'abort'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request may not enter: key, rate, deadline or lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The caller may send the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A candidate was chosen."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """No candidate is left before the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class FirstByte:
    """The first byte of an attempt may have left."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """An attempt ended before its first byte could leave."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """A node or target says "not run"; another candidate may run it."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclinedForAll:
    """A node or target says "not run", and so would every other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """An attempt ended cut, late or crossed; it may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """No answer within the time of a second try."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """The connection of an open attempt is silent.

    The attempt may run and its answer may still come.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The answer with the attempt's own id has begun."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCut:
    """The answer stopped half-way."""


# Refusals after which another node may run the request.
ELSEWHERE = frozenset(
    (
        requests.Code.NO_OWNER,
        requests.Code.NOT_OWNER,
        requests.Code.NO_TARGET,
        requests.Code.NO_LEASE,
        requests.Code.STOPPING,
        requests.Code.SERVICE_UNKNOWN,
    )
)
# The same, where any target may run the request. At the owner of a key they
# are final: no other node may run it, and trying again adds load.
ELSEWHERE_BY_LOAD = ELSEWHERE | {
    requests.Code.OVERLOADED,
    requests.Code.SHED,
    requests.Code.ZONE_OUT,
}


def classify_refusal(refusal: requests.Refusal, keyed: bool):
    """Return Lost, Declined or DeclinedForAll.

    ``keyed`` says that only the owner of a slot may run the request.
    """
    if refusal.outcome is requests.Outcome.UNKNOWN:
        return Lost()
    codes = ELSEWHERE if keyed else ELSEWHERE_BY_LOAD
    return Declined() if refusal.code in codes else DeclinedForAll()


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What the guards of the table look at.

    ``replayable``: the body can still be sent from its start.
    ``may_retry``: the retry budget, the attempts and the deadline allow
    another attempt. ``open_attempts`` counts attempts without a result,
    one that ended with the event left out. ``tainted``: an earlier attempt
    may have run. ``heard_attempts`` counts the open attempts whose
    connection is not silent.
    """

    repeatable: bool
    replayable: bool = True
    may_retry: bool = True
    open_attempts: int = 0
    tainted: bool = False
    heard_attempts: int = 0


class Guard(enum.Enum):
    """Condition of a row."""

    ALWAYS = 'always'
    OTHERS_OPEN = 'others open'
    OTHERS_HEARD = 'others open on connections that are not silent'
    CAN_RESEND = 'replayable and may retry'
    CAN_REPEAT = 'repeatable, replayable and may retry'
    TAINTED = 'tainted'


def holds(guard: Guard, facts: Facts) -> bool:
    """Return whether the guard is met."""
    match guard:
        case Guard.ALWAYS:
            return True
        case Guard.OTHERS_OPEN:
            return facts.open_attempts > 0
        case Guard.OTHERS_HEARD:
            return facts.heard_attempts > 0
        case Guard.CAN_RESEND:
            return facts.replayable and facts.may_retry
        case Guard.CAN_REPEAT:
            return facts.repeatable and facts.replayable and facts.may_retry
        case Guard.TAINTED:
            return facts.tainted


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The first row whose guard holds counts."""

    guard: Guard
    phase: Phase
    action: Action


_CHOOSE = Row(Guard.CAN_RESEND, Phase.CHOOSING, Action.CHOOSE)
_REPEAT = Row(Guard.CAN_REPEAT, Phase.CHOOSING, Action.CHOOSE)
_OTHERS = Row(Guard.OTHERS_OPEN, Phase.SENT, Action.AWAIT)
_SECOND = Row(Guard.CAN_REPEAT, Phase.CHOOSING, Action.CHOOSE_SECOND)
_WAIT = Row(Guard.ALWAYS, Phase.SENT, Action.AWAIT)
_UNKNOWN = Row(Guard.ALWAYS, Phase.UNKNOWN, Action.SAY_UNKNOWN)
_TAINTED = Row(Guard.TAINTED, Phase.UNKNOWN, Action.SAY_UNKNOWN)
_NOT_RUN = Row(Guard.ALWAYS, Phase.REFUSED, Action.SAY_NOT_RUN)
_CANCEL = Row(Guard.ALWAYS, Phase.CANCELLED, Action.CANCEL)

# A refusal that ends a request says "not run" only where no earlier attempt
# may have run; those rows come after a TAINTED row. Silence ends no attempt:
# in SENT only a result, the caller or the deadline (as Lost) does.
TABLE = {
    (Phase.RECEIVED, Rejected): (_NOT_RUN,),
    (Phase.RECEIVED, Admitted): (
        Row(Guard.ALWAYS, Phase.CHOOSING, Action.CHOOSE),
    ),
    (Phase.RECEIVED, CallerLeft): (_CANCEL,),
    (Phase.CHOOSING, Found): (
        Row(Guard.ALWAYS, Phase.CONNECTING, Action.CONNECT),
    ),
    (Phase.CHOOSING, NotFound): (_OTHERS, _TAINTED, _NOT_RUN),
    (Phase.CHOOSING, CallerLeft): (_CANCEL,),
    (Phase.CONNECTING, NotConnected): (_OTHERS, _CHOOSE, _TAINTED, _NOT_RUN),
    (Phase.CONNECTING, FirstByte): (
        Row(Guard.ALWAYS, Phase.SENT, Action.AWAIT),
    ),
    (Phase.CONNECTING, CallerLeft): (_CANCEL,),
    (Phase.SENT, NotConnected): (_OTHERS, _CHOOSE, _TAINTED, _NOT_RUN),
    (Phase.SENT, Declined): (_OTHERS, _CHOOSE, _TAINTED, _NOT_RUN),
    (Phase.SENT, DeclinedForAll): (_OTHERS, _TAINTED, _NOT_RUN),
    (Phase.SENT, Lost): (_OTHERS, _REPEAT, _UNKNOWN),
    (Phase.SENT, Late): (_SECOND, _WAIT),
    (Phase.SENT, Silent): (
        Row(Guard.OTHERS_HEARD, Phase.SENT, Action.AWAIT),
        _SECOND,
        _WAIT,
    ),
    (Phase.SENT, Completed): (
        Row(Guard.ALWAYS, Phase.ANSWERED, Action.PASS_ON),
    ),
    (Phase.SENT, CallerLeft): (_CANCEL,),
    (Phase.ANSWERED, StreamCut): (Row(Guard.ALWAYS, Phase.CUT, Action.ABORT),),
    (Phase.ANSWERED, CallerLeft): (_CANCEL,),
}


# Events after which the facts decide nothing, so that they need not be found.
UNCONDITIONAL = frozenset(event for _, event in TABLE) - {
    event
    for (_, event), rows in TABLE.items()
    if any(row.guard is not Guard.ALWAYS for row in rows)
}
NO_FACTS = Facts(repeatable=False, replayable=False, may_retry=False)


def advance(phase: Phase, event, facts: Facts) -> tuple[Phase, Action]:
    """Return the next phase and action.

    Raises KeyError for an event that cannot happen in the phase.
    """
    for row in TABLE[phase, type(event)]:
        if holds(row.guard, facts):
            return row.phase, row.action
    raise KeyError((phase, type(event)))


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Recent requests and retries of a node, decayed up to ``at``."""

    requests: float = 0.0
    retries: float = 0.0
    at: float = 0.0


def count_request(budget: Budget, now: float) -> Budget:
    """Return the budget after one more request."""
    fade = _fade(budget, now)
    return Budget(budget.requests * fade + 1, budget.retries * fade, now)


def take_retry(budget: Budget, now: float) -> tuple[Budget, bool]:
    """Return the budget and whether one retry may be made now."""
    fade = _fade(budget, now)
    made = budget.retries * fade
    asked = budget.requests * fade
    allowed = made + 1 <= asked * RETRY_PART + RETRY_EXTRA
    return Budget(asked, made + allowed, now), allowed


def _fade(budget, now):
    return math.exp2(-max(0.0, now - budget.at) / BUDGET_HALF_LIFE_S)
