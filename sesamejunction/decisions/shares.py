"""Splits an organisation's rate limit and finds its allocator.

A part of the rate and burst is divided evenly between the nodes (the local
quota); the rest is allocated on demand (the shared quota).
"""

import collections.abc

from sesamejunction.decisions import hashing
from sesamejunction.model import state
from sesamejunction.model import valueclass

# Fractions of rate and burst that are divided in advance between all nodes,
# so that a node without contact to the allocator can still admit requests. The
# rate of idle and missing nodes is lost to the others: with a fraction of 20%,
# 13% of requests at 95% of the rate were refused when all of them arrived at
# one node (bench/shares.py).
LOCAL_RATE_FRACTION = 0.05
LOCAL_BURST_FRACTION = 0.2


@valueclass.define
class Quota:
    """A rate in tokens a second and a burst in tokens."""

    rate: float
    burst: float


def split_local_quota(organisation: state.Organisation, fleet) -> Quota:
    """Return the quota of each node's local bucket.

    It is zero if the local burst would be less than one token, since such a
    bucket could never admit a request.
    """
    burst = organisation.burst * LOCAL_BURST_FRACTION / fleet.max_nodes
    if burst < 1:
        return Quota(0.0, 0.0)
    return Quota(
        organisation.rate * LOCAL_RATE_FRACTION / fleet.max_nodes, burst
    )


def split_shared_quota(organisation: state.Organisation, fleet) -> Quota:
    """Return the quota that the allocator grants from."""
    local = split_local_quota(organisation, fleet)
    return Quota(
        organisation.rate - local.rate * fleet.max_nodes,
        organisation.burst - local.burst * fleet.max_nodes,
    )


def find_slot(organisation: str) -> int:
    """Return the slot of the shares service for an organisation's bucket."""
    return hashing.hash_key(organisation) % state.SHARES_SLOTS


def list_allocators(
    current: state.State, organisation: str, ended: collections.abc.Set[int]
) -> tuple[int, ...]:
    """Return the members that may be the allocator, most likely first.

    While a slot is in transition, the members of its previous order come
    first, since the old owner serves until the transition is complete.
    """
    table = current.tables.get(state.SHARES_SERVICE)
    if table is None:
        return ()
    slot_order = table.orders[find_slot(organisation)]
    if slot_order is None:
        return ()
    named = (slot_order.previous or ()) + slot_order.order
    return tuple(
        member
        for member in dict.fromkeys(named)
        if member in current.members and member not in ended
    )


def divide_fairly(
    available: float, wants: collections.abc.Mapping[int, float]
) -> dict[int, float]:
    """Return the max-min fair division of the available tokens by want.

    Each holder gets what it wants, or an equal part of what is left.
    """
    parts = {}
    left = available
    holders = sorted(wants, key=lambda member: (wants[member], member))
    for index, member in enumerate(holders):
        parts[member] = min(wants[member], left / (len(holders) - index))
        left -= parts[member]
    return parts
