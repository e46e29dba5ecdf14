"""Messages of the chooser task, which selects a member for each attempt."""

import enum

from sesamejunction.model import requests
from sesamejunction.model import valueclass


@valueclass.define
class ChooseCandidate:
    """Requests a candidate; the reply is Chosen or NoCandidate.

    ``tried`` lists incarnations that must not be chosen again. ``owner`` is
    the ``host:port`` named by a NOT_OWNER refusal. ``first`` is set for the
    first attempt of a request, which adds to its service's retry budget.
    """

    head: requests.Head
    tried: tuple[int, ...] = ()
    owner: str | None = None
    first: bool = False


@valueclass.define
class Chosen:
    """The chosen candidate.

    ``hedge_delay_s`` is the delay before a hedged attempt, None if there is
    no other candidate or no latency has been measured yet.
    """

    candidate: requests.Candidate
    hedge_delay_s: float | None = None


@valueclass.define
class AskExpectedWait:
    """Asks a node for the expected wait of one more request of a route.

    The reply is ExpectedWait.
    """

    service: str
    route: str


@valueclass.define
class ExpectedWait:
    """Expected wait and run time of one more request, in seconds.

    ``wait_s`` is infinite if the node would refuse it. ``slots`` is how many
    requests run at the target at once.
    """

    wait_s: float
    run_s: float
    slots: int


@valueclass.define
class WaitsAnswered:
    """The questions of a choice have ended.

    ``answers`` has (ExpectedWait, time of arrival) by incarnation.
    """

    choice: object
    answers: dict


@valueclass.define
class NoCandidate:
    """No candidate; ``is_permanent`` means that waiting cannot help."""

    reason: str
    is_permanent: bool = False


class RetryReason(enum.Enum):
    """Why a further attempt is made."""

    LATE = 'late'
    SILENT = 'silent'
    LOST = 'lost'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'


@valueclass.define
class TakeRetry:
    """Takes one retry from the budget of a service; the reply is a bool."""

    request_id: str
    service: str
    reason: RetryReason


@valueclass.define
class ReturnRetry:
    """Returns a retry whose attempt has reached no target."""

    service: str


@valueclass.define
class AttemptEnded:
    """Reports the end of an attempt at a member.

    ``latency_s`` is the time to the head of the answer, None without an
    answer. ``load`` is the load that the member reported. ``failed`` is set
    if the attempt ended without a reply, neither answer nor refusal.
    ``abandoned_s`` is the age of an attempt that was cancelled before it had
    a result, None for others.
    """

    service: str
    incarnation: int
    latency_s: float | None
    load: requests.Load | None = None
    failed: bool = False
    abandoned_s: float | None = None
