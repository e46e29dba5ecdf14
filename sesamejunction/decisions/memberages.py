"""Packs the ages of the last contact with each member, one byte a member.

Two nodes with the same list of members sort it identically, so the ages need
no identifiers. Pairs of identifier and age took 11 bytes a member, so an Echo
could hold only 60 of them: with 300 members, 29% of the live ones had no
known contact for 1.5 s. With all members in each Echo, none had (simulated
without packet loss).
"""

import collections.abc
import hashlib
import struct

# Ages are sent in units of 10 ms, rounded up; UNKNOWN_AGE means 2.55 s or
# more.
UNITS_PER_SECOND = 100
UNKNOWN_AGE = 255
# Members in one Echo, so that it fits into a datagram. In a larger fleet each
# Echo holds a randomly chosen section of the member list.
MAX_AGES = 600
DIGEST_BYTES = 7


def digest_members(order: collections.abc.Sequence[int]) -> int:
    """Return a hash of the ordered members, which is never 0."""
    data = struct.pack(f'>{len(order)}Q', *order)
    hashed = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(hashed) + 1


def select_members(
    order: collections.abc.Sequence[int], start: int, count: int
) -> collections.abc.Sequence[int]:
    """Return ``count`` members from an index on, wrapping at the end."""
    if start == 0 and count >= len(order):
        return order
    chosen = order[start : start + count]
    return [*chosen, *order[: count - len(chosen)]]


def pack_ages(members, contact_times, now: float) -> bytes:
    """Return the ages as bytes.

    ``contact_times`` maps members to the times of the last contact with them.
    """
    unknown_since = now - UNKNOWN_AGE
    ages = [
        int(
            (now - contact_times.get(member, unknown_since)) * UNITS_PER_SECOND
        )
        + 1
        for member in members
    ]
    return bytes([max(0, min(UNKNOWN_AGE, units)) for units in ages])


def unpack_ages(
    members, ages: bytes
) -> collections.abc.Iterator[tuple[int, float]]:
    """Yield each member with a known age, and the age in seconds."""
    for member, age in zip(members, ages, strict=False):
        if age != UNKNOWN_AGE:
            yield member, age / UNITS_PER_SECOND
