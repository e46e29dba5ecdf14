"""Actor that fetches log records or a snapshot from a peer."""

import asyncio
import typing

import eliot

from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor

# Records requested in one call.
MAX_RECORDS = 1_000
# Timeout of a call for records. A node that has been behind its peers for 2 s
# refuses new callers; this must be shorter.
FETCH_TIMEOUT_S = 1.0
# Timeout of the whole fetch, with a snapshot if needed. The state of a large
# fleet is 1.5 MB.
SNAPSHOT_TIMEOUT_S = 5.0


class PeerPort(typing.Protocol):
    """RPCs to a peer node; each raises PeerUnavailable on failure."""

    async def fetch_records(
        self, member: state.Member, offset: int, limit: int
    ) -> journaling.Records:
        """Return records from an offset, none if the peer lacks them."""

    async def fetch_snapshot(
        self, member: state.Member
    ) -> journaling.Snapshot:
        """Return the member's encoded state."""


@valueclass.define
class Fetch:
    """Asks for the member's records from an offset on."""

    member: state.Member
    offset: int


@valueclass.define
class Fetched:
    """Reports the result of a Fetch; None if it failed."""

    result: journaling.Records | journaling.Snapshot | None


class Fetcher(actor.Actor):
    """Fetches from one peer at a time for the journal.

    It is a task of its own, so that the journal does not wait for peers.
    If the peer does not have the records, its snapshot is fetched.
    """

    name = 'fetcher'

    def __init__(self, peers: PeerPort, journal: actor.Actor):
        super().__init__()
        self._peers = peers
        self._journal = journal

    async def handle(self, message):
        """Handle one message."""
        match message:
            case Fetch():
                self._journal.publish(Fetched(await self._try_fetch(message)))

    async def _try_fetch(self, request):
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_S):
                return await self._fetch_records_or_snapshot(request)
        except (errors.PeerUnavailable, TimeoutError) as error:
            eliot.log_message(
                'journal: peer fetch failed',
                member=request.member.name,
                reason=str(error) or type(error).__name__,
            )
            return None

    async def _fetch_records_or_snapshot(self, request):
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            fetched = await self._peers.fetch_records(
                request.member, request.offset, MAX_RECORDS
            )
        if fetched.data:
            return fetched
        return await self._peers.fetch_snapshot(request.member)
