"""Plan of the line that leaves a machine: admission and turns of answers."""

import dataclasses
import enum
import heapq

from sesamejunction.decisions import timers
from sesamejunction.model import outgoinganswers
from sesamejunction.model import valueclass

# Answers of at least this size are planned and sent in parts.
LARGE_ANSWER_BYTES = 16 * 1024
# At 10 Mbit/s a part takes 0.026 s.
PART_BYTES = 32 * 1024
# Parts that may be on the line together. With one, the line is idle until the
# next is granted; each one more delays small answers by its own time.
MAX_PARTS_AHEAD = 2
# Parts are also granted this long ahead. On a line of 100 Mbit/s and more a
# part leaves before the timer of the next one fires.
LEAST_AHEAD_S = 2 * timers.MAX_LATE_S
# Fraction of the line speed that is planned for large answers; small answers,
# headers and acknowledgements take the rest.
LINE_FRACTION = 0.85
# A refused sender should not retry before a part has left.
MIN_RETRY_DELAY_S = 0.05
# An existing answer whose next part was not asked for within this time does
# not count as being before others: its receiver reads slowly. A receiver at
# 5 Mbit/s takes 0.1 s for the two parts that it has asked for.
STALLED_S = 0.25
# Bound on the answers that are held or promised. A node has 200 MB of memory,
# of which 45 are in use at rest.
HELD_BYTES = 48 << 20
# Weight of the newest answer in the mean of its route.
MEAN_WEIGHT = 1 / 16
# Routes whose mean size is kept.
MAX_ROUTES = 4096


class Reason(enum.Enum):
    """Why an expected answer is not accepted."""

    LATE = 'line'
    MEMORY = 'memory'


@valueclass.define
class Unsendable:
    """An expected answer that is not accepted.

    ``ahead`` counts the bytes that leave before it, ``held`` those that all
    answers take. ``needed_s`` and ``left_s`` are the seconds needed and left.
    After ``retry_after_s`` an equal answer would be accepted if no other is
    added.
    """

    reason: Reason
    ahead: int
    held: int
    needed_s: float
    left_s: float
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class Promise:
    """A counted answer; ``left`` bytes of it have not been granted yet.

    ``moved_at`` is when it began to leave or its latest part was granted,
    None for an answer that does not exist yet.
    """

    answer: outgoinganswers.ExpectedAnswer
    left: int
    moved_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Part:
    """A part that waits for its turn; sorted by rank, then by deadline."""

    rank: int
    latest: float
    ticket: int
    size: int
    number: int = 0


class RouteSizes:
    """Moving mean of the answer sizes of each route, in bytes."""

    def __init__(self):
        self._means = {}

    def record(self, route: str, size: int) -> None:
        """Add the size of an answer."""
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                del self._means[next(iter(self._means))]
            self._means[route] = float(size)
        else:
            self._means[route] = mean + (size - mean) * MEAN_WEIGHT

    def expect(self, route: str) -> int:
        """Return the expected size; 0 if it is unknown or not large."""
        mean = self._means.get(route, 0.0)
        return int(mean) if mean >= LARGE_ANSWER_BYTES else 0


class LineBudget:
    """Answers that are to leave over one line, and the turns of their parts.

    ``bytes_s`` is the speed of the line in bytes a second, 0 if unknown.
    ``held_limit`` bounds the bytes of all counted answers.
    """

    def __init__(self, bytes_s: float = 0.0, held_limit: int = HELD_BYTES):
        self.speed = bytes_s * LINE_FRACTION or float('inf')
        self._held_limit = held_limit
        self._promises = {}
        self._parts = []
        # When the parts that were granted have left, by the planned speed.
        self._free_at = float('-inf')
        self.held = 0

    def __len__(self):
        return len(self._promises)

    @property
    def left(self) -> int:
        """Return the bytes of counted answers that were not granted yet."""
        return sum(promise.left for promise in self._promises.values())

    @property
    def queued_parts(self) -> int:
        """Return the number of parts that wait for their turn."""
        return len(self._parts)

    def find_wait(self, now: float) -> float:
        """Return the seconds until all counted answers have left."""
        left = sum(promise.left for promise in self._list_moving(now))
        return max(0.0, self._free_at - now) + left / self.speed

    def find_refusal(
        self, answer: outgoinganswers.ExpectedAnswer, now: float
    ) -> Unsendable | None:
        """Return why an expected answer is not accepted, None if it is.

        It is refused if the memory for answers is full, or if it or an
        accepted answer of the same or a better rank would be late.
        """
        held = self.held + answer.size
        if held > self._held_limit:
            retry_s = (held - self._held_limit) / self.speed
            return self._describe(Reason.MEMORY, answer, 0, 0.0, now, retry_s)
        late_before = {late.number for late, _, _ in self._list_late((), now)}
        for late, ahead, needed_s in self._list_late((answer,), now):
            if late.number == answer.number or (
                late.rank <= answer.rank and late.number not in late_before
            ):
                retry_s = min(needed_s, needed_s - (late.latest - now))
                return self._describe(
                    Reason.LATE, answer, ahead, needed_s, now, retry_s
                )
        return None

    def promise(
        self,
        answer: outgoinganswers.ExpectedAnswer,
        made_at: float | None = None,
    ) -> None:
        """Count an answer, which exists since ``made_at``, if set."""
        self.release(answer.number)
        self._promises[answer.number] = Promise(answer, answer.size, made_at)
        self.held += answer.size

    def find(self, number: int) -> outgoinganswers.ExpectedAnswer:
        """Return a counted answer."""
        return self._promises[number].answer

    def settle(self, number: int, size: int) -> None:
        """Replace the expected size of a counted answer."""
        promise = self._promises.get(number)
        if promise is not None:
            self.promise(dataclasses.replace(promise.answer, size=size))

    def release(self, number: int) -> None:
        """Stop counting an answer."""
        promise = self._promises.pop(number, None)
        if promise is not None:
            self.held -= promise.answer.size

    def queue_part(self, part: Part) -> None:
        """Add a part that waits for its turn."""
        heapq.heappush(self._parts, part)

    def remove_part(self, ticket: int) -> None:
        """Remove a part that is not wanted any more."""
        self._parts = [part for part in self._parts if part.ticket != ticket]
        heapq.heapify(self._parts)

    def grant_next(self, now: float) -> list[Part]:
        """Return the parts that may leave now, in their order."""
        granted = []
        while self._parts and self._find_delay(now) <= 0:
            part = heapq.heappop(self._parts)
            self._free_at = max(self._free_at, now) + part.size / self.speed
            promise = self._promises.get(part.number)
            if promise is not None:
                promise.left = max(0, promise.left - part.size)
                promise.moved_at = now
            granted.append(part)
        return granted

    def find_next_grant(self, now: float) -> float | None:
        """Return the seconds until a part may leave, None without a part."""
        return max(0.0, self._find_delay(now)) if self._parts else None

    def is_granted(self, number: int) -> bool:
        """Return whether all parts of a counted answer were granted."""
        promise = self._promises.get(number)
        return promise is not None and not promise.left

    def list_overdue(self, limit_s: float, now: float) -> list[int]:
        """Return the answers that should have left ``limit_s`` ago.

        One whose parts still leave is late, but its count is no leftover.
        """
        return [
            number
            for number, promise in self._promises.items()
            if now
            >= limit_s
            + max(promise.answer.latest, promise.moved_at or float('-inf'))
        ]

    def _list_moving(self, now) -> list[Promise]:
        """Return the counted answers without those that are stalled."""
        queued = {part.number for part in self._parts}
        return [
            promise
            for number, promise in self._promises.items()
            if promise.moved_at is None
            or now < promise.moved_at + STALLED_S
            or number in queued
        ]

    def _find_delay(self, now) -> float:
        """Return the seconds until the line has room for the next part."""
        # The last of the parts ahead must have begun to leave.
        ahead_s = (MAX_PARTS_AHEAD - 1) * PART_BYTES / self.speed
        return self._free_at - now - max(ahead_s, LEAST_AHEAD_S)

    def _list_late(self, added, now) -> list[tuple]:
        """Return the late answers, with bytes ahead and seconds needed.

        A late answer still delays those behind it, since it is sent.
        """
        waiting = [
            (promise.answer, promise.left)
            for promise in self._list_moving(now)
        ]
        waiting += [(answer, answer.size) for answer in added]
        waiting.sort(key=lambda one: _find_queue_key(one[0]))
        late, ahead, start = [], 0, max(0.0, self._free_at - now)
        for answer, left in waiting:
            # The bytes before it leave while it is made.
            needed_s = left / self.speed + max(
                start + ahead / self.speed, answer.ready_at - now
            )
            if now + needed_s > answer.latest:
                late.append((answer, ahead, needed_s))
            ahead += left
        return late

    def _describe(self, reason, answer, ahead, needed_s, now, retry_s):
        return Unsendable(
            reason,
            ahead,
            self.held,
            needed_s,
            answer.latest - now,
            max(MIN_RETRY_DELAY_S, retry_s),
        )


def _find_queue_key(answer: outgoinganswers.ExpectedAnswer) -> tuple:
    """Return the sort key of answers on the line."""
    return answer.rank, answer.latest, answer.number
