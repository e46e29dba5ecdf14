"""Distributed rate limiting, allocator's side: grants tokens to the holders.

The level of a pool plus the upper bounds of all holders' unspent tokens never
exceed the burst, and the level grows at the rate. So at most burst + rate x
window tokens are spent in any window. Tokens granted by former allocators are
not in the bounds. Those of the last allocator that owned the slot for a whole
grant period are at most half of the burst, and all allocators since then
together have added at most the other half.
"""

import dataclasses
import math

from sesamejunction.decisions import shares
from sesamejunction.model import messages
from sesamejunction.model import requests
from sesamejunction.model import timing
from sesamejunction.model import valueclass

# Time in which all grants of former allocators expire.
HOLD_BACK_S = timing.SHARE_GRANT_VALID_S + timing.SHARE_GRANT_MARGIN_S
# An unmet want is included in the fair division for this long, so that its
# holder has the time to ask again.
UNMET_S = 0.25
# Interval of the search for expired bounds, which checks all of them.
EXPIRY_INTERVAL_S = 0.02
# With more holders than this, the fair division is computed only once in the
# interval. In between, a holder gets at most the largest part of the latest
# division.
MAX_EXACT_HOLDERS = 32
DIVISION_INTERVAL_S = 0.01
# Fraction of the burst that holders may have unspent, and by which the level
# may grow while grants of former allocators are valid.
UNSPENT_FRACTION = 0.5
# Grants of few tokens are mostly spent at once by waiting requests. They are
# valid for a shorter time, since a holder with rare requests sends no report,
# and its tokens count as unspent until the grant ends.
SMALL_GRANT_TOKENS = 2
SMALL_GRANT_S = 0.4


@valueclass.define
class Unmet:
    """Tokens that a holder requested and did not get."""

    tokens: float
    until: float


@dataclasses.dataclass(slots=True)
class Bound:
    """Upper bound of a holder's unspent tokens, which expire at ``end``.

    ``parked`` is the number of tokens in excess of its waiting requests.
    """

    tokens: float
    end: float
    parked: float = 0.0


@dataclasses.dataclass(slots=True)
class Pool:
    """Token bucket of one organisation during one term of ownership.

    Until ``held_until``, grants of former allocators may still be valid.
    ``unspent`` is the sum of the bounds, cached so that a request need not
    add up thousands of them, and ``parked`` that of their parked tokens.
    ``expiry_checked_at`` is the time of the latest search for expired bounds,
    ``divided_at`` that of the latest division and ``largest_part`` its
    largest part.
    """

    term: requests.Token
    quota: shares.Quota
    filled_at: float
    held_until: float
    level: float = 0.0
    unspent: float = 0.0
    parked: float = 0.0
    expiry_checked_at: float = float('-inf')
    divided_at: float = float('-inf')
    largest_part: float = 0.0
    bounds: dict[int, Bound] = dataclasses.field(default_factory=dict)
    unmet: dict[int, Unmet] = dataclasses.field(default_factory=dict)


def continues_term(former: requests.Token, new: requests.Token) -> bool:
    """Return whether no other member can have owned the slot in between.

    A member that owned the slot in one epoch and is first in the order of
    the next epoch has not ended, and has released the slot only to itself.
    """
    return new == former or new == requests.Token(former.epoch + 1, 0)


def find_expiry(former: Bound | None, unspent: float, now: float) -> float:
    """Return when all tokens that a holder has reported have expired."""
    if not unspent:
        return now
    return former.end if former else now + HOLD_BACK_S


class Allocator:
    """Answers share requests for organisations whose slots this node owns."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._pools = {}
        # Organisations whose pools were removed, whose tokens may be valid.
        self._removed = set()
        self._replies = {}

    def open_pool(
        self, organisation, quota, term, now: float, former_ended_at=None
    ) -> None:
        """Create an organisation's pool, or update it in the same term.

        In a new term the pool starts empty, and its level grows slowly until
        all grants of former allocators have expired. If it is known that none
        of them has granted anything since ``former_ended_at``, both count
        from that time, unless this allocator had a pool that was removed.
        """
        pool = self._pools.get(organisation)
        if pool is None or not continues_term(pool.term, term):
            is_known = (
                former_ended_at is not None
                and organisation not in self._removed
            )
            since = former_ended_at if is_known else now
            self._pools[organisation] = Pool(
                term, quota, since, since + HOLD_BACK_S
            )
        else:
            pool.term, pool.quota = term, quota

    def keep_only(self, organisations, holders) -> None:
        """Remove all other organisations and holders."""
        for existing in [
            existing
            for existing in self._pools
            if existing not in organisations
        ]:
            del self._pools[existing]
            self._removed.add(existing)
        for existing in [
            existing for existing in self._replies if existing not in holders
        ]:
            del self._replies[existing]

    def answer(
        self, request: messages.ShareRequest, organisations, now: float
    ) -> messages.ShareReply | None:
        """Return the reply, None for a request older than the latest.

        Only ``organisations``, whose slots this node owns, get tokens. A
        repetition of the latest request gets the same reply.
        """
        last = self._replies.get(request.holder)
        if last is not None:
            if request.sequence < last.sequence:
                return None
            if request.sequence == last.sequence:
                return last
            if request.received < last.sequence:
                self._void_reply(last, now)
        reply = messages.ShareReply(
            self._incarnation,
            request.holder,
            request.sequence,
            tuple(
                self._grant(request.holder, want, now)
                for want in request.wants
                if want.organisation in organisations
            ),
        )
        self._replies[request.holder] = reply
        return reply

    def find_slow_rate(self, quota: shares.Quota) -> float:
        """Return the rate of growth while former grants may be valid."""
        return min(quota.rate, quota.burst * UNSPENT_FRACTION / HOLD_BACK_S)

    def count_outstanding(self, pool: Pool) -> float:
        """Return the tokens that holders may still spend."""
        return pool.unspent

    def _void_reply(self, reply, now: float) -> None:
        # The holder sent a newer request before it received this reply, and
        # ignores the reply from then on.
        for grant in reply.grants:
            pool = self._pools.get(grant.organisation)
            bound = pool and pool.bounds.get(reply.holder)
            if bound:
                self._refill(pool, now)
                voided = min(grant.tokens, bound.tokens)
                bound.tokens -= voided
                pool.unspent -= voided
                pool.level += voided
                kept = min(bound.parked, bound.tokens)
                pool.parked -= bound.parked - kept
                bound.parked = kept

    def _grant(self, holder, want, now: float) -> messages.ShareGrant:
        pool = self._pools[want.organisation]
        self._refill(pool, now)
        former = pool.bounds.pop(holder, None)
        returned = min(
            max(0.0, -want.want),
            max(0.0, (former.tokens if former else 0.0) - want.unspent),
        )
        bound = Bound(
            want.unspent, find_expiry(former, want.unspent, now), want.unspent
        )
        pool.bounds[holder] = bound
        pool.unspent += bound.tokens - (former.tokens if former else 0.0)
        pool.parked -= former.parked if former else 0.0
        pool.level += returned
        self._cap_level(pool)
        tokens = self._choose_grant(pool, holder, want.want, now)
        pool.level -= tokens
        bound.tokens += tokens
        pool.unspent += tokens
        valid_s = (
            SMALL_GRANT_S
            if tokens <= SMALL_GRANT_TOKENS
            else timing.SHARE_GRANT_VALID_S
        )
        bound.end = max(bound.end, now + valid_s + timing.SHARE_GRANT_MARGIN_S)
        # Computed before this holder's parked tokens are added again, so that
        # the sum contains only those of the others.
        empty_s = 0.0
        if tokens < want.want:
            empty_s = self._find_empty_time(pool, now)
        bound.parked = max(0.0, bound.tokens - want.waiting)
        pool.parked += bound.parked
        if not bound.tokens:
            del pool.bounds[holder]
        return messages.ShareGrant(want.organisation, tokens, valid_s, empty_s)

    def _find_empty_time(self, pool: Pool, now: float) -> float:
        """Return the seconds until the next token, 0 if others may have one.

        While grants of former allocators may be valid, it is also 0, since
        an empty pool does not mean that the organisation has no tokens.
        """
        if pool.level >= 1 or pool.parked >= 1 or now < pool.held_until:
            return 0.0
        if not pool.quota.rate:
            return 0.0
        return (1 - pool.level) / pool.quota.rate

    def _refill(self, pool: Pool, now: float) -> None:
        if now - pool.expiry_checked_at >= EXPIRY_INTERVAL_S:
            pool.expiry_checked_at = now
            bounds = pool.bounds
            ended = [
                ended_holder
                for ended_holder in bounds
                if bounds[ended_holder].end <= now
            ]
            # In the order of their ends, as the level may grow more after
            # each of them.
            for ended_holder in sorted(
                ended, key=lambda ended_holder: bounds[ended_holder].end
            ):
                self._grow_level(pool, bounds[ended_holder].end)
                bound = bounds.pop(ended_holder)
                pool.unspent -= bound.tokens
                pool.parked -= bound.parked
        self._grow_level(pool, now)

    def _grow_level(self, pool: Pool, now: float) -> None:
        held_back = max(0.0, min(now, pool.held_until) - pool.filled_at)
        elapsed = max(0.0, now - pool.filled_at)
        pool.level += held_back * self.find_slow_rate(pool.quota)
        pool.level += (elapsed - held_back) * pool.quota.rate
        pool.filled_at += elapsed
        self._cap_level(pool)

    def _cap_level(self, pool: Pool) -> None:
        available_burst = pool.quota.burst - self.count_outstanding(pool)
        pool.level = max(0.0, min(pool.level, available_burst))

    def _choose_grant(
        self, pool: Pool, holder, want: float, now: float
    ) -> float:
        """Return the number of whole tokens that the holder gets now."""
        pool.unmet.pop(holder, None)
        available_burst = (
            pool.quota.burst * UNSPENT_FRACTION - self.count_outstanding(pool)
        )
        available = min(pool.level, available_burst)
        tokens = 0
        if want >= 1 and available >= 1:
            part = self._find_part(pool, holder, want, available, now)
            # At least one token, since fractions of one would expire unused.
            tokens = max(1, math.floor(min(part, available)))
        if want > tokens:
            pool.unmet[holder] = Unmet(want - tokens, now + UNMET_S)
        return float(tokens)

    def _find_part(self, pool, holder, want, available, now) -> float:
        """Return the holder's fair share of the available tokens."""
        if (
            len(pool.unmet) > MAX_EXACT_HOLDERS
            and now - pool.divided_at < DIVISION_INTERVAL_S
        ):
            return min(want, pool.largest_part)
        pool.unmet = {
            other: unmet
            for other, unmet in pool.unmet.items()
            if unmet.until > now
        }
        wants = {other: unmet.tokens for other, unmet in pool.unmet.items()}
        wants[holder] = want
        parts = shares.divide_fairly(available, wants)
        pool.divided_at, pool.largest_part = now, max(parts.values())
        return parts[holder]
