"""Requests without an attempt id end the process of a node."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import fleet as fleets  # noqa: E402

CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'order',
            'host': 'shop.example',
            'pathPrefix': '/order/',
            'kind': 'non_idempotent',
            'timeoutS': 2.0,
            'targetLatencyS': 0.2,
            'service': 'pedidos',
            'maxAttempts': 2,
        },
    ],
    'services': [{'name': 'pedidos'}, {'name': 'fichas'}],
}
WATCH_S = 15.0
PAUSE_S = 0.07


async def play(trouble: bool) -> bool:
    """Return whether the processes live."""
    services = {'pedidos': (2, False), 'fichas': (2, False)}
    async with fleets.Fleet(CASE, services, CONFIG, slots=4) as fleet:
        await fleet.wait_until_ready()
        await asyncio.sleep(2.0)
        targets, callers = fleet.machines[:2], fleet.machines[2:]
        for target in targets:
            target.server.work_s = 0.08
        without_id = {'X-Attempt-Id': None} if trouble else {}
        async with fleet.keep_running():
            calls, ends = set(), time.monotonic() + WATCH_S
            while time.monotonic() < ends:
                for machine in callers:
                    for headers in (without_id, {}, {}, {}):
                        call = fleet.call(
                            machine, '/order/1', method='POST', **headers
                        )
                        calls.add(asyncio.ensure_future(call))
                await asyncio.sleep(PAUSE_S)
            await asyncio.wait(calls)
        return not fleet.has_faults()


fleets.run_case(play)
