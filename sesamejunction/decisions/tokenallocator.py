"""Allocator's side of shares: hands out an organisation's tokens.

The level of a pool and the upper bounds of all holders' unspent tokens are
never more than the burst together, and the level grows at the rate. So the
tokens spent in any window are at most burst + rate x window. Tokens of former
allocators are not in the bounds: those of the last that had the slot for a
whole grant period are at most half of the burst, and all allocators since
then have together added no more than the other half.
"""

import dataclasses
import math

from sesamejunction.decisions import shares
from sesamejunction.model import messages
from sesamejunction.model import requests
from sesamejunction.model import timing

HOLD_BACK_S = timing.SHARE_GRANT_VALID_S + timing.SHARE_GRANT_MARGIN_S
# A want that was not met counts in the division until its holder had the
# time to ask again.
UNMET_S = 0.25
# Ended bounds are looked for this often, since it takes a pass over all.
END_INTERVAL_S = 0.02
# A division among many holders is made anew this often; in between the
# largest part of the latest one bounds what a holder gets.
FEW = 32
DIVIDE_S = 0.01
# Part of the burst that holders may have unspent, and that the level may
# grow by while grants of former allocators are valid.
UNSPENT_PART = 0.5
# Grants of few tokens are mostly for requests that wait for them. They are
# valid for less time, since a holder with rare requests sends no report and
# the tokens count as unspent until their end.
SMALL_GRANT = 2
SMALL_GRANT_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Unmet:
    """Tokens that a holder asked for and did not get."""

    tokens: float
    until: float


@dataclasses.dataclass(slots=True)
class Bound:
    """Upper bound of a holder's unspent tokens, forgotten at ``end``.

    ``parked`` of them are not for requests that wait already.
    """

    tokens: float
    end: float
    parked: float = 0.0


@dataclasses.dataclass(slots=True)
class Pool:
    """Tokens of one organisation during one term of ownership.

    Before ``held_until`` grants of former allocators may be valid.
    ``unspent`` is the sum of the bounds, kept so that a request need not
    add up thousands of them, ``parked`` that of their parked tokens, and
    ``largest`` the largest part of the latest division.
    """

    term: requests.Token
    quota: shares.Quota
    filled_at: float
    held_until: float
    level: float = 0.0
    unspent: float = 0.0
    parked: float = 0.0
    ended_at: float = float('-inf')
    divided_at: float = float('-inf')
    largest: float = 0.0
    bounds: dict[int, Bound] = dataclasses.field(default_factory=dict)
    unmet: dict[int, Unmet] = dataclasses.field(default_factory=dict)


def continues_term(old: requests.Token, new: requests.Token) -> bool:
    """Return whether nobody else can have owned the slot in between.

    The owner of one epoch that is the first of the next one's order has not
    ended, and gives its release only to itself.
    """
    return new == old or new == requests.Token(old.epoch + 1, 0)


def find_end(old: Bound | None, unspent: float, now: float) -> float:
    """Return when the tokens that a holder has reported have all ended."""
    if not unspent:
        return now
    return old.end if old else now + HOLD_BACK_S


class Allocator:
    """Answers share requests for the organisations whose slots it owns."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._pools = {}
        self._replies = {}

    def open_pool(self, organisation, quota, term, now: float) -> None:
        """Take up an organisation, or go on with it in the same term.

        A new term starts with nothing and lets the level grow slowly until
        all grants of former allocators have ended.
        """
        pool = self._pools.get(organisation)
        if pool is None or not continues_term(pool.term, term):
            self._pools[organisation] = Pool(
                term, quota, now, now + HOLD_BACK_S
            )
        else:
            pool.term, pool.quota = term, quota

    def keep_only(self, organisations, holders) -> None:
        """Forget organisations and holders that no longer exist."""
        for one in [one for one in self._pools if one not in organisations]:
            del self._pools[one]
        for one in [one for one in self._replies if one not in holders]:
            del self._replies[one]

    def answer(
        self, request: messages.ShareRequest, organisations, now: float
    ) -> messages.ShareReply | None:
        """Return the reply, None for a request older than the latest.

        Only the named organisations, whose slots are owned now, get tokens.
        A repeat of the latest request gets the same reply.
        """
        last = self._replies.get(request.holder)
        if last is not None:
            if request.sequence < last.sequence:
                return None
            if request.sequence == last.sequence:
                return last
            if request.received < last.sequence:
                self._void(last, now)
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
        """Return the growth while former grants may be valid."""
        return min(quota.rate, quota.burst * UNSPENT_PART / HOLD_BACK_S)

    def count_outstanding(self, pool: Pool) -> float:
        """Return the tokens that holders may still spend."""
        return pool.unspent

    def _void(self, reply, now: float) -> None:
        # The holder sent a newer request before this reply came, and drops
        # it from then on.
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
        old = pool.bounds.pop(holder, None)
        returned = min(
            max(0.0, -want.want),
            max(0.0, (old.tokens if old else 0.0) - want.unspent),
        )
        bound = Bound(
            want.unspent, find_end(old, want.unspent, now), want.unspent
        )
        pool.bounds[holder] = bound
        pool.unspent += bound.tokens - (old.tokens if old else 0.0)
        pool.parked -= old.parked if old else 0.0
        pool.level += returned
        self._cap(pool)
        tokens = self._choose(pool, holder, want.want, now)
        pool.level -= tokens
        bound.tokens += tokens
        pool.unspent += tokens
        valid_s = (
            SMALL_GRANT_S
            if tokens <= SMALL_GRANT
            else timing.SHARE_GRANT_VALID_S
        )
        bound.end = max(bound.end, now + valid_s + timing.SHARE_GRANT_MARGIN_S)
        # Before this holder's own parked tokens are added again, so that the
        # sum is that of the others.
        empty_s = 0.0
        if tokens < want.want:
            empty_s = self._find_empty(pool, now)
        bound.parked = max(0.0, bound.tokens - want.waiting)
        pool.parked += bound.parked
        if not bound.tokens:
            del pool.bounds[holder]
        return messages.ShareGrant(want.organisation, tokens, valid_s, empty_s)

    def _find_empty(self, pool: Pool, now: float) -> float:
        """Return the time until the next token, 0 if others may have one.

        While grants of former allocators may be valid, an empty pool says
        nothing about the organisation's bucket.
        """
        if pool.level >= 1 or pool.parked >= 1 or now < pool.held_until:
            return 0.0
        if not pool.quota.rate:
            return 0.0
        return (1 - pool.level) / pool.quota.rate

    def _refill(self, pool: Pool, now: float) -> None:
        if now - pool.ended_at >= END_INTERVAL_S:
            pool.ended_at = now
            bounds = pool.bounds
            ended = [one for one in bounds if bounds[one].end <= now]
            # In the order of their ends, as each makes room from then on.
            for one in sorted(ended, key=lambda one: bounds[one].end):
                self._grow(pool, bounds[one].end)
                bound = bounds.pop(one)
                pool.unspent -= bound.tokens
                pool.parked -= bound.parked
        self._grow(pool, now)

    def _grow(self, pool: Pool, now: float) -> None:
        slow = max(0.0, min(now, pool.held_until) - pool.filled_at)
        passed = max(0.0, now - pool.filled_at)
        pool.level += slow * self.find_slow_rate(pool.quota)
        pool.level += (passed - slow) * pool.quota.rate
        pool.filled_at += passed
        self._cap(pool)

    def _cap(self, pool: Pool) -> None:
        room = pool.quota.burst - self.count_outstanding(pool)
        pool.level = max(0.0, min(pool.level, room))

    def _choose(self, pool: Pool, holder, want: float, now: float) -> float:
        """Return the whole tokens that the holder gets now."""
        pool.unmet.pop(holder, None)
        room = pool.quota.burst * UNSPENT_PART - self.count_outstanding(pool)
        available = min(pool.level, room)
        tokens = 0
        if want >= 1 and available >= 1:
            part = self._find_part(pool, holder, want, available, now)
            # At least one token, since parts of one would expire unused.
            tokens = max(1, math.floor(min(part, available)))
        if want > tokens:
            pool.unmet[holder] = Unmet(want - tokens, now + UNMET_S)
        return float(tokens)

    def _find_part(self, pool, holder, want, available, now) -> float:
        """Return the holder's fair part of the available tokens."""
        if len(pool.unmet) > FEW and now - pool.divided_at < DIVIDE_S:
            return min(want, pool.largest)
        pool.unmet = {
            one: unmet
            for one, unmet in pool.unmet.items()
            if unmet.until > now
        }
        wants = {one: unmet.tokens for one, unmet in pool.unmet.items()}
        wants[holder] = want
        parts = shares.divide_fairly(available, wants)
        pool.divided_at, pool.largest = now, max(parts.values())
        return parts[holder]
