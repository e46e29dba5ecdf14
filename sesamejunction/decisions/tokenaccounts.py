"""What a holder knows of one organisation's tokens and of one allocator."""

import dataclasses
import math

from sesamejunction.decisions import shares
from sesamejunction.model import timing

DEMAND_WINDOW_S = 0.5
FIRST_TIMEOUT_S = timing.SHARE_INTERVAL_S
LONGEST_TIMEOUT_S = 0.4
# Without local buckets the burst is small: single tokens parked at many nodes
# would use it up, so a node asks for each request when it comes.
LEAST_ADVANCE = 3
# A demand below this, in requests a second, asks for nothing in advance.
IDLE_RATE = 0.2
# A holder asks for this much of its demand.
REFILL_S = 0.25


@dataclasses.dataclass(slots=True)
class Lot:
    """Tokens of one grant, dropped at ``end``."""

    tokens: float
    end: float


@dataclasses.dataclass(slots=True)
class Meter:
    """Rate of events over the last half second or so."""

    count: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count events."""
        self.count = self.read(now) * DEMAND_WINDOW_S + amount
        self.at = now

    def read(self, now: float) -> float:
        """Return events a second."""
        decay = math.exp((self.at - now) / DEMAND_WINDOW_S)
        rate = self.count * decay / DEMAND_WINDOW_S
        return rate if rate >= IDLE_RATE else 0.0


@dataclasses.dataclass(slots=True)
class Purse:
    """Tokens of one organisation held here.

    ``allocators`` are the candidates, ``choice`` counts the changes from one
    to the next, and ``asked`` the requests to it since its latest reply.
    ``report_id`` numbers the reports to allocators. Until ``empty_until`` the
    organisation has used up its bucket at all nodes, until ``short_until``
    it got less than it asked for lately. ``unconfirmed`` tells that a grant
    for single requests was not reported as spent yet.
    """

    local: shares.Quota
    common: shares.Quota
    allocators: tuple[int, ...]
    filled_at: float
    level: float = 0.0
    choice: int = 0
    asked: int = 0
    report_id: int = 1
    waiting: int = 0
    scarce: bool = False
    empty_until: float = float('-inf')
    short_until: float = float('-inf')
    unconfirmed: bool = False
    batches: list[Lot] = dataclasses.field(default_factory=list)
    demand: Meter = dataclasses.field(default_factory=Meter)
    granted: Meter = dataclasses.field(default_factory=Meter)

    @property
    def allocator(self) -> int | None:
        """Return the member to ask, None when none is known."""
        if not self.allocators:
            return None
        return self.allocators[self.choice % len(self.allocators)]

    @property
    def horizon(self) -> float:
        """Return seconds of demand to ask for.

        A small burst must not be used up by the tokens that lie unspent.
        """
        if not self.common.rate:
            return REFILL_S
        return min(REFILL_S, self.common.burst / (4 * self.common.rate))

    def count_advance(self, now: float) -> int:
        """Return tokens to hold for requests that are still to come."""
        # Rounded down: tokens kept for rare requests would use up the rate.
        advance = math.floor(self.demand.read(now) * self.horizon)
        least = 1 if self.local.burst else LEAST_ADVANCE
        return advance if advance >= least else 0


@dataclasses.dataclass(slots=True)
class Session:
    """The latest request to one allocator."""

    sequence: int = 0
    received: int = 0
    sent_at: float = float('-inf')
    misses: int = 0
    organisations: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def is_answered(self) -> bool:
        """Return whether the latest request was answered."""
        return self.received == self.sequence

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for a reply before asking anew.

        It grows with each miss, because a new request voids the reply that
        may still be on its way.
        """
        return min(LONGEST_TIMEOUT_S, FIRST_TIMEOUT_S * 2**self.misses)
