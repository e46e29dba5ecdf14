"""Routes by host and path prefix, from the operator's declarations."""

import enum

from sesamejunction.model import valueclass


class RouteKind(enum.Enum):
    """Whether requests may be repeated, and how bodies are handled.

    The answers of a DOWNLOAD are large.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    UPLOAD = 'upload'
    DOWNLOAD = 'download'

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (RouteKind.REPEATABLE, RouteKind.DOWNLOAD)


@valueclass.define
class WeightedService:
    """A service and its weight in a route with split traffic."""

    service: str
    weight: float


@valueclass.define
class Route:
    """Destination and limits of requests for a host and path prefix.

    ``parts`` are the services that the traffic is split between.
    ``attempts`` limits the targets that one request may be sent to,
    ``time_limit_s`` the time to its final reply. ``objective_s`` is the
    latency objective. Rank 0 has the highest priority. ``is_open`` routes
    accept requests without a caller key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[WeightedService, ...]
    attempts: int
    time_limit_s: float
    objective_s: float
    rank: int
    is_open: bool


@valueclass.define
class Limits:
    """Limits on the size of callers' requests and on idle time."""

    head_bytes: int = 16384
    body_bytes: int = 1 << 26
    head_s: float = 10.0
    idle_s: float = 15.0
