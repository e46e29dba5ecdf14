"""Targets of uneven speed behind hosted nodes as processes."""

import asyncio
import copy
import json
import time

import aiohttp
import pytest

from test.process import test_hosted as hostedtests

pytestmark = pytest.mark.process

REQUESTS = 240
AT_ONCE = 8
SLOW_S, FAST_S = 0.15, 0.05


def build_open_config():
    """Return a configuration without organisations and divided services."""
    config = copy.deepcopy(hostedtests.CONFIG)
    config['version'] += 1
    config['tenants'] = []
    config['services'] = [{'name': 'lookup'}, {'name': 'orders'}]
    for route in config['routes']:
        route['noAuth'] = True
    return json.dumps(config).encode()


async def read_choices(machine):
    """Return the lines of the node's counter of choices."""
    address = f'http://{machine.address("metrics")}/metrics'
    async with aiohttp.ClientSession() as session:
        async with session.get(address) as reply:
            text = await reply.text()
    return [
        line
        for line in text.splitlines()
        if line.startswith('sesamejunction_target_choices_total{')
    ]


async def test_slow_target_gets_few_requests():
    """Guards against requests spread evenly over slow and fast targets."""
    async with hostedtests.Fleet() as fleet:
        targets = [one.server for one in fleet.machines[:3]]
        for place, server in enumerate(targets):
            server.work_s = SLOW_S if place == 0 else FAST_S
            server.load = '0, 0, 8, 300' if place == 0 else '0, 0, 8, 100'
        await fleet.store.put('keyed.op', 'config', build_open_config())
        entry = fleet.machines[3]
        ends = time.monotonic() + hostedtests.READY_S
        while (await fleet.call(entry, '/look/x', token=''))[0] != 200:
            assert time.monotonic() < ends
            await asyncio.sleep(0.1)

        async def send_in_turn():
            return [
                (await fleet.call(entry, '/look/x', token=''))[0]
                for _ in range(REQUESTS // AT_ONCE)
            ]

        await send_in_turn()
        before = [len(server.received_requests) for server in targets]
        found = await asyncio.gather(*(send_in_turn() for _ in range(AT_ONCE)))
        assert sum(found, []) == [200] * REQUESTS
        counts = [
            len(server.received_requests) - count
            for server, count in zip(targets, before, strict=True)
        ]
        # It is never the better of two, so it gets only what was chosen
        # without figures, on a busy machine.
        assert counts[0] < REQUESTS * 0.15
        choices = await read_choices(entry)
        assert any('figures="asked"' in line for line in choices)
