"""Background calls to peers, whose results are sent to an actor."""

import asyncio
import math
import typing

from sesamejunction import errors
from sesamejunction.model import owning
from sesamejunction.model import valueclass

# Minimum interval between calls to the same member.
MIN_CALL_INTERVAL_S = 0.05


class Peers(typing.Protocol):
    """RPCs to other members; each raises PeerUnavailable on failure."""

    async def request_releases(self, member, question) -> owning.Releases:
        """Return the releases that the member grants."""

    async def send_releases(self, member, given: owning.Releases) -> None:
        """Deliver releases; returns when the member has recorded them."""


@valueclass.define
class Delivered:
    """Reports that the member has recorded these releases."""

    member: int
    given: frozenset[owning.SlotRelease]


class PeerCalls:
    """Runs at most one call to each member and passes results to ``report``.

    Failed calls are not reported; the actor repeats what it still needs.
    """

    def __init__(self, peers: Peers, report):
        self._peers = peers
        self._report = report
        self._calls = {}
        self._called_at = {}

    def start_release_request(
        self, member, question: owning.AskReleases, now
    ) -> None:
        """Ask a member for releases, unless a call to it runs or is recent."""
        if self._may_call(member.incarnation, now):
            self._start_call(member, self._request(member, question))

    def deliver_releases(self, member, given, now) -> None:
        """Deliver releases, unless a call to the member runs or is recent."""
        if self._may_call(member.incarnation, now):
            self._start_call(member, self._deliver(member, given))

    def close(self) -> None:
        """Cancel all running calls."""
        for call in self._calls.values():
            call.cancel()

    def _may_call(self, incarnation, now) -> bool:
        """Return whether no call runs and the minimum interval is over."""
        call = self._calls.get(incarnation)
        if call is not None and not call.done():
            return False
        last = self._called_at.get(incarnation, -math.inf)
        if now < last + MIN_CALL_INTERVAL_S:
            return False
        self._called_at[incarnation] = now
        return True

    def _start_call(self, member, call) -> None:
        self._calls[member.incarnation] = asyncio.create_task(call)

    async def _request(self, member, question) -> None:
        try:
            reply = await self._peers.request_releases(member, question)
        except errors.PeerUnavailable:
            return
        # A member can release only on its own behalf.
        peer_id = member.incarnation
        given = tuple(
            release for release in reply.given if release.member == peer_id
        )
        self._report(owning.Releases(given))

    async def _deliver(self, member, given) -> None:
        try:
            await self._peers.send_releases(
                member, owning.Releases(tuple(given))
            )
        except errors.PeerUnavailable:
            return
        self._report(Delivered(member.incarnation, given))
