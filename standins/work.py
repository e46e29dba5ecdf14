"""What a target stand-in accepts: grants, fencing, slots and cold start."""

import collections
import dataclasses
import enum

# A cold target fails when it holds more than this multiple of its limit.
FALL_FACTOR = 2
FALLEN_S = 1.0
HISTORY_LIMIT = 200_000
SAMPLE_LIMIT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request for work; times in seconds of CLOCK_BOOTTIME."""

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
    """History entry; ``end`` is None while the work runs."""

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
    """Why work was not started."""

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
    """The target has failed under load; its connections are cut."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The work runs; ``slowdown`` multiplies its time."""

    run: Run
    slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens from ``floor`` on may start work until ``end`` (seconds)."""

    floor: tuple[int, int]
    end: float
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """What a target is; ``needs_grant`` refuses work before any grant."""

    name: str
    service: str
    slots: int
    cold_slots: int
    checks_grants: bool
    needs_grant: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Load at one time."""

    at: float
    in_flight: int
    limit: int
    served: int
    shed: int
    falls: int
    draining: bool
    fallen: bool


class WorkAdmission:
    """Decides on work and records what ran; all times are given."""

    def __init__(self, profile: Profile):
        self.profile = profile
        self.grant = None
        self.limit = profile.cold_slots
        self.draining = False
        self.fallen_until = 0.0
        self.in_flight = 0
        self.served = 0
        self.shed = 0
        self.overload_failures = 0
        self.history = collections.deque(maxlen=HISTORY_LIMIT)
        self._warmed = 0
        self._tokens = {}
        self._samples = collections.deque(maxlen=SAMPLE_LIMIT)

    def update_grant(self, grant: Grant) -> bool:
        """Take a grant; an older one of the same incarnation is refused."""
        held = self.grant
        if (
            held is not None
            and held.incarnation == grant.incarnation
            and grant.end < held.end
        ):
            return False
        self.grant = grant
        return True

    def start(self, work: Work, now: float) -> Accepted | Refused | Overloaded:
        """Decide on one request and start it when it may run."""
        if now < self.fallen_until:
            return Overloaded()
        reason = self._find_reason(work, now)
        if reason is not None:
            self.shed += reason is Reason.SHED
            self._note(now)
            return Refused(reason)
        held = self.in_flight + 1
        cold = self.limit < self.profile.slots
        if cold and held > FALL_FACTOR * self.limit:
            self._fall(now)
            return Overloaded()
        if work.slot is not None and work.token is not None:
            self._tokens[work.slot] = work.token
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
        self.in_flight = held
        self._note(now)
        return Accepted(run, max(1.0, held / self.limit))

    def finish(self, run: Run, now: float, finished: bool) -> None:
        """Record the end of a run; good ones warm the target up."""
        run.end = now
        run.finished = finished
        self.in_flight -= 1
        if finished:
            self.served += 1
            self._warm()
        self._note(now)

    def find_stop_time(self, work: Work) -> float | None:
        """Return when running work must stop, None without a limit."""
        ends = [] if work.end is None else [work.end]
        if self.profile.checks_grants and self.grant is not None:
            ends.append(self.grant.end)
        return min(ends, default=None)

    def reset_to_cold(self) -> None:
        """Become cold again."""
        self.limit = self.profile.cold_slots
        self._warmed = 0

    def read_load(self, now: float, lag_s: float) -> Sample:
        """Return the load as it was ``lag_s`` ago."""
        found = self._sample(now)
        if lag_s <= 0 or not self._samples:
            return found
        for found in reversed(self._samples):
            if found.at <= now - lag_s:
                break
        return found

    def _find_reason(self, work, now) -> Reason | None:
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
        if work.token < self._tokens.get(work.slot, work.token):
            return Reason.TOKEN_OLD
        return None

    def _warm(self) -> None:
        if self.limit >= self.profile.slots:
            return
        self._warmed += 1
        if self._warmed >= self.limit:
            self._warmed = 0
            self.limit += 1

    def _fall(self, now) -> None:
        self.overload_failures += 1
        self.fallen_until = now + FALLEN_S
        self.reset_to_cold()
        self._note(now)

    def _note(self, now) -> None:
        self._samples.append(self._sample(now))

    def _sample(self, now) -> Sample:
        return Sample(
            now,
            self.in_flight,
            self.limit,
            self.served,
            self.shed,
            self.overload_failures,
            self.draining,
            now < self.fallen_until,
        )
