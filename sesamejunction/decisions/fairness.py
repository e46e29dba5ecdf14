"""Start-time fair queueing between organisations, by weight."""

import collections
import typing

from sesamejunction.model import valueclass

# Lower weights count as this one, so that no request costs infinite time.
MIN_WEIGHT = 0.001


@valueclass.define
class QueuedRequest:
    """A queued request; ``start`` and ``finish`` are virtual-time tags.

    ``item`` is the object that the caller has queued.
    """

    organisation: str
    request_id: str
    start: float
    finish: float
    item: typing.Any


class FairQueue:
    """Queue that serves organisations in proportion to their weights.

    Each request costs 1 / weight in virtual time. Virtual time is the start
    tag of the request served last, so an organisation that was idle gets no
    credit for that time. Finish tags of idle organisations that are behind
    virtual time are dropped, so memory is bounded by the number of
    organisations with queued requests.
    """

    def __init__(self):
        self._queues = {}
        self._finish = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self):
        return self._length

    def push(self, organisation, request_id, weight, item) -> None:
        """Queue a request."""
        request = self._build_request(organisation, request_id, weight, item)
        queue = self._queues.setdefault(organisation, collections.deque())
        queue.append(request)
        self._finish[organisation] = request.finish
        self._length += 1

    def charge(self, organisation, weight) -> None:
        """Account for a request that is served without being queued."""
        request = self._build_request(organisation, '', weight, None)
        self._finish[organisation] = request.finish
        self._advance(request.start)

    def pop(self) -> QueuedRequest:
        """Remove and return the request with the lowest start tag."""
        organisation = min(
            self._queues,
            key=lambda candidate: self._queues[candidate][0].start,
        )
        removed = self._queues[organisation].popleft()
        self._note_removed(organisation)
        self._advance(removed.start)
        return removed

    def list_waiting(self) -> list[QueuedRequest]:
        """Return the queued requests, the next one first."""
        waiting = (
            request for queue in self._queues.values() for request in queue
        )
        return sorted(waiting, key=lambda request: request.start)

    def remove(self, organisation, request_id) -> QueuedRequest | None:
        """Remove and return a request, or None if it is not queued."""
        for request in self._queues.get(organisation, ()):
            if request.request_id == request_id:
                self._queues[organisation].remove(request)
                self._note_removed(organisation)
                return request
        return None

    def count_ahead(self, organisation, weight) -> int:
        """Return how many queued requests would be served before a new one."""
        start = self._build_request(organisation, '', weight, None).start
        return sum(
            request.start <= start
            for queue in self._queues.values()
            for request in queue
        )

    def evict_for(self, organisation, weights) -> QueuedRequest | None:
        """Make room for an organisation that has less than its fair share.

        Removes and returns the newest request of the organisation that has
        the most queued requests relative to its weight. Returns None if
        that is ``organisation`` itself. ``weights`` is a function that
        returns the weight of an organisation.
        """

        def weigh_queue(name, extra=0):
            count = len(self._queues.get(name, ())) + extra
            return count / max(MIN_WEIGHT, weights(name))

        heaviest = max(self._queues, key=weigh_queue, default=organisation)
        if weigh_queue(heaviest) <= weigh_queue(organisation, 1):
            return None
        removed = self._queues[heaviest].pop()
        self._finish[heaviest] = removed.start
        self._note_removed(heaviest)
        return removed

    def _build_request(self, organisation, request_id, weight, item):
        start = max(self._virtual_time, self._finish.get(organisation, 0.0))
        finish = start + 1 / max(MIN_WEIGHT, weight)
        return QueuedRequest(organisation, request_id, start, finish, item)

    def _note_removed(self, organisation):
        self._length -= 1
        if not self._queues[organisation]:
            del self._queues[organisation]

    def _advance(self, start):
        self._virtual_time = max(self._virtual_time, start)
        if len(self._finish) > 2 * len(self._queues) + 16:
            self._finish = {
                name: finish
                for name, finish in self._finish.items()
                if finish > self._virtual_time or name in self._queues
            }
