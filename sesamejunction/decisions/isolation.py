"""Decides whether a node without contact to the log accepts new requests."""

import math

from sesamejunction.model import timing
from sesamejunction.model import valueclass


@valueclass.define
class Contact:
    """A node's contact with the log; ages are in seconds.

    ``own_age`` and ``peer_age`` are the ages of the latest log contact of
    this node and of the most recent one of a peer; ``behind_s`` is how long
    this node has been behind a peer's offset, 0 if it is not.
    ``offline_limit_s`` is the longest time to serve without contact, 0 for
    no limit.
    """

    lease_held: bool
    own_age: float
    peer_age: float = math.inf
    behind_s: float = 0.0
    offline_limit_s: float = 0.0


@valueclass.define
class Serves:
    """New requests are accepted."""


@valueclass.define
class Refuses:
    """New requests are refused as "not run", for this reason."""

    reason: str


def check_contact(contact: Contact) -> Serves | Refuses:
    """Return whether to accept new requests, see section 5.3 of the design."""
    age = min(contact.own_age, contact.peer_age)
    limit = contact.offline_limit_s
    match contact:
        case Contact(lease_held=False):
            return Refuses('the node has no lease; retry at another node')
        case Contact(own_age=own_age) if own_age <= timing.LOG_STALE_AFTER_S:
            return Serves()
        case Contact(behind_s=behind_s) if behind_s > timing.LOG_STALE_AFTER_S:
            return Refuses('the node is behind its peers; retry elsewhere')
        case _ if limit > 0 and age > limit:
            return Refuses('no contact with the log; retry elsewhere')
        case _:
            return Serves()
