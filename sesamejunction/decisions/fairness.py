"""Start-time fair queueing between organisations by weight."""

import collections
import dataclasses
import typing

MIN_WEIGHT = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A queued request; ``start`` is its tag in virtual time."""

    organisation: str
    request_id: str
    start: float
    finish: float
    item: typing.Any


class FairQueue:
    """Queue that serves organisations in proportion to their weights.

    Each request costs 1 / weight in virtual time. Virtual time is the start
    tag of the request served last, so an organisation that was idle gets no
    credit for that time. Tags of idle organisations behind virtual time are
    dropped, so memory is bounded by the organisations that wait.
    """

    def __init__(self):
        self._lines = {}
        self._finish = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self):
        return self._length

    def push(self, organisation, request_id, weight, item) -> None:
        """Queue a request."""
        one = self._tag(organisation, request_id, weight, item)
        line = self._lines.setdefault(organisation, collections.deque())
        line.append(one)
        self._finish[organisation] = one.finish
        self._length += 1

    def charge(self, organisation, weight) -> None:
        """Count a request that is served without waiting."""
        one = self._tag(organisation, '', weight, None)
        self._finish[organisation] = one.finish
        self._advance(one.start)

    def pop(self) -> Waiting:
        """Remove and return the request with the lowest start tag."""
        organisation = min(
            self._lines, key=lambda one: self._lines[one][0].start
        )
        found = self._lines[organisation].popleft()
        self._removed(organisation)
        self._advance(found.start)
        return found

    def list_waiting(self) -> list[Waiting]:
        """Return the queued requests, the next one first."""
        waiting = (one for line in self._lines.values() for one in line)
        return sorted(waiting, key=lambda one: one.start)

    def remove(self, organisation, request_id) -> Waiting | None:
        """Remove and return a request, None when it does not wait."""
        for one in self._lines.get(organisation, ()):
            if one.request_id == request_id:
                self._lines[organisation].remove(one)
                self._removed(organisation)
                return one
        return None

    def count_ahead(self, organisation, weight) -> int:
        """Return how many queued requests would go before a new one."""
        start = self._tag(organisation, '', weight, None).start
        return sum(
            one.start <= start for line in self._lines.values() for one in line
        )

    def evict_for(self, organisation, weights) -> Waiting | None:
        """Make room for an organisation that has less than its part.

        Removes and returns the newest request of the organisation with the
        most queued by weight, or returns None when the new one has the most
        itself.
        """

        def measure(name, more=0):
            count = len(self._lines.get(name, ())) + more
            return count / max(MIN_WEIGHT, weights(name))

        worst = max(self._lines, key=measure, default=organisation)
        if measure(worst) <= measure(organisation, 1):
            return None
        found = self._lines[worst].pop()
        self._finish[worst] = found.start
        self._removed(worst)
        return found

    def _tag(self, organisation, request_id, weight, item):
        start = max(self._virtual, self._finish.get(organisation, 0.0))
        finish = start + 1 / max(MIN_WEIGHT, weight)
        return Waiting(organisation, request_id, start, finish, item)

    def _removed(self, organisation):
        self._length -= 1
        if not self._lines[organisation]:
            del self._lines[organisation]

    def _advance(self, start):
        self._virtual = max(self._virtual, start)
        if len(self._finish) > 2 * len(self._lines) + 16:
            self._finish = {
                name: finish
                for name, finish in self._finish.items()
                if finish > self._virtual or name in self._lines
            }
