"""Ranges of numeric keys and the lives of targets that own them."""

import bisect
import dataclasses
import functools

# Keys are whole numbers from 0 to LAST_KEY.
LAST_KEY = 65535


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Life:
    """One run of a target process, beside the node ``member``.

    ``born`` is the target's start in wall-clock milliseconds.
    """

    member: str
    target: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Keys ``first`` to ``last`` of a service, owned by one life.

    ``epoch`` is the fencing token. ``previous`` names the lives that may
    still hold the keys; the owner waits for their releases.
    """

    first: int
    last: int
    epoch: int
    owner: Life
    previous: tuple[Life, ...] = ()

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1


@dataclasses.dataclass(frozen=True)
class RangePlan:
    """The ranges of one service, in order and without gaps."""

    ranges: tuple[Range, ...]

    @functools.cached_property
    def firsts(self) -> list[int]:
        """Return the first key of each range."""
        return [one.first for one in self.ranges]

    def find(self, key: int) -> Range | None:
        """Return the range of a key, None outside all."""
        place = bisect.bisect_right(self.firsts, key) - 1
        if place < 0 or self.ranges[place].last < key:
            return None
        return self.ranges[place]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedKeys:
    """Keys that were released, with the handover their holder gave."""

    first: int
    last: int
    handover: str = ''
