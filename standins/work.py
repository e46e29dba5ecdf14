"""Admission of the target stand-in: grants, fencing, slots, cold start."""

import collections
import dataclasses
import enum

# A cold target fails when its load exceeds this multiple of its limit.
OVERLOAD_FACTOR = 2
OVERLOAD_RECOVERY_S = 1.0
HISTORY_LIMIT = 200_000
SAMPLE_LIMIT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request for work; times are CLOCK_BOOTTIME seconds.

    ``token`` is (epoch, place). ``key_seen`` tells whether the request
    contains a caller key.
    """

    request_id: str
    organisation: str = ''
    service: str = ''
    route_key: str | None = None
    idempotency_key: str | None = None
    slot: int | None = None
    token: tuple[int, int] | None = None
    start_before: float | None = None
    end: float | None = None
    key_seen: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """A run of work in the history; ``end`` is None while it runs."""

    target: str
    service: str
    request_id: str
    organisation: str
    route_key: str | None
    idempotency_key: str | None
    slot: int | None
    token: tuple[int, int] | None
    key_seen: bool
    start: float
    end: float | None = None
    finished: bool = False


class Reason(enum.Enum):
    """Reason for which work was not started."""

    SHED = 'shed'
    DRAINING = 'draining'
    NO_GRANT = 'no-grant'
    GRANT_ENDED = 'grant-ended'
    TOKEN_OLD = 'token-old'
    TOO_LATE = 'too-late'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The work was not started."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """The target has failed from overload; its connections are cut."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The work runs; ``slowdown`` multiplies its duration."""

    run: Run
    slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lets work with a token of at least ``floor`` start until ``end`` (s)."""

    floor: tuple[int, int]
    end: float
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Properties of a target.

    ``slots`` is the limit of requests that run at once. A cold target slows
    down above ``cold_slots``; this limit rises as it finishes work. With
    ``checks_grants`` work is refused after the end of a grant or with an old
    token, and with ``needs_grant`` also before the first grant.
    """

    name: str
    service: str
    slots: int
    cold_slots: int
    checks_grants: bool
    needs_grant: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Load and counters of the target at one time.

    ``falls`` counts failures from overload; ``fallen`` is true during one.
    """

    at: float
    in_flight: int
    limit: int
    served: int
    shed: int
    falls: int
    draining: bool
    fallen: bool


class WorkAdmission:
    """Admits work and records its runs; callers pass the current time."""

    def __init__(self, profile: Profile):
        self.profile = profile
        self.grant = None
        self.limit = profile.cold_slots
        self.draining = False
        self.failed_until = 0.0
        self.in_flight = 0
        self.served = 0
        self.shed = 0
        self.overload_failures = 0
        self.history = collections.deque(maxlen=HISTORY_LIMIT)
        self._served_at_limit = 0
        self._newest_tokens = {}
        self._samples = collections.deque(maxlen=SAMPLE_LIMIT)

    def update_grant(self, grant: Grant) -> bool:
        """Store a grant; returns False if it ends before the present one.

        A grant of another incarnation is always stored.
        """
        current = self.grant
        if (
            current is not None
            and current.incarnation == grant.incarnation
            and grant.end < current.end
        ):
            return False
        self.grant = grant
        return True

    def start(self, work: Work, now: float) -> Accepted | Refused | Overloaded:
        """Start the work of a request, or return why it may not run."""
        if now < self.failed_until:
            return Overloaded()
        reason = self._find_refusal_reason(work, now)
        if reason is not None:
            self.shed += reason is Reason.SHED
            self._record_sample(now)
            return Refused(reason)
        load = self.in_flight + 1
        is_cold = self.limit < self.profile.slots
        if is_cold and load > OVERLOAD_FACTOR * self.limit:
            self._fail_from_overload(now)
            return Overloaded()
        if work.slot is not None and work.token is not None:
            self._newest_tokens[work.slot] = work.token
        run = Run(
            self.profile.name,
            work.service or self.profile.service,
            work.request_id,
            work.organisation,
            work.route_key,
            work.idempotency_key,
            work.slot,
            work.token,
            work.key_seen,
            now,
        )
        self.history.append(run)
        self.in_flight = load
        self._record_sample(now)
        return Accepted(run, max(1.0, load / self.limit))

    def finish(self, run: Run, now: float, finished: bool) -> None:
        """Record the end of a run; finished ones raise a cold limit."""
        run.end = now
        run.finished = finished
        self.in_flight -= 1
        if finished:
            self.served += 1
            self._warm_up()
        self._record_sample(now)

    def find_stop_time(self, work: Work) -> float | None:
        """Return the time at which work must stop, None without a limit."""
        ends = [] if work.end is None else [work.end]
        if self.profile.checks_grants and self.grant is not None:
            ends.append(self.grant.end)
        return min(ends, default=None)

    def reset_to_cold(self) -> None:
        """Lower the limit to that of a cold target."""
        self.limit = self.profile.cold_slots
        self._served_at_limit = 0

    def read_load(self, now: float, lag_s: float) -> Sample:
        """Return the load as it was ``lag_s`` ago."""
        sample = self._take_sample(now)
        if lag_s <= 0 or not self._samples:
            return sample
        for sample in reversed(self._samples):
            if sample.at <= now - lag_s:
                break
        return sample

    def _find_refusal_reason(self, work, now) -> Reason | None:
        if work.start_before is not None and now >= work.start_before:
            return Reason.TOO_LATE
        if work.end is not None and now >= work.end:
            return Reason.TOO_LATE
        if self.profile.checks_grants:
            reason = self._check_fence(work, now)
            if reason is not None:
                return reason
        if self.draining:
            return Reason.DRAINING
        if self.in_flight >= self.profile.slots:
            return Reason.SHED
        return None

    def _check_fence(self, work, now) -> Reason | None:
        if self.grant is None and self.profile.needs_grant:
            return Reason.NO_GRANT
        if self.grant is not None and now >= self.grant.end:
            return Reason.GRANT_ENDED
        if work.token is None:
            return None
        if self.grant is not None and work.token < self.grant.floor:
            return Reason.TOKEN_OLD
        if work.token < self._newest_tokens.get(work.slot, work.token):
            return Reason.TOKEN_OLD
        return None

    def _warm_up(self) -> None:
        if self.limit >= self.profile.slots:
            return
        self._served_at_limit += 1
        if self._served_at_limit >= self.limit:
            self._served_at_limit = 0
            self.limit += 1

    def _fail_from_overload(self, now) -> None:
        self.overload_failures += 1
        self.failed_until = now + OVERLOAD_RECOVERY_S
        self.reset_to_cold()
        self._record_sample(now)

    def _record_sample(self, now) -> None:
        self._samples.append(self._take_sample(now))

    def _take_sample(self, now) -> Sample:
        return Sample(
            now,
            self.in_flight,
            self.limit,
            self.served,
            self.shed,
            self.overload_failures,
            self.draining,
            now < self.failed_until,
        )
