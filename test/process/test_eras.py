"""Drills of the store: it comes back from a copy that is some seconds old."""

import asyncio
import json
import signal
import time

import pytest

from sesamejunction.border import registrycodec
from sesamejunction.decisions import rangeleases
from sesamejunction.model import registry
from sesamejunction.platform import store as platform_store
from test.process import test_hosted as hosting

pytestmark = pytest.mark.process

AGE_S = 3.0
AWAY_S = 0.5
WITHDRAWN = 'withdrawn-key'
# A silent node gets 1.5 s, its server 3 s, and the new owner of its keys waits
# out the authority of 7 s; the rest is for the plan and the heartbeats.
SERVED_AGAIN_S = 1.5 + 3.0 + rangeleases.FORMER_OWNER_WAIT_S + 3.0
# No grant of an earlier era is valid when the era is open.
OPEN_S = rangeleases.FORMER_OWNER_WAIT_S + 5.0


def make_config(version, keys):
    tenant = {**hosting.CONFIG['tenants'][0], 'apiKeys': keys}
    return json.dumps(
        {**hosting.CONFIG, 'version': version, 'tenants': [tenant]}
    ).encode()


class EraFleet(hosting.Fleet):
    """A fleet whose store names its era."""

    def __init__(self):
        super().__init__()
        self.store.era = registry.FIRST_ERA

    @property
    def records(self):
        return self.store.topics[platform_store.FLEET_TOPIC].newest

    async def put_config(self, version, keys):
        await self.store.put(
            platform_store.OPERATOR_TOPIC, 'config', make_config(version, keys)
        )

    def list_kept_keys(self, *left_out):
        """Return a key of each server, except for those left out."""
        return [
            first
            for one in self.machines
            if one.is_ranged and one not in left_out
            for first, _, _ in one.server.holds[:1]
        ]

    async def serve(self, keys, through, until):
        """Send requests until the event is set; return those that failed."""
        failed = []
        while not until.is_set():
            for key in keys:
                status, _ = await self.call(through, '/look/x', key)
                if status != 200:
                    failed.append((round(time.monotonic(), 2), key, status))
            await asyncio.sleep(0.02)
        return failed

    async def wait_until_open(self):
        """Wait until the planner has opened the present era."""
        async with asyncio.timeout(OPEN_S):
            while not self.is_open():
                await asyncio.sleep(0.05)

    def is_open(self):
        _, value = self.records.get('era', (0, b''))
        wanted = registry.EraRecord(
            self.store.era - registry.FIRST_ERA, is_open=True
        )
        return value == registrycodec.encode_record(wanted)


async def stay_calm(_fleet):
    """Change nothing."""
    return lambda: asyncio.sleep(0)


async def move_keys(fleet):
    """Restart a server, so that its keys move to another run of it."""
    plan = fleet.records['plan/lookup']
    moving = fleet.machines[1]
    await moving.stop_server()
    await moving.start_server('server-1b')
    async with asyncio.timeout(SERVED_AGAIN_S):
        while fleet.records['plan/lookup'] == plan:
            await asyncio.sleep(0.01)
    return lambda: asyncio.sleep(0)


async def withdraw_key(fleet):
    """Withdraw a key of a caller."""
    through = fleet.machines[3]
    await fleet.put_config(4, [hosting.KEY, WITHDRAWN])
    await asyncio.sleep(AGE_S + 1.0)
    assert await get_status(fleet, through) == 200
    await fleet.put_config(5, [hosting.KEY])
    async with asyncio.timeout(5.0):
        while await get_status(fleet, through) != 401:
            await asyncio.sleep(0.05)

    async def check():
        for _ in range(20):
            assert await get_status(fleet, through) == 401
            await asyncio.sleep(0.1)
        await fleet.put_config(5, [hosting.KEY])
        await asyncio.sleep(1.0)
        assert await get_status(fleet, through) == 401

    return check


async def get_status(fleet, through):
    status, _ = await fleet.call(
        through, '/order/1', token=WITHDRAWN, method='POST'
    )
    return status


async def freeze_node(fleet):
    """Freeze a node until some seconds after the drill."""
    frozen = fleet.machines[1]
    frozen.process.send_signal(signal.SIGSTOP)

    async def thaw():
        await asyncio.sleep(4.0)
        frozen.process.send_signal(signal.SIGCONT)

    return thaw


# Guards against two holders of a key, fences that go back, a withdrawn key
# that works again and keys that nobody serves once the store has lost records.
# Columns: what happens before the drill, machines whose keys may pause.
@pytest.mark.parametrize(
    ('prepare', 'affected'),
    [
        pytest.param(stay_calm, (), id='calm'),
        pytest.param(move_keys, (1,), id='moving keys'),
        pytest.param(withdraw_key, (), id='withdrawn key'),
        pytest.param(freeze_node, (1,), id='frozen node'),
    ],
)
async def test_drill(prepare, affected):
    async with EraFleet() as fleet:
        await asyncio.sleep(AGE_S)
        keys = fleet.list_kept_keys(*(fleet.machines[one] for one in affected))
        end, started_at = asyncio.Event(), time.time()
        check = await prepare(fleet)
        serving = asyncio.ensure_future(
            fleet.serve(keys, fleet.machines[3], end)
        )
        await fleet.store.drill(AGE_S, AWAY_S)
        try:
            await check()
            await fleet.wait_until_open()
            await fleet.wait_until_served(SERVED_AGAIN_S)
            await fleet.wait_until_all_hold()
            end.set()
            assert await serving == []
        except BaseException:
            fleet.print_plans(started_at)
            raise
        fleet.check_holds()
        fleet.check_fences()
