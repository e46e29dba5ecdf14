"""Chooses which nodes read a topic from the log, and who passes it on.

Calls to the log are limited and priced for the whole fleet, so only a few
nodes of each availability zone read it. The others get the changes from
another node of their zone. All nodes derive the same order from the same
members; nodes that know different members only make more calls.
"""

import collections
import collections.abc

from sesamejunction.decisions import hashing
from sesamejunction.model import state
from sesamejunction.model import valueclass

# Members of a zone that read a topic. In a large zone a second one halves the
# number of nodes that wait for a replacement when one fails.
READERS_PER_ZONE = 1
READERS_PER_LARGE_ZONE = 2
LARGE_ZONE = 16
# Members that get changes from the same one. More would have to share its
# line, less would mean more steps: three carry a change to 170 members.
FAN_OUT = 4


@valueclass.define
class ReadLog:
    """The node reads the topic from the log."""


@valueclass.define
class ReadPeer:
    """The node gets the topic's changes from a member of its zone."""

    member: state.Member


READ_LOG = ReadLog()


def choose_source(
    members: collections.abc.Mapping[int, state.Member],
    own: int,
    zone: str,
    topic: str,
    excluded: collections.abc.Set[int],
) -> ReadLog | ReadPeer:
    """Return where the node of incarnation ``own`` reads a topic.

    ``excluded`` members do not answer, and those that stop pass nothing on.
    """
    candidates = [
        member_id
        for member_id, member in members.items()
        if member.zone == zone
        and not member.stopping
        and member_id not in excluded
        and member_id != own
    ]
    order = hashing.rank_members(topic, (*candidates, own))
    place, readers = order.index(own), count_readers(len(order))
    if place < readers:
        return READ_LOG
    return ReadPeer(members[order[(place - readers) // FAN_OUT]])


def count_readers(size: int) -> int:
    """Return how many of a zone's members read a topic from the log."""
    return READERS_PER_LARGE_ZONE if size >= LARGE_ZONE else READERS_PER_ZONE


def list_readers(
    members: collections.abc.Mapping[int, state.Member], topic: str
) -> list[int]:
    """Return the incarnations that read a topic from the log."""
    zones = collections.defaultdict(list)
    for member_id, member in members.items():
        if not member.stopping:
            zones[member.zone].append(member_id)
    return sorted(
        member_id
        for zone_members in zones.values()
        for member_id in hashing.rank_members(topic, zone_members)[
            : count_readers(len(zone_members))
        ]
    )
