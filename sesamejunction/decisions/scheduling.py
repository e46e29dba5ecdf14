"""Order of the requests at one target, by rank, and who is refused."""

import collections
import collections.abc
import dataclasses
import typing

from sesamejunction.decisions import fairness

# Weight of one new service time in the average.
TIME_WEIGHT = 0.05
# Assumed until the first answer of a route.
FIRST_TIME_S = 0.05
# A refused caller should not come back before the queue has moved.
SHORTEST_RETRY_S = 0.05
# A request starts only if this part of its usual service time is left.
MIN_START_FRACTION = 0.5
# Work takes longer while a target is full, so waits are longer than the
# average time tells.
WAIT_FACTOR = 1.25
# Later requests may go first, by rank or by turn, and answers that never came
# are not in the average. A wait that outlasts its deadline raises the factor
# as much as about 15 that end in a start lower it, so nine of ten waits or
# more should pay.
# The factor is a ratio of seconds; beyond 4 hardly a request would wait.
LARGEST_FACTOR = 4.0
RAISE_FACTOR = 1.08
EASE_FACTOR = 0.995
COLD_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that wants to run; times are boot-clock seconds."""

    request_id: str
    organisation: str
    route: str
    rank: int
    deadline: float
    weight: float = 1.0
    reply: typing.Any = None


class ServiceTimes:
    """Average time of work by route."""

    def __init__(self):
        self._times = {}
        self._mean = FIRST_TIME_S

    def record(self, route: str, taken_s: float) -> None:
        """Count one answer."""
        known = self._times.get(route, taken_s)
        self._times[route] = known + (taken_s - known) * TIME_WEIGHT
        self._mean += (taken_s - self._mean) * TIME_WEIGHT

    def expect(self, route: str) -> float:
        """Return the expected time of one request of a route."""
        return self._times.get(route, self._mean)

    @property
    def mean(self) -> float:
        """Return the average over all routes."""
        return self._mean


class WaitFactor:
    """Corrects expected waits by what became of former ones."""

    def __init__(self):
        self.value = WAIT_FACTOR

    def count_start(self) -> None:
        """Note that a request that waited has started."""
        self.value = max(WAIT_FACTOR, self.value * EASE_FACTOR)

    def count_expiry(self) -> None:
        """Note that a request waited until too little time was left."""
        self.value = min(LARGEST_FACTOR, self.value * RAISE_FACTOR)


class RankedQueue:
    """Requests by rank; within a rank by turns of organisations."""

    def __init__(self):
        self._ranks = {}
        self._entrants = {}

    def __len__(self):
        return len(self._entrants)

    def push(self, pending_request: PendingRequest) -> None:
        """Queue a request."""
        queue = self._ranks.get(pending_request.rank)
        if queue is None:
            queue = self._ranks[pending_request.rank] = fairness.FairQueue()
        queue.push(
            pending_request.organisation,
            pending_request.request_id,
            pending_request.weight,
            pending_request,
        )
        self._entrants[pending_request.request_id] = pending_request

    def pop(self) -> PendingRequest:
        """Remove and return the request that is next."""
        rank = min(one for one, queue in self._ranks.items() if len(queue))
        pending_request = self._ranks[rank].pop().item
        del self._entrants[pending_request.request_id]
        return pending_request

    def remove(self, request_id: str) -> PendingRequest | None:
        """Remove and return a request, None when it does not wait."""
        pending_request = self._entrants.pop(request_id, None)
        if pending_request is not None:
            self._ranks[pending_request.rank].remove(
                pending_request.organisation, request_id
            )
        return pending_request

    def list_waiting(self) -> list[PendingRequest]:
        """Return all requests, the next one first."""
        return [
            one.item
            for rank in sorted(self._ranks)
            for one in self._ranks[rank].list_waiting()
        ]

    def drain(self) -> list[PendingRequest]:
        """Remove and return all requests."""
        found = list(self._entrants.values())
        self._ranks.clear()
        self._entrants.clear()
        return found

    def count_ahead(self, pending_request: PendingRequest) -> int:
        """Return how many queued requests would go before a new one."""
        ahead = 0
        for rank, queue in self._ranks.items():
            if rank < pending_request.rank:
                ahead += len(queue)
            elif rank == pending_request.rank:
                ahead += queue.count_ahead(
                    pending_request.organisation, pending_request.weight
                )
        return ahead


class ColdWindow:
    """Counts what was sent to a target in the last second."""

    def __init__(self):
        self._sent = collections.deque()

    def count(self, now: float) -> int:
        """Return the requests sent in the window that ends now."""
        sent = self._sent
        while sent and sent[0] <= now - COLD_WINDOW_S:
            sent.popleft()
        return len(sent)

    def add(self, now: float) -> None:
        """Count one request."""
        self._sent.append(now)

    def find_send_delay(self, limit: float, now: float) -> float:
        """Return the seconds until another one may be sent."""
        count = self.count(now)
        if count < limit:
            return 0.0
        return self._sent[count - int(limit)] + COLD_WINDOW_S - now


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """A queued request that cannot start in time, and why; in seconds."""

    pending_request: PendingRequest
    ahead: int
    needed_s: float


def list_late(
    waiting: collections.abc.Iterable[PendingRequest],
    slots: int,
    times: ServiceTimes,
    cold_rate: float,
    now: float,
) -> list[Late]:
    """Return the queued requests that would start too late.

    ``waiting`` has the next one first; those that are late do not count for
    those behind them. The wait is the plain average without a factor, since
    giving up a request that would have started in time costs more than a
    late refusal. ``cold_rate`` is 0 for a target that is warm.
    """
    late, ahead = [], 0
    for pending_request in waiting:
        wait_s = estimate_wait(ahead, slots, times.mean, 1.0)
        if cold_rate:
            wait_s = max(wait_s, ahead / cold_rate)
        needed_s = (
            wait_s + times.expect(pending_request.route) * MIN_START_FRACTION
        )
        if now + needed_s > pending_request.deadline:
            late.append(Late(pending_request, ahead, needed_s))
        else:
            ahead += 1
    return late


def estimate_wait(
    ahead: int, slots: int, mean_s: float, factor: float = WAIT_FACTOR
) -> float:
    """Return the seconds until a request with this many ahead starts."""
    return (ahead + 1) * mean_s / max(1, slots) * factor
