"""Splits an organisation's rate and burst and finds its allocator."""

import collections.abc
import dataclasses

from sesamejunction.decisions import hashing
from sesamejunction.model import state

# Parts of rate and burst that are divided in advance between all nodes, so
# that a node without contact to the allocator can still admit something. What
# idle and missing nodes get of the rate is lost to the others: with 20% of
# it, 13% of requests at 95% of the rate were refused when they arrived at
# one node (bench/shares.py).
LOCAL_RATE = 0.05
LOCAL_BURST = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """A rate in tokens a second and a burst in tokens."""

    rate: float
    burst: float


def split_local_quota(organisation: state.Organisation, fleet) -> Quota:
    """Return the part that each node fills for itself.

    It is nothing where the local burst would be less than one token, since
    such a bucket could never admit a request.
    """
    burst = organisation.burst * LOCAL_BURST / fleet.max_nodes
    if burst < 1:
        return Quota(0.0, 0.0)
    return Quota(organisation.rate * LOCAL_RATE / fleet.max_nodes, burst)


def split_shared_quota(organisation: state.Organisation, fleet) -> Quota:
    """Return the part that the allocator hands out."""
    local = split_local_quota(organisation, fleet)
    return Quota(
        organisation.rate - local.rate * fleet.max_nodes,
        organisation.burst - local.burst * fleet.max_nodes,
    )


def find_slot(organisation: str) -> int:
    """Return the slot of the shares service that holds the bucket."""
    return hashing.hash_key(organisation) % state.SHARES_SLOTS


def list_allocators(
    current: state.State, organisation: str, ended: collections.abc.Set[int]
) -> tuple[int, ...]:
    """Return the members that may be the allocator, likeliest first.

    While a slot is being moved, the members of its previous order come
    first, since the old owner serves until the last moment.
    """
    table = current.tables.get(state.SHARES_SERVICE)
    if table is None:
        return ()
    arranged = table.orders[find_slot(organisation)]
    if arranged is None:
        return ()
    named = (arranged.previous or ()) + arranged.order
    return tuple(
        one
        for one in dict.fromkeys(named)
        if one in current.members and one not in ended
    )


def divide_fairly(
    available: float, wants: collections.abc.Mapping[int, float]
) -> dict[int, float]:
    """Return max-min fair parts of the available tokens by want."""
    parts = {}
    left = available
    ranked = sorted(wants, key=lambda one: (wants[one], one))
    for place, one in enumerate(ranked):
        parts[one] = min(wants[one], left / (len(ranked) - place))
        left -= parts[one]
    return parts
