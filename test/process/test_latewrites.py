"""Writes that the store does seconds later, over restarts of all machines."""

import asyncio
import os
import random
import time

from aiohttp import web
import pytest

from standins import store as storing
from test.process import test_hosted

# Restarts in CI; LATE_WRITE_RESTARTS=20 is the run by hand.
RESTARTS = int(os.environ.get('LATE_WRITE_RESTARTS', '2'))
pytestmark = [
    pytest.mark.process,
    pytest.mark.timeout(60 + 30 * RESTARTS),
]
# The platform's largest share of writes without an answer.
LATE_SHARE = 0.35
# Writes are late for this time after a start. It covers the registration
# before the first heartbeat and the one after it.
LATE_FOR_S = 4.5
DONE_AFTER_S = 3.0
DOWN_S = 0.5
# The last late write is done 7.5 s after a start; what it replaced must be
# back 15 s after the machines.
RECOVERY_S = 15.0


class LateStore(storing.Store):
    """Does a share of the writes later, without an answer."""

    def __init__(self, seed):
        super().__init__()
        self._random = random.Random(seed)
        self._late_until = float('-inf')
        self._writing = set()
        self.late_writes = 0

    def delay_writes(self):
        """Let writes be late for some time."""
        self._late_until = time.monotonic() + LATE_FOR_S

    async def _handle_append(self, request):
        is_late = (
            time.monotonic() < self._late_until
            and self._random.random() < LATE_SHARE
        )
        if not is_late:
            return await super()._handle_append(request)
        self.late_writes += 1
        body = await request.read()
        writing = asyncio.ensure_future(self._write_later(request.query, body))
        self._writing.add(writing)
        writing.add_done_callback(self._writing.discard)
        await asyncio.sleep(LATE_FOR_S)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _write_later(self, query, body):
        await asyncio.sleep(DONE_AFTER_S)
        topic = query['topic']
        if 'asOf' in query and int(query['asOf']) != self.topics[topic].end:
            return
        records, position = [], 0
        while position < len(body):
            (size,) = storing.LENGTH.unpack_from(body, position)
            position += storing.LENGTH.size
            records.append(body[position : position + size])
            position += size
        await self._append(topic, records)


async def restart_all(fleet):
    """Kill and start all machines, while writes are late."""
    names = [one.server.name for one in fleet.machines]
    for one in fleet.machines:
        await one.end()
        await one.stop_server()
    await asyncio.sleep(DOWN_S)
    fleet.store.delay_writes()
    for one, name in zip(fleet.machines, names, strict=True):
        await one.start_node()
        await one.start_server(name)


# Guards against a server that stays out: a late registration of its node has
# replaced a newer one.
@pytest.mark.parametrize('seed', [1])
async def test_late_writes_keep_no_server_out(seed):
    fleet = test_hosted.Fleet()
    fleet.store = LateStore(seed)
    async with fleet:
        for number in range(RESTARTS):
            started = time.time()
            await restart_all(fleet)
            try:
                async with asyncio.timeout(RECOVERY_S):
                    await asyncio.sleep(LATE_FOR_S + DONE_AFTER_S)
                    await fleet.wait_until_served(RECOVERY_S)
                    await fleet.wait_until_all_hold()
            except (AssertionError, TimeoutError):
                fleet.print_plans(started)
                raise
            print(f'restart {number}: {fleet.store.late_writes} late in all')
        fleet.check_holds()
        fleet.check_fences()
