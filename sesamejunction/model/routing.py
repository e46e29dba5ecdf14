"""Routes by host and path prefix, as an operator declares them."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated, and how a body is to be treated."""

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    UPLOAD = 'upload'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service's weight in a route that is split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and path prefix go, and under which limits.

    ``attempts`` bounds the targets that one request may be sent to,
    ``time_limit_s`` the time to its final reply; ``objective_s`` is the
    latency at which a reply has its full worth. ``rank`` 0 goes first.
    ``is_open`` routes take requests without a caller key.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send: bytes, and seconds of silence."""

    head_bytes: int = 16384
    body_bytes: int = 1 << 26
    head_s: float = 10.0
    idle_s: float = 15.0
