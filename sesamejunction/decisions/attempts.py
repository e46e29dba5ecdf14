"""State table of one request over all its attempts."""

import dataclasses
import enum
import math

from sesamejunction.model import requests

# Retries allowed: this part of the recent requests, plus a fixed number so
# that a node with little traffic can retry at all.
RETRY_FRACTION = 0.1
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
    CHOOSE_HEDGE = 'choose-second'
    FORWARD_ANSWER = 'pass-on'
    REPLY_NOT_RUN = 'say-not-run'
    REPLY_UNKNOWN = 'say-unknown'
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
RETRYABLE_CODES = frozenset(
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
ELSEWHERE_BY_LOAD = RETRYABLE_CODES | {
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
    codes = RETRYABLE_CODES if keyed else ELSEWHERE_BY_LOAD
    return Declined() if refusal.code in codes else DeclinedForAll()


@dataclasses.dataclass(frozen=True, slots=True)
class GuardInputs:
    """What the guards of the table look at.

    ``replayable``: the body can still be sent from its start.
    ``may_retry``: the retry budget, the attempts and the deadline allow
    another attempt. ``open_attempts`` counts attempts without a result,
    one that ended with the event left out. ``tainted``: an earlier attempt
    may have run. ``responsive_attempts`` counts the open attempts whose
    connection is not silent.
    """

    repeatable: bool
    replayable: bool = True
    may_retry: bool = True
    open_attempts: int = 0
    tainted: bool = False
    responsive_attempts: int = 0


class Guard(enum.Enum):
    """Condition of a row."""

    ALWAYS = 'always'
    OTHERS_OPEN = 'others open'
    OTHERS_HEARD = 'others open on connections that are not silent'
    CAN_RESEND = 'replayable and may retry'
    CAN_REPEAT = 'repeatable, replayable and may retry'
    TAINTED = 'tainted'


def holds(guard: Guard, facts: GuardInputs) -> bool:
    """Return whether the guard is met."""
    match guard:
        case Guard.ALWAYS:
            return True
        case Guard.OTHERS_OPEN:
            return facts.open_attempts > 0
        case Guard.OTHERS_HEARD:
            return facts.responsive_attempts > 0
        case Guard.CAN_RESEND:
            return facts.replayable and facts.may_retry
        case Guard.CAN_REPEAT:
            return facts.repeatable and facts.replayable and facts.may_retry
        case Guard.TAINTED:
            return facts.tainted


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """The first row whose guard holds counts."""

    guard: Guard
    phase: Phase
    action: Action


_CHOOSE = Transition(Guard.CAN_RESEND, Phase.CHOOSING, Action.CHOOSE)
_REPEAT = Transition(Guard.CAN_REPEAT, Phase.CHOOSING, Action.CHOOSE)
_OTHERS = Transition(Guard.OTHERS_OPEN, Phase.SENT, Action.AWAIT)
_SECOND = Transition(Guard.CAN_REPEAT, Phase.CHOOSING, Action.CHOOSE_HEDGE)
_WAIT = Transition(Guard.ALWAYS, Phase.SENT, Action.AWAIT)
_UNKNOWN = Transition(Guard.ALWAYS, Phase.UNKNOWN, Action.REPLY_UNKNOWN)
_TAINTED = Transition(Guard.TAINTED, Phase.UNKNOWN, Action.REPLY_UNKNOWN)
_NOT_RUN = Transition(Guard.ALWAYS, Phase.REFUSED, Action.REPLY_NOT_RUN)
_CANCEL = Transition(Guard.ALWAYS, Phase.CANCELLED, Action.CANCEL)

# A refusal that ends a request says "not run" only where no earlier attempt
# may have run; those rows come after a TAINTED row. Silence ends no attempt:
# in SENT only a result, the caller or the deadline (as Lost) does.
TRANSITIONS = {
    (Phase.RECEIVED, Rejected): (_NOT_RUN,),
    (Phase.RECEIVED, Admitted): (
        Transition(Guard.ALWAYS, Phase.CHOOSING, Action.CHOOSE),
    ),
    (Phase.RECEIVED, CallerLeft): (_CANCEL,),
    (Phase.CHOOSING, Found): (
        Transition(Guard.ALWAYS, Phase.CONNECTING, Action.CONNECT),
    ),
    (Phase.CHOOSING, NotFound): (_OTHERS, _TAINTED, _NOT_RUN),
    (Phase.CHOOSING, CallerLeft): (_CANCEL,),
    (Phase.CONNECTING, NotConnected): (_OTHERS, _CHOOSE, _TAINTED, _NOT_RUN),
    (Phase.CONNECTING, FirstByte): (
        Transition(Guard.ALWAYS, Phase.SENT, Action.AWAIT),
    ),
    (Phase.CONNECTING, CallerLeft): (_CANCEL,),
    (Phase.SENT, NotConnected): (_OTHERS, _CHOOSE, _TAINTED, _NOT_RUN),
    (Phase.SENT, Declined): (_OTHERS, _CHOOSE, _TAINTED, _NOT_RUN),
    (Phase.SENT, DeclinedForAll): (_OTHERS, _TAINTED, _NOT_RUN),
    (Phase.SENT, Lost): (_OTHERS, _REPEAT, _UNKNOWN),
    (Phase.SENT, Late): (_SECOND, _WAIT),
    (Phase.SENT, Silent): (
        Transition(Guard.OTHERS_HEARD, Phase.SENT, Action.AWAIT),
        _SECOND,
        _WAIT,
    ),
    (Phase.SENT, Completed): (
        Transition(Guard.ALWAYS, Phase.ANSWERED, Action.FORWARD_ANSWER),
    ),
    (Phase.SENT, CallerLeft): (_CANCEL,),
    (Phase.ANSWERED, StreamCut): (
        Transition(Guard.ALWAYS, Phase.CUT, Action.ABORT),
    ),
    (Phase.ANSWERED, CallerLeft): (_CANCEL,),
}


# Events after which the facts decide nothing, so that they need not be found.
UNGUARDED_EVENTS = frozenset(event for _, event in TRANSITIONS) - {
    event
    for (_, event), rows in TRANSITIONS.items()
    if any(row.guard is not Guard.ALWAYS for row in rows)
}
NO_INPUTS = GuardInputs(repeatable=False, replayable=False, may_retry=False)


def advance(phase: Phase, event, facts: GuardInputs) -> tuple[Phase, Action]:
    """Return the next phase and action.

    Raises KeyError for an event that cannot happen in the phase.
    """
    for row in TRANSITIONS[phase, type(event)]:
        if holds(row.guard, facts):
            return row.phase, row.action
    raise KeyError((phase, type(event)))


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Recent requests and retries of a node, decayed up to ``at``."""

    requests: float = 0.0
    retries: float = 0.0
    at: float = 0.0


def count_request(budget: RetryBudget, now: float) -> RetryBudget:
    """Return the budget after one more request."""
    fade = _fade(budget, now)
    return RetryBudget(budget.requests * fade + 1, budget.retries * fade, now)


def take_retry(budget: RetryBudget, now: float) -> tuple[RetryBudget, bool]:
    """Return the budget and whether one retry may be made now."""
    fade = _fade(budget, now)
    made = budget.retries * fade
    asked = budget.requests * fade
    allowed = made + 1 <= asked * RETRY_FRACTION + RETRY_EXTRA
    return RetryBudget(asked, made + allowed, now), allowed


def _fade(budget, now):
    return math.exp2(-max(0.0, now - budget.at) / BUDGET_HALF_LIFE_S)
