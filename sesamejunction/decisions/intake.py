"""Order of large bodies on their way to one node, and who is refused."""

import dataclasses
import enum

from sesamejunction.model import incomingbodies

# One body leaves the line idle between a part and the request for the next,
# and more bodies only take longer each.
MAX_UNDER_WAY = 2
# Small frames wait behind the parts that are under way. At 5 Mbit/s two parts
# of this size take 0.1 s, a quarter of the 0.4 s that a small request has.
PART_BYTES = 32 * 1024
# A part that is not here after this time is taken for lost. It allows 0.5 s
# for a new connection and five times the time of two parts at 5 Mbit/s.
PART_LIMIT_S = 1.0
# Part of the line that large bodies may plan with; small frames, headers and
# acknowledgements take the rest.
LINE_FRACTION = 0.85
# A line that seems slower than this part of its given speed is waiting for
# its senders.
MIN_LINE_FRACTION = 0.5
# Weight that what was measured before keeps with each new part, so that
# about 20 parts count.
MEASURE_KEEP = 0.95
MEASURE_MIN_BYTES = 4 * PART_BYTES
# A refused sender should not come back before a part has arrived.
SHORTEST_RETRY_S = 0.05
# A body that would miss its objective is refused for those before it. This
# wait is allowed in any case, so that large bodies, which take most of their
# time themselves, have a turn too: two bodies of 60,000 bytes at 5 Mbit/s.
SHORT_WAIT_S = 0.2
# Bodies that left while a part of theirs was under way, and whose part has
# not come. Each takes a few bytes, so the bound is only against growth.
MAX_LEFT = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """A body that cannot be here in time, and why.

    ``needed_s`` and ``left_s`` are seconds; ``ahead`` are the bytes that go
    first; ``retry_after_s`` is when a body like it would be in time if no
    other came.
    """

    body: incomingbodies.OfferedBody
    ahead: int
    needed_s: float
    left_s: float
    retry_after_s: float


class Receipt(enum.Enum):
    """What a part that came means."""

    NEXT = 'the next part may come'
    WHOLE = 'the body is here'
    LEFT = 'its body is not wanted any more'
    WRONG = 'nobody asked for it'


@dataclasses.dataclass(slots=True)
class Progress:
    """A body under way; ``asked_at`` is when its open part was asked for."""

    body: incomingbodies.OfferedBody
    asked_at: float
    arrived: int = 0

    @property
    def part(self) -> incomingbodies.PartRequest:
        """Return the open part."""
        left = self.body.size - self.arrived
        return incomingbodies.PartRequest(self.arrived, min(PART_BYTES, left))


class Line:
    """Speed at which bodies arrive; given, and measured up to that.

    ``bytes_s`` is the given speed in bytes a second, 0 when unknown.
    """

    def __init__(self, bytes_s: float = 0.0):
        self._given = bytes_s
        self._bytes = 0.0
        self._seconds = 0.0
        self._arrived_at = float('-inf')

    def record(self, size: int, asked_at: float, now: float) -> None:
        """Count a part; the line was busy with it since the part before."""
        since = max(asked_at, self._arrived_at)
        self._arrived_at = now
        self._bytes = self._bytes * MEASURE_KEEP + size
        self._seconds = self._seconds * MEASURE_KEEP + max(0.0, now - since)

    @property
    def speed(self) -> float:
        """Return the bytes a second to plan with, inf when unknown."""
        if not self._given:
            return float('inf')
        planned = self._given * LINE_FRACTION
        if self._bytes < MEASURE_MIN_BYTES or not self._seconds:
            return planned
        measured = self._bytes / self._seconds
        return min(planned, max(measured, self._given * MIN_LINE_FRACTION))

    @property
    def most(self) -> float:
        """Return the bytes a second that cannot be passed, inf if unknown."""
        return self._given or float('inf')


class Intake:
    """Bodies that wait for their turn and bodies under way to one node."""

    def __init__(self, line: Line):
        self._line = line
        self._waiting = {}
        self._under_way = {}
        self._left = {}

    def __len__(self):
        return len(self._waiting) + len(self._under_way)

    @property
    def under_way(self) -> int:
        """Return the number of bodies under way."""
        return len(self._under_way)

    def find_refusal(
        self, body: incomingbodies.OfferedBody, now: float
    ) -> Late | None:
        """Return why a body may not be accepted, None when it may.

        It is refused when it, or a body of the same or a better rank that
        was accepted before, would be late, or when those before it make it
        miss its objective. Under a full line as many are served as if all
        waited for their deadlines, but in time.
        """
        accepted = list(self._waiting.values())
        before = {one.body.number for one in self._list_late(accepted, now)}
        for late in self._list_late([*accepted, body], now):
            other = late.body
            if other.number == body.number:
                return late
            if other.rank <= body.rank and other.number not in before:
                return dataclasses.replace(late, body=body)
        return self._find_miss(body, now)

    def push(self, body: incomingbodies.OfferedBody) -> None:
        """Let an accepted body wait for its turn."""
        self._waiting[body.number] = body

    def start_next(self, now: float) -> list[Progress]:
        """Return the bodies whose turn it is; their first part is open."""
        started = []
        for body in sorted(self._waiting.values(), key=_find_place):
            if len(self._under_way) >= MAX_UNDER_WAY:
                break
            del self._waiting[body.number]
            progress = self._under_way[body.number] = Progress(body, now)
            started.append(progress)
        return started

    def receive(
        self, number: int, sender: int, size: int, now: float
    ) -> Receipt:
        """Count a part that came; opens the next one if there is one."""
        if self._left.get(number) == sender:
            del self._left[number]
            return Receipt.LEFT
        found = self._under_way.get(number)
        if found is None or found.body.sender != sender:
            return Receipt.WRONG
        if size != found.part.size:
            return Receipt.WRONG
        self._line.record(size, found.asked_at, now)
        found.arrived += size
        found.asked_at = now
        if found.arrived < found.body.size:
            return Receipt.NEXT
        del self._under_way[number]
        return Receipt.WHOLE

    def find_part(self, number: int) -> incomingbodies.PartRequest:
        """Return the open part of a body under way."""
        return self._under_way[number].part

    def remove(self, number: int) -> None:
        """Forget a body; the part of it that may still come is dropped."""
        self._waiting.pop(number, None)
        found = self._under_way.pop(number, None)
        if found is None:
            return
        self._left[number] = found.body.sender
        if len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]

    def list_late(self, now: float) -> list[Late]:
        """Return the bodies, waiting or under way, that will be late.

        Bodies under way are late when not even the whole line is enough.
        """
        late = [
            _describe_late(one.body, 0, needed_s, now)
            for one in self._under_way.values()
            if now + (needed_s := _count_left(one) / self._line.most)
            > one.body.latest
        ]
        return late + self._list_late(self._waiting.values(), now)

    def list_missing(self, now: float) -> list[Progress]:
        """Return the bodies under way whose open part has not come."""
        return [
            one
            for one in self._under_way.values()
            if now - one.asked_at >= PART_LIMIT_S
        ]

    def _find_miss(self, body, now) -> Late | None:
        """Return why a body would miss its objective, None if it would not.

        One whose objective cannot be met on a free line has its deadline.
        """
        ahead = sum(map(_count_left, self._under_way.values()))
        place = _find_place(body)
        ahead += sum(
            one.size
            for one in self._waiting.values()
            if _find_place(one) < place
        )
        alone_s, wait_s = (
            body.size / self._line.speed,
            ahead / self._line.speed,
        )
        allowed_s = max(SHORT_WAIT_S, body.wanted - now - alone_s)
        if wait_s <= allowed_s or now > body.wanted:
            return None
        return Late(
            body,
            ahead,
            wait_s + alone_s,
            allowed_s + alone_s,
            max(SHORTEST_RETRY_S, wait_s - allowed_s),
        )

    def _list_late(self, waiting, now) -> list[Late]:
        """Return the waiting bodies that would be late.

        Those that are late do not count for those behind them.
        """
        late = []
        ahead = sum(map(_count_left, self._under_way.values()))
        for body in sorted(waiting, key=_find_place):
            needed_s = (ahead + body.size) / self._line.speed
            if now + needed_s > body.latest:
                late.append(_describe_late(body, ahead, needed_s, now))
            else:
                ahead += body.size
        return late


def _find_place(body: incomingbodies.OfferedBody) -> tuple:
    """Return what orders the waiting bodies."""
    return body.rank, body.latest, body.number


def _count_left(progress: Progress) -> int:
    return progress.body.size - progress.arrived


def _describe_late(body, ahead, needed_s, now) -> Late:
    left_s = body.latest - now
    retry_s = max(SHORTEST_RETRY_S, min(needed_s, needed_s - left_s))
    return Late(body, ahead, needed_s, left_s, retry_s)
