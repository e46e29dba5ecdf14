"""A holder's tokens of one organisation, and its session with an allocator."""

import dataclasses
import math

from sesamejunction.decisions import shares
from sesamejunction.model import timing

# Time constant of the measured rates.
DEMAND_WINDOW_S = 0.5
# First and longest wait for the reply of an allocator.
FIRST_TIMEOUT_S = timing.SHARE_INTERVAL_S
LONGEST_TIMEOUT_S = 0.4
# Smallest number of tokens to request in advance without a local bucket. The
# burst is then small, and single unspent tokens at many nodes would use it up,
# so below this number a node requests tokens only for waiting requests.
MIN_ADVANCE_TOKENS = 3
# A demand below this, in requests a second, counts as none, so that no tokens
# are requested in advance.
MIN_DEMAND_RATE = 0.2
# Seconds of its demand for which a holder requests tokens.
ADVANCE_S = 0.25


@dataclasses.dataclass(slots=True)
class TokenBatch:
    """Unspent tokens of one grant, which expire at ``end``."""

    tokens: float
    end: float


@dataclasses.dataclass(slots=True)
class RateMeter:
    """Rate of events, averaged with the time constant DEMAND_WINDOW_S."""

    count: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count events."""
        self.count = self.read(now) * DEMAND_WINDOW_S + amount
        self.at = now

    def read(self, now: float) -> float:
        """Return the events a second, 0 if below MIN_DEMAND_RATE."""
        decay = math.exp((self.at - now) / DEMAND_WINDOW_S)
        rate = self.count * decay / DEMAND_WINDOW_S
        return rate if rate >= MIN_DEMAND_RATE else 0.0


@dataclasses.dataclass(slots=True)
class TokenAccount:
    """Tokens of one organisation at this node.

    ``local`` and ``level`` are the quota and the tokens of the local bucket.
    ``allocators`` are the candidates, ``allocator_changes`` counts the
    changes from one to the next, and ``unanswered_requests`` the requests to
    the present one since its latest reply. ``report_id`` numbers the reports
    to allocators. ``waiting`` requests wait for a token. Until ``empty_until``
    the organisation's bucket is empty for all nodes. Until ``short_until``
    its latest shortage, a grant of less than requested, counts as recent.
    ``scarce`` means that the latest grant was a shortage although the
    bucket was not empty. ``has_unreported_grant`` means that a grant for
    single requests was not reported as spent yet.
    """

    local: shares.Quota
    shared_quota: shares.Quota
    allocators: tuple[int, ...]
    filled_at: float
    level: float = 0.0
    allocator_changes: int = 0
    unanswered_requests: int = 0
    report_id: int = 1
    waiting: int = 0
    scarce: bool = False
    empty_until: float = float('-inf')
    short_until: float = float('-inf')
    has_unreported_grant: bool = False
    batches: list[TokenBatch] = dataclasses.field(default_factory=list)
    demand: RateMeter = dataclasses.field(default_factory=RateMeter)
    granted: RateMeter = dataclasses.field(default_factory=RateMeter)

    @property
    def allocator(self) -> int | None:
        """Return the member to ask, None if there is none."""
        if not self.allocators:
            return None
        return self.allocators[self.allocator_changes % len(self.allocators)]

    @property
    def advance_s(self) -> float:
        """Return the seconds of demand for which tokens are requested.

        Unspent tokens must not use up a small burst.
        """
        if not self.shared_quota.rate:
            return ADVANCE_S
        return min(
            ADVANCE_S, self.shared_quota.burst / (4 * self.shared_quota.rate)
        )

    def count_advance_tokens(self, now: float) -> int:
        """Return the number of tokens to hold for future requests."""
        # Rounded down: tokens held for rare requests would use up the rate.
        advance = math.floor(self.demand.read(now) * self.advance_s)
        min_tokens = 1 if self.local.burst else MIN_ADVANCE_TOKENS
        return advance if advance >= min_tokens else 0


@dataclasses.dataclass(slots=True)
class AllocatorSession:
    """The latest request to one allocator.

    ``sequence`` is its number, ``received`` that of the latest reply, and
    ``misses`` counts the consecutive requests without a reply.
    ``organisations`` maps each organisation in it to the tokens requested.
    """

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
        """Return how long to wait for a reply before the next request.

        It grows with each missing reply, because a new request voids a reply
        that may still be in transit.
        """
        return min(LONGEST_TIMEOUT_S, FIRST_TIMEOUT_S * 2**self.misses)
