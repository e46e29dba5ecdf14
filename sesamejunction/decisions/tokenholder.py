"""Distributed rate limiting, holder's side.

A holder is a node that spends an organisation's tokens, one a request, and
requests more from the organisation's allocator (see tokenallocator).
"""

import collections
import math

from sesamejunction.decisions import tokenaccounts
from sesamejunction.model import messages
from sesamejunction.model import timing

# A holder requests tokens when it has less than this many seconds of demand.
LOW_WATER_S = 0.1
# Tokens beyond this many seconds of demand are returned, so that other nodes
# can use them when the demand has moved there.
HIGH_WATER_S = 0.5
# Minimum time between two requests to an allocator that granted all that was
# requested; after a smaller grant the usual interval applies.
MIN_REQUEST_INTERVAL_S = 0.02
# Unanswered requests after which the next member of the slot order is asked.
MAX_MISSES = 2
# As many requests may wait as tokens were recently granted in this time, but
# at least MIN_QUEUE: where demand has just moved to a node, its recent grants
# do not show it yet.
QUEUED_GRANTS_S = 0.2
MIN_QUEUE = 64
MAX_WAIT_S = 0.25
# Longest wait while no allocator answers: after a restart of all nodes the
# first ones grant tokens within this time.
UNANSWERED_WAIT_S = 0.75
# An organisation that got less than it requested within this time exceeds its
# rate, so most waiting requests would get no token.
SHORTAGE_S = 0.5
# Requests of such an organisation that may wait at a node. With none, the node
# would not request tokens; with one, part of the bucket stays unspent
# (measured with bench/shares).
SHORTAGE_QUEUE = 2
# Organisations in one request. With names of 32 bytes it then fits into a
# datagram of 1,400 bytes; other organisations follow with the next request.
MAX_WANTS = 24


class TokenHolder:
    """Tokens of one node, by organisation; ``now`` is boot-clock seconds."""

    def __init__(self, incarnation: int):
        self._incarnation = incarnation
        self._sequence = 0
        self.accounts = {}
        self._active = set()
        self._sessions = collections.defaultdict(
            tokenaccounts.AllocatorSession
        )

    def set_organisation(
        self, name, local, shared_quota, allocators, now
    ) -> None:
        """Add an organisation, or update its quotas and allocators."""
        account = self.accounts.get(name)
        if account is None:
            self.accounts[name] = tokenaccounts.TokenAccount(
                local, shared_quota, allocators, now
            )
            return
        self._fill_local(account, now)
        account.local, account.shared_quota = local, shared_quota
        if allocators != account.allocators:
            account.allocators, account.allocator_changes = allocators, 0
            account.unanswered_requests = 0
            # Timeouts that grew before the successor took over are reset.
            for first_allocator in allocators[:1]:
                self._sessions[first_allocator].misses = 0

    @property
    def is_active(self) -> bool:
        """Return whether any organisation has demand or tokens here."""
        return bool(self._active)

    def keep_only(self, organisations, members) -> None:
        """Remove all other organisations and allocators."""
        for existing in [
            existing
            for existing in self.accounts
            if existing not in organisations
        ]:
            del self.accounts[existing]
        self._active.intersection_update(self.accounts)
        for existing in [
            existing for existing in self._sessions if existing not in members
        ]:
            del self._sessions[existing]

    def count_demand(self, name: str, now: float) -> None:
        """Count one request of the organisation, whether admitted or not."""
        self.accounts[name].demand.add(1.0, now)
        self._active.add(name)

    def spend_token(self, name: str, now: float) -> int | None:
        """Spend one token; return its receipt, or None without a token.

        The receipt of a token from the local bucket is 0.
        """
        account = self.accounts[name]
        self._fill_local(account, now)
        if account.level >= 1:
            account.level -= 1
            return 0
        self.drop_ended(account, now)
        for batch in account.batches:
            if batch.tokens >= 1:
                batch.tokens -= 1
                return account.report_id
        return None

    def return_token(self, name: str, receipt: int, now: float) -> None:
        """Add an unused token back to the account.

        A token that a report has already counted as spent can't be
        returned, since the allocator's bound no longer contains it.
        """
        account = self.accounts.get(name)
        if account is None or receipt != account.report_id:
            return
        self.drop_ended(account, now)
        if account.batches:
            account.batches[-1].tokens += 1

    def may_wait(self, name: str, now: float) -> bool:
        """Return whether a request may wait for a token."""
        account = self.accounts[name]
        if self.is_empty(name, now):
            return False
        expected = account.granted.read(now) * QUEUED_GRANTS_S
        is_short = now < account.short_until
        least = SHORTAGE_QUEUE if is_short else MIN_QUEUE
        return account.waiting < max(least, expected)

    def is_answered(self, name: str) -> bool:
        """Return whether the organisation's allocator answers.

        While it does not, as after a restart of all nodes, the organisation
        may be within its rate.
        """
        account = self.accounts[name]
        if account.allocator is None:
            return False
        session = self._sessions.get(account.allocator)
        return (
            session is not None
            and session.received > 0
            and account.unanswered_requests < MAX_MISSES
        )

    def is_empty(self, name: str, now: float) -> bool:
        """Return whether the organisation's bucket is empty.

        A waiting request would then take the token of a later request that
        is within the rate. Not true for an organisation with local buckets,
        since those of other nodes may still contain tokens.
        """
        account = self.accounts[name]
        return now < account.empty_until and not account.local.burst

    def list_refusal_inputs(
        self, name: str, now: float
    ) -> tuple[tuple[str, float], ...]:
        """Return the values behind a refusal, by name; times in seconds."""
        account = self.accounts[name]
        return (
            ('tokens', self.count_unspent(account, now) + account.level),
            ('demand', round(account.demand.read(now), 1)),
            ('granted', round(account.granted.read(now), 1)),
            ('waiting', account.waiting),
            ('empty_s', round(max(0.0, account.empty_until - now), 3)),
            ('short_s', round(max(0.0, account.short_until - now), 3)),
        )

    def build_requests(
        self, now: float, names=None
    ) -> list[tuple[int, messages.ShareRequest]]:
        """Return (allocator, request) pairs to send now.

        ``names`` limits the organisations that are checked.
        """
        wants = collections.defaultdict(dict)
        for name in list(self._active) if names is None else names:
            account = self.accounts[name]
            if not account.demand.read(now) and not account.batches:
                self._active.discard(name)
            if account.allocator is None:
                continue
            self._change_silent_allocator(account, now)
            if self._may_ask(account, now):
                self._add_want(wants[account.allocator], name, now)
        # Each request starts a pause before the next one to the same
        # allocator. So it also contains the wants of other organisations;
        # otherwise one that asks all the time would keep them from asking
        # before they run out of tokens.
        if any(wants.values()):
            self._add_other_wants(wants, now)
        return [
            (allocator, self._build_request(allocator, requested, now))
            for allocator, requested in wants.items()
            if requested
        ]

    def _add_other_wants(self, wants, now) -> None:
        """Add what other organisations want from the same allocators."""
        for name in self._active:
            account = self.accounts[name]
            if wants.get(account.allocator) and not account.scarce:
                self._add_want(wants[account.allocator], name, now)

    def return_unspent(self, now) -> list[tuple[int, messages.ShareRequest]]:
        """Return the requests that return all unspent tokens."""
        addressed_requests = []
        for name, account in self.accounts.items():
            unspent = self.count_unspent(account, now)
            if unspent and account.allocator is not None:
                returned = {name: -unspent}
                request = self._build_request(account.allocator, returned, now)
                addressed_requests.append((account.allocator, request))
        return addressed_requests

    def take_reply(self, reply: messages.ShareReply, now: float) -> list[str]:
        """Add the granted tokens; return the organisations in the reply."""
        session = self._sessions.get(reply.allocator)
        if session is None or not self.is_expected(session, reply):
            return []
        session.received = reply.sequence
        session.misses = 0
        answered_names = []
        for grant in reply.grants:
            account = self.accounts.get(grant.organisation)
            if account is None or account.allocator != reply.allocator:
                continue
            account.unanswered_requests = 0
            wanted = session.organisations.get(grant.organisation, 0.0)
            account.empty_until = now + grant.empty_s
            if grant.tokens < wanted:
                account.short_until = now + SHORTAGE_S
            is_empty = self.is_empty(grant.organisation, now)
            account.scarce = grant.tokens < wanted and not is_empty
            # The validity counts from when the request was sent, so it ends
            # here before it ends at the allocator.
            end = session.sent_at + grant.valid_s - timing.SHARE_GRANT_MARGIN_S
            if grant.tokens and end > now:
                account.batches.append(
                    tokenaccounts.TokenBatch(grant.tokens, end)
                )
                account.batches.sort(key=lambda batch: batch.end)
                account.granted.add(grant.tokens, now)
                # The allocator's level cannot grow while it counts these
                # tokens as unspent.
                account.has_unreported_grant = (
                    not account.count_advance_tokens(now)
                )
            answered_names.append(grant.organisation)
        return answered_names

    def is_expected(
        self, session: tokenaccounts.AllocatorSession, reply
    ) -> bool:
        """Return whether the reply answers the latest request."""
        return reply.sequence == session.sequence and not session.is_answered

    def count_unspent(
        self, account: tokenaccounts.TokenAccount, now: float
    ) -> float:
        """Return the number of granted tokens that can still be spent."""
        self.drop_ended(account, now)
        return sum(batch.tokens for batch in account.batches)

    def drop_ended(
        self, account: tokenaccounts.TokenAccount, now: float
    ) -> None:
        """Drop batches of expired grants and empty batches.

        The batch that expires last is kept until then, even if empty, for
        tokens that are returned.
        """
        batches = account.batches
        if batches and (batches[0].end <= now or batches[0].tokens < 1):
            account.batches = [
                batch
                for batch in batches
                if batch.end > now
                and (batch.tokens >= 1 or batch is batches[-1])
            ]

    def _fill_local(
        self, account: tokenaccounts.TokenAccount, now: float
    ) -> None:
        passed = max(0.0, now - account.filled_at)
        account.level = min(
            account.local.burst, account.level + passed * account.local.rate
        )
        account.filled_at = now

    def _find_want(
        self, account: tokenaccounts.TokenAccount, now: float
    ) -> int:
        """Return the tokens to request, or, if negative, to return."""
        demand = account.demand.read(now)
        unspent = self.count_unspent(account, now)
        target = account.count_advance_tokens(now) + account.waiting
        low = demand * min(LOW_WATER_S, account.advance_s * 0.4)
        if unspent < low or account.waiting:
            return max(0, target - math.floor(unspent))
        if unspent > demand * HIGH_WATER_S + 1:
            return min(0, target - math.floor(unspent))
        return 0

    def _add_want(self, wants, name: str, now: float) -> None:
        account = self.accounts[name]
        want = self._find_want(account, now)
        if (want or account.has_unreported_grant) and len(wants) < MAX_WANTS:
            wants[name] = want

    def _may_ask(
        self, account: tokenaccounts.TokenAccount, now: float
    ) -> bool:
        session = self._sessions[account.allocator]
        waited = now - session.sent_at
        if not session.is_answered:
            return waited >= session.timeout_s
        if not account.count_advance_tokens(now) and not account.scarce:
            # Low demand: a share request for each waiting request.
            return bool(account.waiting) or account.has_unreported_grant
        if account.scarce or not account.waiting:
            return waited >= timing.SHARE_INTERVAL_S
        return waited >= MIN_REQUEST_INTERVAL_S

    def _change_silent_allocator(
        self, account: tokenaccounts.TokenAccount, now: float
    ) -> None:
        # During an outage of the log, a node learns only from missing replies
        # that a successor has taken over.
        session = self._sessions[account.allocator]
        if session.is_answered or account.unanswered_requests < MAX_MISSES:
            return
        if now - session.sent_at >= session.timeout_s:
            account.unanswered_requests = 0
            account.allocator_changes += 1

    def _build_request(self, allocator, wants, now: float):
        session = self._sessions[allocator]
        if not session.is_answered:
            session.misses += 1
        self._sequence += 1
        session.sequence = self._sequence
        session.sent_at = now
        session.organisations = wants
        share_wants = []
        for name, want in wants.items():
            account = self.accounts[name]
            account.report_id += 1
            account.unanswered_requests += 1
            account.has_unreported_grant = False
            unspent = self.count_unspent(account, now)
            if want < 0:
                self._remove_tokens(account, -want)
                unspent += want
            share_wants.append(
                messages.ShareWant(name, unspent, float(want), account.waiting)
            )
        return messages.ShareRequest(
            self._incarnation,
            session.sequence,
            session.received,
            tuple(share_wants),
        )

    def _remove_tokens(
        self, account: tokenaccounts.TokenAccount, tokens: float
    ) -> None:
        for batch in account.batches:
            removed = min(tokens, batch.tokens)
            batch.tokens -= removed
            tokens -= removed
