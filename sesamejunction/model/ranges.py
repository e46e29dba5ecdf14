"""Ranges of numeric keys and the target process runs that own them."""

import bisect
import dataclasses
import functools

from sesamejunction.model import valueclass

# Keys are integers from 0 to LAST_KEY.
LAST_KEY = 65535
# Longer texts are no keys; int() takes a time that grows with their square.
MAX_KEY_DIGITS = 20


def parse_key(text: str | None) -> int | None:
    """Return the key in a text, None if there is none in range."""
    if (
        text is None
        or len(text) > MAX_KEY_DIGITS
        or not (text.isascii() and text.isdigit())
    ):
        return None
    key = int(text)
    return key if key <= LAST_KEY else None


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Life:
    """One run of a target process, which is local to the node ``member``.

    ``born`` is the process start in wall-clock milliseconds.
    """

    member: str
    target: str
    born: int


@valueclass.define
class Range:
    """Keys ``first`` to ``last`` of a service, owned by one target run.

    ``epoch`` is the fencing token. ``previous`` lists the former owners that
    may still hold the keys; the owner waits for their releases.
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
    """The ranges of one service, sorted and without gaps, or empty."""

    ranges: tuple[Range, ...]

    @functools.cached_property
    def first_keys(self) -> list[int]:
        """Return the first key of each range."""
        return [key_range.first for key_range in self.ranges]

    def find(self, key: int) -> Range | None:
        """Return the range that contains a key, None if there is none."""
        index = bisect.bisect_right(self.first_keys, key) - 1
        if index < 0 or self.ranges[index].last < key:
            return None
        return self.ranges[index]


@valueclass.define
class ReleasedKeys:
    """Released keys with the handover data of their former holder."""

    first: int
    last: int
    handover: str = ''
