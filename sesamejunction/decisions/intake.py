"""Admission and scheduling of large request bodies sent to one node."""

import dataclasses
import enum

from sesamejunction.model import incomingbodies
from sesamejunction.model import valueclass

# With one body at a time, the line is idle between a part and the request for
# the next one. With more than two, each only takes longer.
MAX_UNDER_WAY = 2
# Small frames queue behind the parts that are being transferred. At 5 Mbit/s
# two parts of this size take 0.1 s, a quarter of the 0.4 s that a small
# request may take.
PART_BYTES = 32 * 1024
# A part that has not arrived after this time is considered lost. It allows
# 0.5 s for a new connection and five times the time of two parts at 5 Mbit/s.
PART_LIMIT_S = 1.0
# Fraction of the line speed that is planned for large bodies; small frames,
# headers and acknowledgements take the rest.
LINE_FRACTION = 0.85
# The measured speed counts as at least this fraction of the configured one: a
# line that seems slower is waiting for the senders.
MIN_LINE_FRACTION = 0.5
# Factor on the earlier measurements with each new part; the average covers
# about 20 parts.
MEASURE_DECAY = 0.95
# The measured speed is used from this (decayed) number of bytes on.
MEASURE_MIN_BYTES = 4 * PART_BYTES
# A refused sender should not retry before a part has arrived.
MIN_RETRY_DELAY_S = 0.05
# A body is refused if it would miss its latency objective because of those
# before it. This wait is always allowed, so that large bodies, which need most
# of their time for their own transfer, are accepted too. It is about the
# time of two bodies of 60,000 bytes at 5 Mbit/s.
ALLOWED_WAIT_S = 0.2
# Removed bodies of which a requested part has not arrived yet. Each takes a
# few bytes; the limit only prevents unbounded growth.
MAX_ABANDONED = 1024


@valueclass.define
class Late:
    """A body that cannot arrive in time, and the reason.

    ``needed_s`` and ``left_s`` are the seconds needed and left; ``ahead`` is
    the number of bytes that are transferred before it. After
    ``retry_after_s`` an equal body would arrive in time if no other body is
    added.
    """

    body: incomingbodies.OfferedBody
    ahead: int
    needed_s: float
    left_s: float
    retry_after_s: float


class Receipt(enum.Enum):
    """Result of receiving a part.

    NEXT: more parts of its body are missing. WHOLE: its body is complete.
    LEFT: its body was removed after the part was requested. WRONG: no such
    part was requested from this sender.
    """

    NEXT = 'the next part may come'
    WHOLE = 'the body is here'
    LEFT = 'its body is not wanted any more'
    WRONG = 'nobody asked for it'


@dataclasses.dataclass(slots=True)
class Progress:
    """A body in transfer, with one outstanding part.

    ``asked_at`` is when that part was requested, ``arrived`` the number of
    bytes received.
    """

    body: incomingbodies.OfferedBody
    asked_at: float
    arrived: int = 0

    @property
    def part(self) -> incomingbodies.PartRequest:
        """Return the outstanding part."""
        left = self.body.size - self.arrived
        return incomingbodies.PartRequest(self.arrived, min(PART_BYTES, left))


class Line:
    """Speed of the network line, configured and measured.

    ``bytes_s`` is the configured speed in bytes a second, 0 if unknown. The
    measured speed only lowers it.
    """

    def __init__(self, bytes_s: float = 0.0):
        self._configured_speed = bytes_s
        self._bytes = 0.0
        self._seconds = 0.0
        self._arrived_at = float('-inf')

    def record(self, size: int, asked_at: float, now: float) -> None:
        """Add a received part to the measurement.

        Its transfer began when it was requested, or when the part before it
        had arrived if that was later.
        """
        since = max(asked_at, self._arrived_at)
        self._arrived_at = now
        self._bytes = self._bytes * MEASURE_DECAY + size
        self._seconds = self._seconds * MEASURE_DECAY + max(0.0, now - since)

    @property
    def speed(self) -> float:
        """Return the bytes a second to plan with, inf if unknown."""
        if not self._configured_speed:
            return float('inf')
        planned = self._configured_speed * LINE_FRACTION
        if self._bytes < MEASURE_MIN_BYTES or not self._seconds:
            return planned
        measured = self._bytes / self._seconds
        return min(
            planned, max(measured, self._configured_speed * MIN_LINE_FRACTION)
        )

    @property
    def max_speed(self) -> float:
        """Return the maximum speed in bytes a second, inf if unknown."""
        return self._configured_speed or float('inf')


class Intake:
    """Queue of accepted bodies, and the bodies in transfer to one node."""

    def __init__(self, line: Line):
        self._line = line
        self._waiting = {}
        self._under_way = {}
        self._abandoned = {}

    def __len__(self):
        return len(self._waiting) + len(self._under_way)

    @property
    def under_way(self) -> int:
        """Return the number of bodies in transfer."""
        return len(self._under_way)

    def find_refusal(
        self, body: incomingbodies.OfferedBody, now: float
    ) -> Late | None:
        """Return why a body is not accepted, None if it is.

        It is refused if it, or an accepted body of the same or a better
        rank, would be late, or if the bodies before it make it miss its
        latency objective. On a saturated line, waits up to the deadline
        would serve no more bodies, but these would miss the objective.
        """
        accepted = list(self._waiting.values())
        already_late = {
            accepted_late.body.number
            for accepted_late in self._list_late(accepted, now)
        }
        for late in self._list_late([*accepted, body], now):
            other = late.body
            if other.number == body.number:
                return late
            if other.rank <= body.rank and other.number not in already_late:
                return dataclasses.replace(late, body=body)
        return self._find_missed_objective(body, now)

    def push(self, body: incomingbodies.OfferedBody) -> None:
        """Queue an accepted body."""
        self._waiting[body.number] = body

    def start_next(self, now: float) -> list[Progress]:
        """Start the transfer of the next bodies and return them."""
        started = []
        for body in sorted(self._waiting.values(), key=_find_queue_key):
            if len(self._under_way) >= MAX_UNDER_WAY:
                break
            del self._waiting[body.number]
            progress = self._under_way[body.number] = Progress(body, now)
            started.append(progress)
        return started

    def receive(
        self, number: int, sender: int, size: int, now: float
    ) -> Receipt:
        """Count a received part, and start the next one if there is one."""
        if self._abandoned.get(number) == sender:
            del self._abandoned[number]
            return Receipt.LEFT
        transfer = self._under_way.get(number)
        if transfer is None or transfer.body.sender != sender:
            return Receipt.WRONG
        if size != transfer.part.size:
            return Receipt.WRONG
        self._line.record(size, transfer.asked_at, now)
        transfer.arrived += size
        transfer.asked_at = now
        if transfer.arrived < transfer.body.size:
            return Receipt.NEXT
        del self._under_way[number]
        return Receipt.WHOLE

    def find_part(self, number: int) -> incomingbodies.PartRequest:
        """Return the outstanding part of a body in transfer."""
        return self._under_way[number].part

    def remove(self, number: int) -> None:
        """Remove a body; a part of it that still arrives is dropped."""
        self._waiting.pop(number, None)
        transfer = self._under_way.pop(number, None)
        if transfer is None:
            return
        self._abandoned[number] = transfer.body.sender
        if len(self._abandoned) > MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def list_late(self, now: float) -> list[Late]:
        """Return the queued and transferring bodies that will be late.

        A body in transfer is late if even the maximum speed is not enough.
        """
        late = [
            _describe_late(pending.body, 0, needed_s, now)
            for pending in self._under_way.values()
            if now + (needed_s := _count_left(pending) / self._line.max_speed)
            > pending.body.latest
        ]
        return late + self._list_late(self._waiting.values(), now)

    def list_missing(self, now: float) -> list[Progress]:
        """Return the bodies whose outstanding part has not arrived in time."""
        return [
            pending
            for pending in self._under_way.values()
            if now - pending.asked_at >= PART_LIMIT_S
        ]

    def _find_missed_objective(self, body, now) -> Late | None:
        """Return why a body would miss its objective, None if it would not.

        A body that cannot meet its objective on a free line is judged by its
        deadline alone.
        """
        ahead = sum(map(_count_left, self._under_way.values()))
        queue_key = _find_queue_key(body)
        ahead += sum(
            queued_body.size
            for queued_body in self._waiting.values()
            if _find_queue_key(queued_body) < queue_key
        )
        alone_s, wait_s = (
            body.size / self._line.speed,
            ahead / self._line.speed,
        )
        allowed_s = max(ALLOWED_WAIT_S, body.wanted - now - alone_s)
        if wait_s <= allowed_s or now > body.wanted:
            return None
        return Late(
            body,
            ahead,
            wait_s + alone_s,
            allowed_s + alone_s,
            max(MIN_RETRY_DELAY_S, wait_s - allowed_s),
        )

    def _list_late(self, waiting, now) -> list[Late]:
        """Return the queued bodies that would be late.

        A late body does not delay those behind it.
        """
        late = []
        ahead = sum(map(_count_left, self._under_way.values()))
        for body in sorted(waiting, key=_find_queue_key):
            needed_s = (ahead + body.size) / self._line.speed
            if now + needed_s > body.latest:
                late.append(_describe_late(body, ahead, needed_s, now))
            else:
                ahead += body.size
        return late


def _find_queue_key(body: incomingbodies.OfferedBody) -> tuple:
    """Return the sort key of queued bodies."""
    return body.rank, body.latest, body.number


def _count_left(progress: Progress) -> int:
    return progress.body.size - progress.arrived


def _describe_late(body, ahead, needed_s, now) -> Late:
    left_s = body.latest - now
    retry_s = max(MIN_RETRY_DELAY_S, min(needed_s, needed_s - left_s))
    return Late(body, ahead, needed_s, left_s, retry_s)
