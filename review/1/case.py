"""One odd heartbeat of another writer makes two servers hold the same keys."""

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
            'name': 'lookup',
            'host': 'shop.example',
            'pathPrefix': '/look/',
            'kind': 'idempotent',
            'timeoutS': 2.0,
            'targetLatencyS': 0.2,
            'service': 'catalogo',
            'maxAttempts': 2,
        },
    ],
    'services': [{'name': 'catalogo', 'sharded': True}],
}
# Two servers that are up may hold the same keys for at most this long.
LIMIT_S = 0.5
SAMPLE_S = 0.01
WATCH_S = 12.0


async def send_odd_heartbeat(fleet, machine) -> None:
    """Send a heartbeat of another writer to the node of a machine."""
    body = machine.server.build_heartbeat()
    body['address'] = f'{fleet.network}.200:8080'
    body['born'] = int(time.time() * 1000)
    body['status'] = {'state': 'paused', 'sequence': 1, 'coldLeftS': 0}
    body['holds'] = []
    address = machine.address('control')
    async with fleet.session.put(
        f'http://{address}/instances/j-7f3a', json=body
    ) as reply:
        fleet.record.write(
            'odd heartbeat', node=machine.name, body=body, status=reply.status
        )


async def play(trouble: bool) -> bool:
    """Return whether no two servers held the same keys for too long."""
    services = {'catalogo': (3, True)}
    async with fleets.Fleet(CASE, services, CONFIG) as fleet:
        await fleet.wait_until_ready()
        await fleet.wait_until_held()
        servers = [machine.server for machine in fleet.machines]
        watch = fleets.OverlapWatch(servers, fleet.record)
        if trouble:
            await send_odd_heartbeat(fleet, fleet.machines[0])
        ends, calls, number = time.monotonic() + WATCH_S, set(), 0
        while time.monotonic() < ends:
            watch.sample()
            number += 1
            if number % 5 == 0:
                machine = fleet.machines[number % 3]
                key = (number * 7919) % 65536
                calls.add(
                    asyncio.ensure_future(fleet.call(machine, '/look/1', key))
                )
            await asyncio.sleep(SAMPLE_S)
        await asyncio.wait(calls)
        fleet.record.write('longest overlap', seconds=watch.longest_s)
        print(f'two servers held the same keys for {watch.longest_s:.2f} s')
        return watch.longest_s <= LIMIT_S


fleets.run_case(play)
