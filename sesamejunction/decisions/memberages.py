"""Packs how long ago members were heard of, one byte a member.

Two members that know the same members sort them alike, so that ages need no
names. Pairs of name and age took 11 bytes a member, so an echo had room for
60: among 300 members, 29% of those that were there had not been heard of for
1.5 s. With all of them in each echo none had (simulated, no packet lost).
"""

import collections.abc
import hashlib
import struct

# Ages are sent in units of 10 ms, rounded up; UNKNOWN is 2.55 s or more.
UNITS_A_SECOND = 100
UNKNOWN = 255
# Members of one echo, to keep it within a datagram; of a larger fleet each
# echo has a part that is drawn at random.
MAX_AGES = 600
DIGEST_BYTES = 7


def digest_members(order: collections.abc.Sequence[int]) -> int:
    """Return a number that stands for members in this order; never 0."""
    data = struct.pack(f'>{len(order)}Q', *order)
    found = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(found) + 1


def select_members(
    order: collections.abc.Sequence[int], first: int, count: int
) -> collections.abc.Sequence[int]:
    """Return the members from a place on; the first ones follow the last."""
    if first == 0 and count >= len(order):
        return order
    chosen = order[first : first + count]
    return [*chosen, *order[: count - len(chosen)]]


def pack_ages(members, heard, now: float) -> bytes:
    """Return the ages; ``heard`` has the time at which each was heard of."""
    never = now - UNKNOWN
    ages = [
        int((now - heard.get(one, never)) * UNITS_A_SECOND) + 1
        for one in members
    ]
    return bytes([max(0, min(UNKNOWN, one)) for one in ages])


def unpack_ages(
    members, ages: bytes
) -> collections.abc.Iterator[tuple[int, float]]:
    """Yield the members with a known age, in seconds."""
    for one, age in zip(members, ages, strict=False):
        if age != UNKNOWN:
            yield one, age / UNITS_A_SECOND
