"""Calls to peers that run beside the task that needs their results."""

import asyncio
import dataclasses
import math
import typing

from sesamejunction import errors
from sesamejunction.model import owning

# A member is called again after this pause at the earliest.
CALL_PAUSE_S = 0.05


class Peers(typing.Protocol):
    """Calls other members; raises PeerUnavailable."""

    async def request_releases(self, member, question) -> owning.Releases:
        """Return the releases that the member gives."""

    async def send_releases(self, member, given: owning.Releases) -> None:
        """Give releases; returns when the member has taken them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The member has taken these releases."""

    member: int
    given: frozenset[owning.SlotRelease]


class PeerCalls:
    """Runs at most one call to each member and tells the results.

    A call that fails tells nothing; the task repeats what it still needs.
    """

    def __init__(self, peers: Peers, tell):
        self._peers = peers
        self._tell = tell
        self._calls = {}
        self._called_at = {}

    def start_release_request(
        self, member, question: owning.AskReleases, now
    ) -> None:
        """Ask the member for releases, unless it is being called."""
        if self._may_call(member.incarnation, now):
            self._start(member, self._ask(member, question))

    def deliver_releases(self, member, given, now) -> None:
        """Give releases to the member, unless it is being called."""
        if self._may_call(member.incarnation, now):
            self._start(member, self._give(member, given))

    def close(self) -> None:
        """Cancel the calls that still run."""
        for call in self._calls.values():
            call.cancel()

    def _may_call(self, incarnation, now) -> bool:
        call = self._calls.get(incarnation)
        if call is not None and not call.done():
            return False
        last = self._called_at.get(incarnation, -math.inf)
        if now < last + CALL_PAUSE_S:
            return False
        self._called_at[incarnation] = now
        return True

    def _start(self, member, call) -> None:
        self._calls[member.incarnation] = asyncio.create_task(call)

    async def _ask(self, member, question) -> None:
        try:
            reply = await self._peers.request_releases(member, question)
        except errors.PeerUnavailable:
            return
        own = member.incarnation
        given = tuple(one for one in reply.given if one.member == own)
        self._tell(owning.Releases(given))

    async def _give(self, member, given) -> None:
        try:
            await self._peers.send_releases(
                member, owning.Releases(tuple(given))
            )
        except errors.PeerUnavailable:
            return
        self._tell(Delivered(member.incarnation, given))
