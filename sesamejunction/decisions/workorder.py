"""Order of the requests that wait for one target, by urgency.

Calls of running requests go first, since work that is lost without them has
been done already, then the ranks follow each other. Calls and each rank have a
lane, and each lane keeps a share of the starts. Within a lane, requests that
can still meet their latency objective go first, by slack, then those that can
only meet their deadline.
"""

import bisect
import dataclasses
import typing
import zlib

from sesamejunction.decisions import scheduling
from sesamejunction.model import requests

# Share of the starts that a lane keeps, as a fraction of its share of the
# arrivals. No kind may be served less than a quarter as often as all; the
# remainder covers requests that start and are not answered in time.
# With more, less value is served at a busy target (docs/design/order-of-work).
KEPT_SHARE = 0.3
# Starts that a lane may have due. More would let it hold all slots after a
# burst of a higher rank.
MAX_DUE_STARTS = 2.0
# Weight of an arrival in the shares of the lanes; averages over 200 arrivals.
ARRIVAL_WEIGHT = 0.005
# Part of the time left within which a refused caller comes back. Callers keep
# delays of up to a third; the remainder covers the way back.
RETURN_FRACTION = 0.3


class Ticket(typing.NamedTuple):
    """Place of a request in a sorted list.

    ``start_by`` is the boot-clock time by which it must start. ``number``
    increases with each request, so that tickets are compared by these two.
    """

    start_by: float
    number: int
    pending_request: scheduling.PendingRequest
    expected_s: float


class Lane:
    """Waiting requests of one standing and rank.

    ``prompt`` has those that can meet their objective, ``overdue`` those that
    can only meet their deadline; both are sorted, the next one first.
    """

    __slots__ = ('prompt', 'overdue', 'work_s')

    def __init__(self):
        self.prompt = []
        self.overdue = []
        self.work_s = 0.0

    def __len__(self):
        return len(self.prompt) + len(self.overdue)

    def refresh(self, now: float) -> None:
        """Move requests that cannot meet their objective any more."""
        prompt, count = self.prompt, 0
        while count < len(prompt) and prompt[count].start_by < now:
            bisect.insort(self.overdue, rate_by_deadline(prompt[count]))
            count += 1
        del prompt[:count]

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a request; ``start_by`` is that of its objective."""
        if ticket.start_by >= now:
            bisect.insort(self.prompt, ticket)
        else:
            bisect.insort(self.overdue, rate_by_deadline(ticket))
        self.work_s += ticket.expected_s

    def pop(self) -> Ticket:
        """Remove and return the next request."""
        tickets = self.prompt or self.overdue
        ticket = tickets.pop(0)
        self._count_removed(ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; ``start_by`` is that of its objective."""
        tickets, place = self.prompt, ticket
        index = bisect.bisect_left(tickets, place)
        if index == len(tickets) or tickets[index].number != ticket.number:
            tickets, place = self.overdue, rate_by_deadline(ticket)
            index = bisect.bisect_left(tickets, place)
        del tickets[index]
        self._count_removed(ticket)

    def count_before(self, ticket: Ticket, now: float) -> int:
        """Return how many requests would start before a new one."""
        if ticket.start_by >= now:
            return bisect.bisect_right(self.prompt, ticket)
        return len(self.prompt) + bisect.bisect_right(
            self.overdue, rate_by_deadline(ticket)
        )

    def _count_removed(self, ticket) -> None:
        # Sums of fractions drift, so an empty lane starts anew.
        self.work_s = self.work_s - ticket.expected_s if len(self) else 0.0


class LaneShares:
    """Shares of the lanes in the arrivals, and starts that are due to them.

    ``due`` grows with each start while a request of the lane waits.
    """

    def __init__(self):
        self._arrivals = {}
        self._total = 0.0
        self._due = {}

    def add_arrival(self, name: tuple[int, int]) -> None:
        """Count a request that has met a queue, also if it is refused."""
        arrivals = self._arrivals
        for known in arrivals:
            arrivals[known] *= 1 - ARRIVAL_WEIGHT
        arrivals[name] = arrivals.get(name, 0.0) + ARRIVAL_WEIGHT
        self._total += (1 - self._total) * ARRIVAL_WEIGHT

    def find_kept(self, name: tuple[int, int]) -> float:
        """Return the share of the starts that a lane keeps."""
        arrivals = self._arrivals.get(name)
        return KEPT_SHARE * arrivals / self._total if arrivals else 0.0

    def start_next(self, names: list[tuple[int, int]]) -> tuple[int, int]:
        """Return the lane of the next start and count the start.

        ``names`` are the sorted names of the lanes with waiting requests.
        """
        chosen, most, due = names[0], 1.0, self._due
        for name in names:
            starts = due.get(name, 0.0)
            if starts >= most:
                chosen, most = name, starts
            due[name] = min(starts + self.find_kept(name), MAX_DUE_STARTS)
        due[chosen] = max(0.0, due[chosen] - 1.0)
        return chosen

    def copy(self) -> 'LaneShares':
        """Return a copy, to find out the order of the next starts."""
        copied = LaneShares()
        copied._arrivals, copied._total = self._arrivals, self._total
        copied._due = dict(self._due)
        return copied


class WorkQueue:
    """Waiting requests in the order of their urgency.

    ``times`` has the expected service times. Each operation is cheap for
    queues of up to some thousand requests (bench/workorder).
    """

    def __init__(self, times: scheduling.ServiceTimes):
        self._times = times
        self._lanes = {}
        self._tickets = {}
        self._shares = LaneShares()
        self._last_number = 0

    def __len__(self):
        return len(self._tickets)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._tickets

    def add_arrival(self, pending_request) -> None:
        """Count a new request that cannot start at once."""
        self._shares.add_arrival(pending_request.lane)

    def push(self, pending_request, now: float) -> None:
        """Queue a request; its id must not be in the queue."""
        self._last_number += 1
        ticket = self._make_ticket(pending_request, self._last_number)
        lane = self._lanes.get(pending_request.lane)
        if lane is None:
            lane = self._lanes[pending_request.lane] = Lane()
        lane.push(ticket, now)
        self._tickets[pending_request.request_id] = ticket

    def pop(self, now: float) -> scheduling.PendingRequest:
        """Remove and return the next request."""
        lane = self._choose_lane()
        lane.refresh(now)
        pending_request = lane.pop().pending_request
        del self._tickets[pending_request.request_id]
        self._drop_if_empty(pending_request.lane)
        return pending_request

    def remove(self, request_id: str) -> scheduling.PendingRequest | None:
        """Remove and return a request, or None if it is not queued."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is None:
            return None
        self._lanes[ticket.pending_request.lane].remove(ticket)
        self._drop_if_empty(ticket.pending_request.lane)
        return ticket.pending_request

    def list_waiting(self, now: float) -> list[scheduling.PendingRequest]:
        """Return all requests, the next one first."""
        orders = {}
        for name, lane in self._lanes.items():
            lane.refresh(now)
            orders[name] = [*reversed(lane.overdue), *reversed(lane.prompt)]
        return [
            ticket.pending_request
            for ticket in list_order(orders, self._shares.copy())
        ]

    def list_last(self) -> list[scheduling.PendingRequest]:
        """Return the last request of each lane, the least urgent first."""
        return [
            (lane.overdue or lane.prompt)[-1].pending_request
            for _, lane in sorted(self._lanes.items(), reverse=True)
        ]

    def drain(self) -> list[scheduling.PendingRequest]:
        """Remove and return all requests."""
        drained = [ticket.pending_request for ticket in self._tickets.values()]
        self._lanes.clear()
        self._tickets.clear()
        return drained

    def expect(self, route: str) -> float:
        """Return the time that a request takes from those behind it."""
        return self._times.expect(route)

    def measure_ahead(self, pending_request, now: float) -> scheduling.Ahead:
        """Return what starts before a request, queued or not.

        Behind a long queue of higher ranks, the share that the rank keeps
        decides.
        """
        own = self._tickets.get(pending_request.request_id)
        ticket = own or self._make_ticket(
            pending_request, self._last_number + 1
        )
        ahead, work_s = 0, 0.0
        for name, lane in self._lanes.items():
            if name < pending_request.lane:
                ahead += len(lane)
                work_s += lane.work_s
        lane = self._lanes.get(pending_request.lane)
        before = 0
        if lane is not None:
            lane.refresh(now)
            before = lane.count_before(ticket, now) - (own is not None)
            work_s += lane.work_s * before / len(lane)
        ahead += before
        kept = self._shares.find_kept(pending_request.lane)
        # The share of a lane without arrivals is too small to divide by it.
        if before + 1 < ahead * kept:
            by_share = int((before + 1) / kept)
            return scheduling.Ahead(by_share, work_s * by_share / ahead)
        return scheduling.Ahead(ahead, work_s)

    def _make_ticket(self, pending_request, number) -> Ticket:
        expected_s = self._times.expect(pending_request.route)
        return Ticket(
            pending_request.objective - expected_s,
            *(number, pending_request, expected_s),
        )

    def _choose_lane(self) -> Lane:
        return self._lanes[self._shares.start_next(sorted(self._lanes))]

    def _drop_if_empty(self, name) -> None:
        if not len(self._lanes[name]):
            del self._lanes[name]


def rate_by_deadline(ticket: Ticket) -> Ticket:
    """Return the place of a request that can only meet its deadline."""
    return Ticket(
        ticket.pending_request.deadline - ticket.expected_s,
        ticket.number,
        ticket.pending_request,
        ticket.expected_s,
    )


def list_order(orders: dict, shares: LaneShares):
    """Yield tickets in the order in which they would start.

    ``orders`` has the tickets of each lane, the next one last; they are
    consumed.
    """
    names = sorted(orders)
    while len(names) > 1:
        chosen = shares.start_next(names)
        tickets = orders[chosen]
        yield tickets.pop()
        if not tickets:
            names.remove(chosen)
    for name in names:
        yield from reversed(orders[name])


def inherit_urgency(
    head: requests.Head, parent: requests.Head
) -> requests.Head:
    """Return the head of a call that a running request has made.

    The call is as urgent as its parent, and is of no use when that has ended.
    It is a repeat if its parent is one.
    """
    return dataclasses.replace(
        head,
        rank=parent.rank,
        objective=min(head.objective, parent.objective),
        deadline=min(head.deadline, parent.deadline),
        standing=requests.Standing.BEGUN,
        repeat_share=parent.repeat_share,
    )


def choose_retry_delay(wait_s: float, left_s: float, request_id: str) -> float:
    """Return when a refused caller should come back, in seconds.

    After the expected wait the queue has gone. The delay stays within what a
    caller keeps, who has ``left_s`` seconds left. It is spread by a hash of
    the id, so that refused callers do not return together, and each check of
    a request finds the same.
    """
    latest_s = min(wait_s, left_s * RETURN_FRACTION)
    point = zlib.crc32(request_id.encode()) / 2**32
    return max(scheduling.MIN_RETRY_DELAY_S, latest_s * (0.4 + 0.6 * point))
