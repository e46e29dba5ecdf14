"""Messages of the hot-key task, and the loads of keys that it evaluates."""

from sesamejunction.model import valueclass


@valueclass.define
class KeyCount:
    """Number of requests served for a key.

    ``count`` is exact in KeysServed and decayed in KeyLoad.
    """

    key_hash: int
    count: float


@valueclass.define
class KeysServed:
    """Reports the keys that this node served since the previous message.

    ``total`` counts all requests of the service. ``counts`` may omit keys
    with less than 1% of them.
    """

    service: str
    total: int
    counts: tuple[KeyCount, ...]


@valueclass.define
class KeyLoad:
    """Decayed counts of a service's keys at this node, in descending order.

    ``total`` counts the requests of all services that this node served.
    """

    service: str
    total: float
    counts: tuple[KeyCount, ...]
