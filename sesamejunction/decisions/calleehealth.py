"""Refuses the start of requests whose calls would find no room.

A target that runs a request calls other services. While such a service
refuses the calls, each run would end with an error and its work would be
lost, so it is better to refuse the request before it starts.
"""

import dataclasses

from sesamejunction.model import valueclass

# Weight of one outcome in the answered share of a service. It grows with the
# time since the last outcome, by AVERAGE_S, so the share covers about the last
# second. The upper limit is reached by at least three failures in a row before
# anything is refused.
MIN_WEIGHT = 0.1
MAX_WEIGHT = 0.25
AVERAGE_S = 0.5
# While more calls than this are answered, all requests may start: a few of
# those that fail are retried with success.
ROOM_SHARE = 0.5
# With fewer, at least this share of the requests starts, and one in each
# interval, to find out whether there is room again.
MIN_STARTED = 0.1
PROBE_INTERVAL_S = 0.25
# Refused callers come back within this time. After longer delays more of them
# miss their objective (docs/design/order-of-work).
RETURN_S = 0.15
# A share without new outcomes is forgotten after this time.
FORGET_S = 3.0
# A route needs a service if its runs make at least so many calls to it, and
# enough runs are known. Older runs count half after each such number of runs.
MIN_CALLS_BY_RUN = 0.3
MIN_RUNS = 8
HALVED_RUNS = 64


@dataclasses.dataclass(slots=True)
class Callee:
    """Answered share of the calls to a service, at a boot-clock time."""

    answered: float = 1.0
    at: float = float('-inf')

    def record(self, is_answered: bool, now: float) -> None:
        """Add the outcome of a call."""
        if now - self.at > FORGET_S:
            self.answered = 1.0
        weight = (now - self.at) / AVERAGE_S
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        self.answered += (is_answered - self.answered) * weight
        self.at = now

    def find_answered(self, now: float) -> float:
        """Return the answered share, 1 if it is not known."""
        return self.answered if now - self.at <= FORGET_S else 1.0


@dataclasses.dataclass(slots=True)
class RouteRuns:
    """Runs of a route, their calls by service, and starts that are due.

    ``due`` grows with each request by the share of those that may start.
    """

    runs: int = 0
    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    due: float = 0.0
    probed_at: float = float('-inf')

    def list_needed(self) -> list[str]:
        """Return the services that most runs of the route call."""
        if self.runs < MIN_RUNS:
            return []
        least = MIN_CALLS_BY_RUN * self.runs
        return [name for name, count in self.calls.items() if count >= least]


@valueclass.define
class NoRoom:
    """A needed service whose calls fail, and their answered share."""

    service: str
    answered: float


class CalleeHealth:
    """What the runs of each route call, and how these calls end."""

    def __init__(self):
        self._routes = {}
        self._callees = {}
        self._short = set()

    @property
    def is_short(self) -> bool:
        """Return whether the calls to any service failed lately."""
        return bool(self._short)

    def add_run(self, route: str) -> None:
        """Count the start of a run."""
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = RouteRuns()
        known.runs += 1
        if known.runs >= HALVED_RUNS:
            known.runs //= 2
            known.calls = {
                name: count // 2
                for name, count in known.calls.items()
                if count
            }

    def add_call(self, route: str, service: str) -> None:
        """Count a call that a run of a route has made."""
        known = self._routes.get(route)
        if known is not None:
            known.calls[service] = known.calls.get(service, 0) + 1

    def record_outcome(
        self, service: str, is_answered: bool, now: float
    ) -> None:
        """Add the outcome of a call."""
        callee = self._callees.get(service)
        if callee is None:
            callee = self._callees[service] = Callee()
        callee.record(is_answered, now)
        if callee.answered < ROOM_SHARE:
            self._short.add(service)
        else:
            self._short.discard(service)

    def find_lack(self, route: str, now: float) -> NoRoom | None:
        """Return why a request of a route should not start now.

        None is also returned for one that finds out whether there is room
        again. The decision is to be counted by ``count_decision``.
        """
        lack = self._find_worst(route, now)
        if lack is None:
            return None
        known = self._routes[route]
        is_due = known.due + find_started_share(lack) >= 1.0
        if is_due or now - known.probed_at >= PROBE_INTERVAL_S:
            return None
        return lack

    def count_decision(self, route: str, is_started: bool, now: float) -> None:
        """Count a request that was started or refused by ``find_lack``."""
        lack = self._find_worst(route, now)
        if lack is None:
            return
        known = self._routes[route]
        known.due += find_started_share(lack) - is_started
        known.due = max(0.0, known.due)
        if is_started:
            known.probed_at = now

    def _find_worst(self, route, now) -> NoRoom | None:
        known = self._routes.get(route)
        if known is None or not known.calls:
            return None
        lacks = [
            NoRoom(name, self._callees[name].find_answered(now))
            for name in known.list_needed()
            if name in self._short
        ]
        worst = min(lacks, key=lambda one: one.answered, default=None)
        if worst is None or worst.answered >= ROOM_SHARE:
            return None
        return worst


def find_started_share(lack: NoRoom) -> float:
    """Return the share of the requests that start while calls fail."""
    return max(MIN_STARTED, lack.answered / ROOM_SHARE)
