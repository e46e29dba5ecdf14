"""Holder's side of shares: spends tokens and asks allocators for more."""

import collections
import math

from sesamejunction.decisions import tokenaccounts
from sesamejunction.model import messages
from sesamejunction.model import timing

# A holder asks when it holds less than this much of its demand.
LOW_S = 0.1
# Tokens for more than this much demand are given back, so that they can be
# used where the demand has moved to.
SURPLUS_S = 0.5
# Least time between two requests to an allocator that gave all it was asked
# for; one that gave less is asked again after the usual interval.
URGENT_S = 0.02
# Unanswered requests after which the next member of the order is asked.
MISSES = 2
# Requests may wait for about this much of the recent grants. Where demand
# has just moved to, the grants do not show it yet.
QUEUE_S = 0.2
SHORTEST_QUEUE = 64
MAX_WAIT_S = 0.25
# An organisation that was given less than it asked for within this time sends
# more than its rate, so most requests that waited would end without a token.
SHORT_S = 0.5
# Its requests that may wait at a node meanwhile. Without any, nothing would
# ask for tokens, and with one the bucket is not used up (bench/shares).
SHORT_QUEUE = 2
# Keeps a request within one datagram of 1,400 bytes with names of 32 bytes;
# the other organisations follow with the next request.
MAX_LINES = 24


class TokenHolder:
    """Tokens of one node, by organisation; ``now`` is boot-clock seconds."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._sequence = 0
        self.accounts = {}
        self._active = set()
        self._sessions = collections.defaultdict(tokenaccounts.Session)

    def set_organisation(self, name, local, common, allocators, now) -> None:
        """Take up an organisation or its changed quotas and allocators."""
        purse = self.accounts.get(name)
        if purse is None:
            self.accounts[name] = tokenaccounts.Purse(
                local, common, allocators, now
            )
            return
        self._fill_local(purse, now)
        purse.local, purse.common = local, common
        if allocators != purse.allocators:
            purse.allocators, purse.choice = allocators, 0
            purse.asked = 0
            # Pauses that grew before a successor took over are over.
            for one in allocators[:1]:
                self._sessions[one].misses = 0

    @property
    def is_active(self) -> bool:
        """Return whether an organisation has demand or tokens here."""
        return bool(self._active)

    def keep_only(self, organisations, members) -> None:
        """Forget organisations and allocators that no longer exist."""
        for one in [one for one in self.accounts if one not in organisations]:
            del self.accounts[one]
        self._active.intersection_update(self.accounts)
        for one in [one for one in self._sessions if one not in members]:
            del self._sessions[one]

    def count_demand(self, name: str, now: float) -> None:
        """Count one request of the organisation, admitted or not."""
        self.accounts[name].demand.add(1.0, now)
        self._active.add(name)

    def spend_token(self, name: str, now: float) -> int | None:
        """Take one token; return its receipt, None when there is none.

        The receipt of a local token is 0.
        """
        purse = self.accounts[name]
        self._fill_local(purse, now)
        if purse.level >= 1:
            purse.level -= 1
            return 0
        self.drop_ended(purse, now)
        for lot in purse.batches:
            if lot.tokens >= 1:
                lot.tokens -= 1
                return purse.report_id
        return None

    def return_token(self, name: str, receipt: int, now: float) -> None:
        """Return a token that was not used.

        Only a token that no report has counted as spent can be returned,
        since the allocator's bound no longer contains others.
        """
        purse = self.accounts.get(name)
        if purse is None or receipt != purse.report_id:
            return
        self.drop_ended(purse, now)
        if purse.batches:
            purse.batches[-1].tokens += 1

    def may_wait(self, name: str, now: float) -> bool:
        """Return whether a request can expect a token if it waits."""
        purse = self.accounts[name]
        if self.is_empty(name, now):
            return False
        expected = purse.granted.read(now) * QUEUE_S
        is_short = now < purse.short_until
        least = SHORT_QUEUE if is_short else SHORTEST_QUEUE
        return purse.waiting < max(least, expected)

    def is_empty(self, name: str, now: float) -> bool:
        """Return whether the organisation has used up its bucket.

        A request that waited would take the token of a later one, which is
        within the rate. Other nodes' local buckets may still hold tokens.
        """
        purse = self.accounts[name]
        return now < purse.empty_until and not purse.local.burst

    def list_refusal_inputs(
        self, name: str, now: float
    ) -> tuple[tuple[str, float], ...]:
        """Return the numbers behind a refusal, by name; times in seconds."""
        purse = self.accounts[name]
        return (
            ('tokens', self.count_unspent(purse, now) + purse.level),
            ('demand', round(purse.demand.read(now), 1)),
            ('granted', round(purse.granted.read(now), 1)),
            ('waiting', purse.waiting),
            ('empty_s', round(max(0.0, purse.empty_until - now), 3)),
            ('short_s', round(max(0.0, purse.short_until - now), 3)),
        )

    def build_requests(
        self, now: float, names=None
    ) -> list[tuple[int, messages.ShareRequest]]:
        """Return the requests to send now, with the allocator of each.

        ``names`` limits the organisations that are looked at.
        """
        wants = collections.defaultdict(dict)
        for name in list(self._active) if names is None else names:
            purse = self.accounts[name]
            if not purse.demand.read(now) and not purse.batches:
                self._active.discard(name)
            if purse.allocator is None:
                continue
            self._change_allocator(purse, now)
            if self._may_ask(purse, now):
                self._add_want(wants[purse.allocator], name, now)
        # A request starts the pause before the next one to its allocator.
        # Without the others' wants in it, an organisation that always asks
        # would keep them from asking before they run out.
        for name in self._active:
            purse = self.accounts[name]
            if wants.get(purse.allocator) and not purse.scarce:
                self._add_want(wants[purse.allocator], name, now)
        return [
            (allocator, self._request(allocator, found, now))
            for allocator, found in wants.items()
            if found
        ]

    def return_unspent(self, now) -> list[tuple[int, messages.ShareRequest]]:
        """Return the requests that give every unspent token back."""
        sent = []
        for name, purse in self.accounts.items():
            unspent = self.count_unspent(purse, now)
            if unspent and purse.allocator is not None:
                found = {name: -unspent}
                request = self._request(purse.allocator, found, now)
                sent.append((purse.allocator, request))
        return sent

    def take_reply(self, reply: messages.ShareReply, now: float) -> list[str]:
        """Add the granted tokens; return the organisations answered."""
        session = self._sessions.get(reply.allocator)
        if session is None or not self.is_expected(session, reply):
            return []
        session.received = reply.sequence
        session.misses = 0
        grown = []
        for grant in reply.grants:
            purse = self.accounts.get(grant.organisation)
            if purse is None or purse.allocator != reply.allocator:
                continue
            purse.asked = 0
            wanted = session.organisations.get(grant.organisation, 0.0)
            purse.empty_until = now + grant.empty_s
            if grant.tokens < wanted:
                purse.short_until = now + SHORT_S
            is_empty = self.is_empty(grant.organisation, now)
            purse.scarce = grant.tokens < wanted and not is_empty
            # Counted from the sending of the request, which was before the
            # allocator began to count.
            end = session.sent_at + grant.valid_s - timing.SHARE_GRANT_MARGIN_S
            if grant.tokens and end > now:
                purse.batches.append(tokenaccounts.Lot(grant.tokens, end))
                purse.batches.sort(key=lambda lot: lot.end)
                purse.granted.add(grant.tokens, now)
                # The level cannot grow while it is counted as unspent.
                purse.unconfirmed = not purse.count_advance(now)
            grown.append(grant.organisation)
        return grown

    def is_expected(self, session: tokenaccounts.Session, reply) -> bool:
        """Return whether the reply answers the latest request."""
        return reply.sequence == session.sequence and not session.is_answered

    def count_unspent(self, purse: tokenaccounts.Purse, now: float) -> float:
        """Return the tokens from grants that can still be spent."""
        self.drop_ended(purse, now)
        return sum(lot.tokens for lot in purse.batches)

    def drop_ended(self, purse: tokenaccounts.Purse, now: float) -> None:
        """Drop the lots whose grant has ended, and empty ones.

        The newest is kept for tokens that are given back.
        """
        batches = purse.batches
        if batches and (batches[0].end <= now or batches[0].tokens < 1):
            purse.batches = [
                lot
                for lot in batches
                if lot.end > now and (lot.tokens >= 1 or lot is batches[-1])
            ]

    def _fill_local(self, purse: tokenaccounts.Purse, now: float) -> None:
        passed = max(0.0, now - purse.filled_at)
        purse.level = min(
            purse.local.burst, purse.level + passed * purse.local.rate
        )
        purse.filled_at = now

    def _find_want(self, purse: tokenaccounts.Purse, now: float) -> int:
        """Return the tokens to ask for, or, negative, to give back."""
        demand = purse.demand.read(now)
        unspent = self.count_unspent(purse, now)
        target = purse.count_advance(now) + purse.waiting
        low = demand * min(LOW_S, purse.horizon * 0.4)
        if unspent < low or purse.waiting:
            return max(0, target - math.floor(unspent))
        if unspent > demand * SURPLUS_S + 1:
            return min(0, target - math.floor(unspent))
        return 0

    def _add_want(self, wants, name: str, now: float) -> None:
        purse = self.accounts[name]
        want = self._find_want(purse, now)
        if (want or purse.unconfirmed) and len(wants) < MAX_LINES:
            wants[name] = want

    def _may_ask(self, purse: tokenaccounts.Purse, now: float) -> bool:
        session = self._sessions[purse.allocator]
        waited = now - session.sent_at
        if not session.is_answered:
            return waited >= session.timeout_s
        if not purse.count_advance(now) and not purse.scarce:
            # Few enough to be sent for each request.
            return bool(purse.waiting) or purse.unconfirmed
        if purse.scarce or not purse.waiting:
            return waited >= timing.SHARE_INTERVAL_S
        return waited >= URGENT_S

    def _change_allocator(
        self, purse: tokenaccounts.Purse, now: float
    ) -> None:
        # Without the log, only silence tells that a successor took over.
        session = self._sessions[purse.allocator]
        if session.is_answered or purse.asked < MISSES:
            return
        if now - session.sent_at >= session.timeout_s:
            purse.asked = 0
            purse.choice += 1

    def _request(self, allocator, wants, now: float):
        session = self._sessions[allocator]
        if not session.is_answered:
            session.misses += 1
        self._sequence += 1
        session.sequence = self._sequence
        session.sent_at = now
        session.organisations = wants
        lines = []
        for name, want in wants.items():
            purse = self.accounts[name]
            purse.report_id += 1
            purse.asked += 1
            purse.unconfirmed = False
            unspent = self.count_unspent(purse, now)
            if want < 0:
                self._remove(purse, -want)
                unspent += want
            lines.append(
                messages.ShareWant(name, unspent, float(want), purse.waiting)
            )
        return messages.ShareRequest(
            self._incarnation,
            session.sequence,
            session.received,
            tuple(lines),
        )

    def _remove(self, purse: tokenaccounts.Purse, tokens: float) -> None:
        for lot in purse.batches:
            taken = min(tokens, lot.tokens)
            lot.tokens -= taken
            tokens -= taken
