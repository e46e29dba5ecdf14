"""State machine of one request over all its attempts."""

import enum

from sesamejunction.model import requests
from sesamejunction.model import valueclass


class Phase(enum.Enum):
    """State of a request; CUT means that its answer was incomplete."""

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
    """What the caller of the state machine does next."""

    CHOOSE = 'choose'
    CONNECT = 'connect'
    AWAIT = 'await'
    CHOOSE_HEDGE = 'choose-second'
    FORWARD_ANSWER = 'pass-on'
    REPLY_NOT_RUN = 'say-not-run'
    REPLY_UNKNOWN = 'say-unknown'
    CANCEL = 'cancel'
    ABORT = 'abort'


@valueclass.define
class Rejected:
    """The request is refused before its first attempt.

    Reasons are its caller key, rate or deadline, or a missing lease.
    """


@valueclass.define
class Admitted:
    """The request has passed the checks of caller key, rate and lease."""


@valueclass.define
class Found:
    """A candidate for the next attempt was chosen."""


@valueclass.define
class NotFound:
    """No candidate was available before the deadline."""


@valueclass.define
class FirstByte:
    """The first byte of an attempt may have been sent."""


@valueclass.define
class NotConnected:
    """An attempt failed before its first byte could be sent."""


@valueclass.define
class Declined:
    """A node or target did not run the request; another candidate may."""


@valueclass.define
class DeclinedForAll:
    """A node or target did not run the request; all others would refuse it."""


@valueclass.define
class Lost:
    """An attempt has no usable answer; it may have run.

    The connection was cut, or the answer came too late or belonged to
    another request.
    """


@valueclass.define
class Late:
    """No answer arrived before a hedged attempt became due."""


@valueclass.define
class Silent:
    """Nothing is received on the connection of an open attempt.

    The attempt may still run, and its answer may still arrive.
    """


@valueclass.define
class Completed:
    """The head of the answer with the attempt's own id was received."""


@valueclass.define
class CallerLeft:
    """The caller closed its connection."""


@valueclass.define
class StreamCut:
    """The answer was cut before its end."""


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
# The same for requests that any target may run. For a request of one key, the
# added codes are final: only the owner may run it, and a retry adds load.
RETRYABLE_CODES_BY_LOAD = RETRYABLE_CODES | {
    requests.Code.OVERLOADED,
    requests.Code.SHED,
    requests.Code.ZONE_OUT,
}


def classify_refusal(refusal: requests.Refusal, keyed: bool):
    """Return Lost, Declined or DeclinedForAll.

    ``keyed`` is true if only the owner of a slot may run the request.
    """
    if refusal.outcome is requests.Outcome.UNKNOWN:
        return Lost()
    codes = RETRYABLE_CODES if keyed else RETRYABLE_CODES_BY_LOAD
    return Declined() if refusal.code in codes else DeclinedForAll()


@valueclass.define
class GuardInputs:
    """Conditions that the guards of the transitions depend on.

    ``replayable``: the body can still be sent from its start.
    ``may_retry``: the retry budget, the number of attempts and the deadline
    allow another attempt. ``open_attempts`` counts attempts without a result,
    excluding the one that the event ends. ``may_have_run``: an earlier
    attempt may have run. ``responsive_attempts`` counts the open attempts
    whose connection is not silent.
    """

    repeatable: bool
    replayable: bool = True
    may_retry: bool = True
    open_attempts: int = 0
    may_have_run: bool = False
    responsive_attempts: int = 0


class Guard(enum.Enum):
    """Condition of a transition."""

    ALWAYS = 'always'
    OTHERS_OPEN = 'others open'
    OTHERS_RESPONSIVE = 'others open on connections that are not silent'
    CAN_RESEND = 'replayable and may retry'
    CAN_REPEAT = 'repeatable, replayable and may retry'
    MAY_HAVE_RUN = 'tainted'


def is_met(guard: Guard, inputs: GuardInputs) -> bool:
    """Return whether the guard is satisfied."""
    match guard:
        case Guard.ALWAYS:
            return True
        case Guard.OTHERS_OPEN:
            return inputs.open_attempts > 0
        case Guard.OTHERS_RESPONSIVE:
            return inputs.responsive_attempts > 0
        case Guard.CAN_RESEND:
            return inputs.replayable and inputs.may_retry
        case Guard.CAN_REPEAT:
            return inputs.repeatable and inputs.replayable and inputs.may_retry
        case Guard.MAY_HAVE_RUN:
            return inputs.may_have_run


@valueclass.define
class Transition:
    """Next phase and action if the guard is satisfied.

    The first transition of an event whose guard is satisfied applies.
    """

    guard: Guard
    phase: Phase
    action: Action


_CHOOSE = Transition(Guard.CAN_RESEND, Phase.CHOOSING, Action.CHOOSE)
_REPEAT = Transition(Guard.CAN_REPEAT, Phase.CHOOSING, Action.CHOOSE)
_AWAIT_OTHERS = Transition(Guard.OTHERS_OPEN, Phase.SENT, Action.AWAIT)
_HEDGE = Transition(Guard.CAN_REPEAT, Phase.CHOOSING, Action.CHOOSE_HEDGE)
_AWAIT = Transition(Guard.ALWAYS, Phase.SENT, Action.AWAIT)
_UNKNOWN = Transition(Guard.ALWAYS, Phase.UNKNOWN, Action.REPLY_UNKNOWN)
_MAY_HAVE_RUN = Transition(
    Guard.MAY_HAVE_RUN, Phase.UNKNOWN, Action.REPLY_UNKNOWN
)
_NOT_RUN = Transition(Guard.ALWAYS, Phase.REFUSED, Action.REPLY_NOT_RUN)
_CANCEL = Transition(Guard.ALWAYS, Phase.CANCELLED, Action.CANCEL)

# A request ends with "not run" only if no earlier attempt may have run, so
# these transitions follow one with the guard MAY_HAVE_RUN. Silence ends no
# attempt: in SENT only a result, the deadline (as Lost) or a
# caller that closes its connection does.
TRANSITIONS = {
    (Phase.RECEIVED, Rejected): (_NOT_RUN,),
    (Phase.RECEIVED, Admitted): (
        Transition(Guard.ALWAYS, Phase.CHOOSING, Action.CHOOSE),
    ),
    (Phase.RECEIVED, CallerLeft): (_CANCEL,),
    (Phase.CHOOSING, Found): (
        Transition(Guard.ALWAYS, Phase.CONNECTING, Action.CONNECT),
    ),
    (Phase.CHOOSING, NotFound): (_AWAIT_OTHERS, _MAY_HAVE_RUN, _NOT_RUN),
    (Phase.CHOOSING, CallerLeft): (_CANCEL,),
    (Phase.CONNECTING, NotConnected): (
        _AWAIT_OTHERS,
        _CHOOSE,
        _MAY_HAVE_RUN,
        _NOT_RUN,
    ),
    (Phase.CONNECTING, FirstByte): (
        Transition(Guard.ALWAYS, Phase.SENT, Action.AWAIT),
    ),
    (Phase.CONNECTING, CallerLeft): (_CANCEL,),
    (Phase.SENT, NotConnected): (
        _AWAIT_OTHERS,
        _CHOOSE,
        _MAY_HAVE_RUN,
        _NOT_RUN,
    ),
    (Phase.SENT, Declined): (_AWAIT_OTHERS, _CHOOSE, _MAY_HAVE_RUN, _NOT_RUN),
    (Phase.SENT, DeclinedForAll): (_AWAIT_OTHERS, _MAY_HAVE_RUN, _NOT_RUN),
    (Phase.SENT, Lost): (_AWAIT_OTHERS, _REPEAT, _UNKNOWN),
    (Phase.SENT, Late): (_HEDGE, _AWAIT),
    (Phase.SENT, Silent): (
        Transition(Guard.OTHERS_RESPONSIVE, Phase.SENT, Action.AWAIT),
        _HEDGE,
        _AWAIT,
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


# Events whose transitions have no guards, so that callers need not compute
# the inputs.
UNGUARDED_EVENTS = frozenset(event for _, event in TRANSITIONS) - {
    event
    for (_, event), transitions in TRANSITIONS.items()
    if any(transition.guard is not Guard.ALWAYS for transition in transitions)
}
NO_INPUTS = GuardInputs(repeatable=False, replayable=False, may_retry=False)


def advance(phase: Phase, event, inputs: GuardInputs) -> tuple[Phase, Action]:
    """Return the next phase and action.

    Raises KeyError for an event that cannot happen in the phase.
    """
    for transition in TRANSITIONS[phase, type(event)]:
        if is_met(transition.guard, inputs):
            return transition.phase, transition.action
    raise KeyError((phase, type(event)))
