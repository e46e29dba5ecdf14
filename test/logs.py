"""Fake log client on the records of the stand-in log, with faults."""

import collections

from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import records
from standins import log


def make_ticket(number):
    return records.TicketApplied(number, f'ticket-{number}', 'ana')


class FakeLog:
    """In-memory log; ``faults`` has the outcomes of the next appends.

    A fault is ``down`` (refused) or ``lost`` (written without a reply).
    After the last fault, appends succeed.
    """

    def __init__(self, faults=()):
        self.records = log.InMemoryLog(1e9)
        self.faults = collections.deque(faults)
        self.slow_s = 0.0

    async def append(self, data):
        fault = self.faults.popleft() if self.faults else None
        if fault == 'down':
            raise errors.LogUnavailable('log is down')
        offset = await self.records.append(data)
        if fault == 'lost':
            raise errors.AppendOutcomeUnknown('reply is lost')
        return offset

    async def read(self, offset, wait_s, limit=1000, margin_s=9.0):
        if margin_s < self.slow_s:
            raise errors.LogUnavailable('no reply in time')
        return await self.records.read(offset, min(wait_s, 0.05), limit)


class FakePeers:
    """Peer calls answered by another journal task, or failing."""

    def __init__(self, source=None, kept_from=0):
        self.source = source
        self.kept_from = kept_from
        self.calls = []

    async def fetch_records(self, member, offset, limit):
        self.calls.append(('records', member, offset))
        if self.source is None:
            raise errors.PeerUnavailable('peer is gone')
        if offset < self.kept_from:
            return journaling.Records(offset, ())
        return await self.source.handle(journaling.GetRecords(offset, limit))

    async def fetch_snapshot(self, member):
        self.calls.append(('snapshot', member, None))
        return await self.source.handle(journaling.GetSnapshot())
