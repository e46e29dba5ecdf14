"""Queue of the requests for one target, by rank, and expected waits."""

import collections.abc
import math
import typing

from sesamejunction.decisions import coldstart
from sesamejunction.decisions import fairness
from sesamejunction.model import requests
from sesamejunction.model import valueclass

# Weight of a new service time in the moving average.
AVERAGE_WEIGHT = 0.05
# Service time that is assumed before the first answer.
DEFAULT_SERVICE_TIME_S = 0.05
# A refused caller should not retry before the queue has moved.
MIN_RETRY_DELAY_S = 0.05
# A request starts only if this fraction of its usual service time is left.
MIN_START_FRACTION = 0.5
# Factor on expected waits: requests take longer than average while a target
# is fully loaded.
MIN_WAIT_FACTOR = 1.25
# Waits can also be longer because later requests go first, by rank or fair
# queueing, and because answers that never arrived are not in the average. A
# wait that exceeds its deadline raises the factor as much as about 15 waits
# that end in a start lower it, so at least nine of ten waits should end in a
# start. Above 4, hardly any request would be queued.
MAX_WAIT_FACTOR = 4.0
EXPIRY_RAISE = 1.08
START_DECAY = 0.995
# A reported slowness is forgotten after this time without news. Machines are
# slow for about 0.4 s, and a target with work answers many times in it.
SLOWNESS_MAX_AGE_S = 0.5
# Expected rest of a slow spell, which takes about 0.4 s in all. Work that
# takes longer continues at the speed of the last seconds; otherwise a queue
# would look as if it stayed slow, and requests that fit would be refused.
SPELL_REST_S = 0.2
# Half-life of the average slowness that counts for the capacity. Moving keys
# interrupts their service and costs about as much time as one slow spell, so
# the average has to be longer than many spells.
SLOWNESS_HALF_LIFE_S = 8.0
# A running request counts with at least this fraction of its expected time:
# one that takes longer than expected is not finished.
MIN_REMAINING_FRACTION = 0.25


@valueclass.define
class PendingRequest:
    """A request for the target; times are boot-clock seconds.

    ``reply`` is the future that gets the admission or the refusal.
    ``objective`` and ``standing`` as in requests.Head.
    """

    request_id: str
    organisation: str
    route: str
    rank: int
    deadline: float
    weight: float = 1.0
    reply: typing.Any = None
    objective: float = math.inf
    standing: requests.Standing = requests.Standing.NEW

    @property
    def lane(self) -> tuple[int, int]:
        """Return the standing and rank as a key; the lowest goes first."""
        return -self.standing.value, self.rank


@valueclass.define
class Ahead:
    """Requests that start before another one, and their expected work."""

    count: int
    work_s: float


class Slowness:
    """How many times slower than usual the target reports to be now."""

    def __init__(self):
        self._value = 1.0
        self._average = 1.0
        self.reported_at = float('-inf')
        # Whether the target has ever reported its slowness.
        self.is_known = False

    def report(self, value: float, now: float) -> None:
        """Store a report that has just arrived."""
        self._average = self.find_average(now)
        self._value = value
        self.reported_at = now
        self.is_known = True

    def find_average(self, now: float) -> float:
        """Return the average over some seconds; no news counts as 1."""
        if not self.is_known:
            return 1.0
        passed_s = max(0.0, now - self.reported_at)
        known_s = min(passed_s, SLOWNESS_MAX_AGE_S)
        average = _approach(self._average, self._value, known_s)
        return _approach(average, 1.0, passed_s - known_s)

    def find(self, now: float) -> float:
        """Return the present factor, 1 without recent news."""
        if now - self.reported_at > SLOWNESS_MAX_AGE_S:
            return 1.0
        return self._value


def _approach(average: float, value: float, held_s: float) -> float:
    """Return the average after ``value`` has held for a time."""
    weight = 1.0 - math.exp2(-held_s / SLOWNESS_HALF_LIFE_S)
    return average + (value - average) * weight


class ServiceTimes:
    """Moving average of the service time, by route and overall.

    The averages are of the target's usual speed; a slowness that it reports
    scales what is expected now.
    """

    def __init__(self, clock=lambda: 0.0):
        self._times = {}
        self._mean = DEFAULT_SERVICE_TIME_S
        self._clock = clock
        self._slowness = Slowness()

    def report_slowness(self, value: float) -> None:
        """Store the slowness that the target has just reported."""
        self._slowness.report(value, self._clock())

    def record(
        self, route: str, taken_s: float, slowness: float | None = None
    ) -> None:
        """Add the service time of one answer.

        ``slowness`` was reported with it; the averages would follow each
        slow spell without it.
        """
        if slowness is not None:
            taken_s /= slowness
        known = self._times.get(route, taken_s)
        self._times[route] = known + (taken_s - known) * AVERAGE_WEIGHT
        self._mean += (taken_s - self._mean) * AVERAGE_WEIGHT

    def expect(self, route: str) -> float:
        """Return the service time of a request of a route expected now."""
        return self._scale(self._times.get(route, self._mean))

    def find_measured(self, route: str) -> float:
        """Return the time expected of a route, inf before its first answer."""
        return self.expect(route) if route in self._times else math.inf

    @property
    def mean(self) -> float:
        """Return the average over all routes, as expected now."""
        return self._scale(self._mean)

    def _scale(self, usual_s: float) -> float:
        """Return how long work takes that begins now.

        ``usual_s`` is how long it takes at the usual speed.
        """
        # Most targets report no speed, and this is asked for each request.
        if not self._slowness.is_known:
            return usual_s
        now = self._clock()
        present = self._slowness.find(now)
        lasting = self._slowness.find_average(now)
        if present <= lasting:
            return usual_s * present
        return min(
            usual_s * present,
            usual_s * lasting + SPELL_REST_S * (1.0 - lasting / present),
        )

    @property
    def lasting_mean(self) -> float:
        """Return the average over all routes and over some seconds.

        Unlike ``mean`` it does not follow short slow spells.
        """
        return self._mean * self._slowness.find_average(self._clock())

    @property
    def slowness(self) -> float:
        """Return how many times slower than usual the target is now."""
        if not self._slowness.is_known:
            return 1.0
        return self._slowness.find(self._clock())

    @property
    def reports_speed(self) -> bool:
        """Return whether the target has ever reported its slowness."""
        return self._slowness.is_known

    def estimate_work(self, running, queued: int, slots: int) -> float:
        """Return the seconds of work that are left at the target.

        ``running`` begins with a PendingRequest and its start for each request
        under way; ``queued`` requests count with the average time. ``slots``
        requests run at once.
        """
        now, slowness = self._clock(), self.slowness
        usual_s = queued * self._mean
        for pending_request, started, _ in running:
            run_s = self._times.get(pending_request.route, self._mean)
            usual_s += max(
                run_s * MIN_REMAINING_FRACTION,
                run_s - (now - started) / slowness,
            )
        slots = max(1, slots)
        return self._scale(usual_s / slots) * slots


class WaitFactor:
    """Factor on expected waits, adapted by the results of former waits."""

    def __init__(self):
        self.value = MIN_WAIT_FACTOR

    def count_start(self) -> None:
        """Lower the factor after a queued request has started."""
        self.value = max(MIN_WAIT_FACTOR, self.value * START_DECAY)

    def count_expiry(self) -> None:
        """Raise the factor after a request waited too long to start."""
        self.value = min(MAX_WAIT_FACTOR, self.value * EXPIRY_RAISE)


class RankedQueue:
    """Requests by rank; a fair queue of organisations within each rank.

    Calls of running requests are queued before those that have not begun.
    """

    def __init__(self, times: ServiceTimes):
        self._times = times
        self._lanes = {}
        self._requests_by_id = {}

    def __len__(self):
        return len(self._requests_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests_by_id

    def add_arrival(self, pending_request: PendingRequest) -> None:
        """Ignore a new request; the shares do not depend on arrivals."""

    def push(self, pending_request: PendingRequest, now: float) -> None:
        """Queue a request; its id must not be in the queue."""
        queue = self._lanes.get(pending_request.lane)
        if queue is None:
            queue = self._lanes[pending_request.lane] = fairness.FairQueue()
        queue.push(
            pending_request.organisation,
            pending_request.request_id,
            pending_request.weight,
            pending_request,
        )
        self._requests_by_id[pending_request.request_id] = pending_request

    def pop(self, now: float) -> PendingRequest:
        """Remove and return the next request."""
        lane = min(
            used_lane for used_lane, queue in self._lanes.items() if len(queue)
        )
        pending_request = self._lanes[lane].pop().item
        del self._requests_by_id[pending_request.request_id]
        return pending_request

    def remove(self, request_id: str) -> PendingRequest | None:
        """Remove and return a request, or None if it is not queued."""
        pending_request = self._requests_by_id.pop(request_id, None)
        if pending_request is not None:
            self._lanes[pending_request.lane].remove(
                pending_request.organisation, request_id
            )
        return pending_request

    def list_waiting(self, now: float) -> list[PendingRequest]:
        """Return all requests, the next one first."""
        return [
            queued.item
            for lane in sorted(self._lanes)
            for queued in self._lanes[lane].list_waiting()
        ]

    def list_last(self) -> list[PendingRequest]:
        """Return no requests; late ones are found by ``list_late`` only."""
        return []

    def drain(self) -> list[PendingRequest]:
        """Remove and return all requests."""
        drained = list(self._requests_by_id.values())
        self._lanes.clear()
        self._requests_by_id.clear()
        return drained

    def expect(self, _route: str) -> float:
        """Return the time that a request takes from those behind it."""
        return self._times.mean

    def measure_ahead(
        self, pending_request: PendingRequest, now: float
    ) -> Ahead:
        """Return what would start before a new request."""
        ahead = 0
        for lane, queue in self._lanes.items():
            if lane < pending_request.lane:
                ahead += len(queue)
            elif lane == pending_request.lane:
                ahead += queue.count_ahead(
                    pending_request.organisation, pending_request.weight
                )
        return Ahead(ahead, ahead * self._times.mean)


@valueclass.define
class Late:
    """A queued request that cannot start in time, and the reason."""

    pending_request: PendingRequest
    ahead: int
    needed_s: float


def list_late(
    waiting: collections.abc.Iterable[PendingRequest],
    slots: int,
    times: ServiceTimes,
    send_rate: coldstart.SendRate,
    now: float,
    expect: collections.abc.Callable[[str], float] | None = None,
) -> list[Late]:
    """Return the queued requests that would start too late.

    ``waiting`` has the next one first. ``expect`` returns the seconds that one
    of a route takes from those behind it, by default its expected time. A
    late request does not delay those behind it. The wait is estimated without
    a factor, since refusing a request that would have started in time is
    worse than a late refusal.
    """
    late, ahead, work_s = [], 0, 0.0
    expect = expect or times.expect
    for pending_request in waiting:
        needed_s = estimate_needed(
            pending_request, ahead, work_s, slots, times, send_rate
        )
        if now + needed_s > pending_request.deadline:
            late.append(Late(pending_request, ahead, needed_s))
        else:
            ahead += 1
            work_s += expect(pending_request.route)
    return late


def estimate_needed(
    pending_request: PendingRequest,
    ahead: int,
    work_s: float,
    slots: int,
    times: ServiceTimes,
    send_rate: coldstart.SendRate,
) -> float:
    """Return the least seconds that a queued request needs from now on.

    ``ahead`` requests with an expected work of ``work_s`` start before it.
    """
    wait_s = (work_s + times.mean) / max(1, slots)
    wait_s = max(wait_s, send_rate.estimate_wait(ahead))
    return wait_s + times.expect(pending_request.route) * MIN_START_FRACTION


def estimate_wait(
    ahead: Ahead, slots: int, mean_s: float, factor: float = MIN_WAIT_FACTOR
) -> float:
    """Return the expected wait in seconds behind the requests ahead.

    The wait for the first free slot adds one mean service time.
    """
    return (ahead.work_s + mean_s) / max(1, slots) * factor
