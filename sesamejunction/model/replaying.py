"""Recorded traces, results of replayed calls, and measures of them."""

import enum

from sesamejunction.model import valueclass


@valueclass.define
class Call:
    """One recorded request; ``at_ms`` counts from the start of the trace.

    ``key`` is the routing key or None, ``size`` the body length in bytes.
    ``once`` marks a call that may run at most once.
    """

    at_ms: float
    organisation: str
    service: str
    method: str
    path: str
    key: str | None
    size: int
    deadline_ms: int
    once: bool


class CallOutcome(enum.Enum):
    """How a call ended, from the caller's point of view.

    REFUSED calls did not run. UNKNOWN calls have a reply, but may or may not
    have run. CUT answers broke off after their head. LOST calls have no
    reply, UNREACHED ones no connection. CROSSED answers have the id of
    another call.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    LOST = 'lost'
    UNREACHED = 'unreached'
    CROSSED = 'crossed'


@valueclass.define
class Reply:
    """The reply that the caller received, or the reason why there is none.

    ``code`` is the refusal's code or names the failure; it is empty for an
    answer. ``target`` and ``owner`` are the answer's SJ-Target and SJ-Owner
    headers. ``named`` is set if the answer has the id of a call.
    """

    fate: CallOutcome
    status: int = 0
    code: str = ''
    owner: str | None = None
    target: str | None = None
    named: bool = False


@valueclass.define
class Result:
    """A call with its reply; times in seconds from the start of the trace.

    ``scheduled_s`` is the time of the call in the trace, ``sent_s`` when it
    was sent and ``done_s`` when its reply was complete.
    """

    call: Call
    reply: Reply
    scheduled_s: float
    sent_s: float
    done_s: float
    idempotency_key: str | None = None

    @property
    def latency_s(self) -> float:
        """Return the seconds from the scheduled time to the reply."""
        return self.done_s - self.scheduled_s

    @property
    def in_time(self) -> bool:
        """Return whether the complete answer met the deadline."""
        return (
            self.reply.fate is CallOutcome.ANSWERED
            and self.latency_s * 1000 <= self.call.deadline_ms
        )


@valueclass.define
class Execution:
    """One run as recorded by the target; times in boot-clock seconds.

    ``end`` is None for an unfinished run.
    """

    service: str
    target: str
    request_id: str
    idempotency_key: str | None
    key: str | None
    organisation: str
    start: float
    end: float | None


@valueclass.define
class History:
    """All runs recorded by one target."""

    service: str
    target: str
    executions: tuple[Execution, ...]


@valueclass.define
class Rate:
    """Declared rate of an organisation, in requests per second."""

    organisation: str
    rate: float
    burst: float


@valueclass.define
class Goal:
    """Required share of a service's calls that are answered in time.

    ``method`` None stands for all methods; ``share`` is from 0 to 1.
    """

    service: str
    method: str | None
    within_ms: float
    share: float


@valueclass.define
class Bounds:
    """Required outcomes; goals in ``report`` are printed, not enforced."""

    orders_run_twice: int | None = None
    answers_lost_or_cut: int | None = None
    answers_crossed: int | None = None
    goals: tuple[Goal, ...] = ()
    report: tuple[Goal, ...] = ()


@valueclass.define
class Latency:
    """Latency of the answered calls of a service, in milliseconds."""

    service: str
    calls: int
    answered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@valueclass.define
class Imbalance:
    """Highest number of requests at one target, compared with the mean."""

    service: str
    targets: int
    mean: float
    most: int
    ratio: float


@valueclass.define
class Outage:
    """Time for which one key was unavailable, in seconds."""

    service: str
    key: str
    longest_s: float
    total_s: float


@valueclass.define
class OrganisationMeasure:
    """Service quality for one organisation.

    ``refused_within`` counts refused calls that were within the declared
    rate and burst. ``share`` is in_time / within_rate.
    """

    organisation: str
    calls: int
    within_rate: int
    in_time: int
    refused_within: int
    share: float


@valueclass.define
class OutcomeCount:
    """Number of calls that ended with one outcome and code."""

    fate: CallOutcome
    code: str
    calls: int


@valueclass.define
class Verdict:
    """Result for one required outcome; ``met`` is None if not measured.

    ``binding`` is False for a goal that is only reported.
    """

    outcome: str
    wanted: str
    measured: str
    met: bool | None
    binding: bool


@valueclass.define
class Measures:
    """All measures of a replay.

    ``orders_run_twice`` is None without run histories, ``answers_crossed``
    if no answer carried the id of a call. ``send_lag_p99_ms`` is the delay
    with which the replay itself sent its calls; latencies include it.
    """

    calls: int
    send_lag_p99_ms: float
    fates: tuple[OutcomeCount, ...]
    latencies: tuple[Latency, ...]
    imbalances: tuple[Imbalance, ...]
    owner_changes: int
    keys_with_owner_change: int
    outages: tuple[Outage, ...]
    organisations: tuple[OrganisationMeasure, ...]
    worst_served: OrganisationMeasure | None
    refused_within_rate: int
    orders_run_twice: int | None
    answers_lost_or_cut: int
    answers_crossed: int | None
    verdicts: tuple[Verdict, ...] = ()


@valueclass.define
class Progress:
    """Progress of a replay; times in seconds."""

    elapsed_s: float
    length_s: float
    sent: int
    running: int
    answered: int
    refused: int
    failed: int
