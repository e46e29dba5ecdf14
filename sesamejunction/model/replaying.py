"""A recorded trace, what came of its calls, and the measures."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One recorded request; times in milliseconds from the trace's start.

    ``key`` is the routing key or None, ``size`` the body length in bytes.
    A call with ``once`` may run at most once.
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
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    LOST = 'lost'
    UNREACHED = 'unreached'
    CROSSED = 'crossed'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a caller received; ``code`` is the refusal's code or empty.

    ``target`` and ``owner`` are the answer's SJ-Target and SJ-Owner.
    ``named`` says that the answer carried the id of a call.
    """

    fate: CallOutcome
    status: int = 0
    code: str = ''
    owner: str | None = None
    target: str | None = None
    named: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A call with its reply; times in seconds from the trace's start.

    ``scheduled_s`` is when the trace wants the call, ``sent_s`` when it was
    started and ``done_s`` when its reply was complete.
    """

    call: Call
    reply: Reply
    scheduled_s: float
    sent_s: float
    done_s: float
    idempotency_key: str | None = None

    @property
    def latency_s(self) -> float:
        """Return the time since the scheduled moment, in seconds."""
        return self.done_s - self.scheduled_s

    @property
    def in_time(self) -> bool:
        """Return whether the complete answer came within the deadline."""
        return (
            self.reply.fate is CallOutcome.ANSWERED
            and self.latency_s * 1000 <= self.call.deadline_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One run as the target itself noted it; boot-clock seconds.

    ``end`` is None for a run that has not ended.
    """

    service: str
    target: str
    request_id: str
    idempotency_key: str | None
    key: str | None
    organisation: str
    start: float
    end: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """All runs of one target."""

    service: str
    target: str
    executions: tuple[Execution, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Declared rate of an organisation, in requests a second."""

    organisation: str
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """Wanted share of a service's calls answered within a time.

    ``method`` None means all methods; ``share`` is from 0 to 1.
    """

    service: str
    method: str | None
    within_ms: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Stated outcomes; a missed goal of ``report`` is only printed."""

    orders_run_twice: int | None = None
    answers_lost_or_cut: int | None = None
    answers_crossed: int | None = None
    goals: tuple[Goal, ...] = ()
    report: tuple[Goal, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Latency of the answered calls of a service, in milliseconds."""

    service: str
    calls: int
    answered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Imbalance:
    """Most requests at one target of a service against the mean."""

    service: str
    targets: int
    mean: float
    most: int
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Unavailable time of one key, in seconds."""

    service: str
    key: str
    longest_s: float
    total_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationMeasure:
    """Service that one organisation received.

    ``refused_within`` counts calls refused although the declared rate and
    burst admit them; ``share`` is in_time / within_rate.
    """

    organisation: str
    calls: int
    within_rate: int
    in_time: int
    refused_within: int
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Calls that ended with one fate and code."""

    fate: CallOutcome
    code: str
    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """One stated outcome; ``met`` is None when it was not measured.

    ``binding`` is False for a goal that is only reported.
    """

    outcome: str
    wanted: str
    measured: str
    met: bool | None
    binding: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """All measures of a replay; ``orders_run_twice`` needs histories.

    ``answers_crossed`` is None when no answer carried the id of a call.

    ``send_lag_p99_ms`` is how late the replay itself started its calls;
    latencies contain it.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far a replay is; times in seconds."""

    elapsed_s: float
    length_s: float
    sent: int
    running: int
    answered: int
    refused: int
    failed: int
