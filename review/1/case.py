"""One odd heartbeat of another writer makes two servers hold the same keys."""

import asyncio
import os
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


def intersect(left, right):
    """Return the key ranges that are in both lists of rows."""
    return [
        (max(one[0], other[0]), min(one[1], other[1]))
        for one in left
        for other in right
        if one[0] <= other[1] and other[0] <= one[1]
    ]


class OverlapWatch:
    """Measures how long pairs of servers hold the same keys."""

    def __init__(self, servers, record):
        self._servers = servers
        self._record = record
        self._since = {}
        self.longest_s = 0.0

    def sample(self) -> None:
        """Compare what the servers hold now."""
        now = time.monotonic()
        for index, left in enumerate(self._servers):
            for right in self._servers[index + 1 :]:
                self._note(left, right, now)

    def _note(self, left, right, now) -> None:
        pair = left.name, right.name
        both = intersect(left.list_holds(), right.list_holds())
        since, before = self._since.get(pair, (now, both))
        common = intersect(before, both)
        if not common:
            since, common = now, both
        if not common:
            self._since.pop(pair, None)
            return
        if pair not in self._since:
            self._record.write('both hold', servers=pair, keys=common)
        self._since[pair] = since, common
        if now - since > self.longest_s:
            self.longest_s = now - since


async def send_odd_heartbeat(fleet, machine) -> None:
    """Send a heartbeat of another writer to the node of a machine."""
    body = machine.server.build_heartbeat()
    body['address'] = f'{fleet.network}.200:8080'
    body['born'] = int(time.time() * 1000)
    body['status'] = {'state': 'paused', 'sequence': 1, 'coldLeftS': 0}
    body['holds'] = []
    if os.environ.get('ODD') == 'type':
        body['status'] = {'state': 'ready', 'sequence': '1', 'coldLeftS': 0}
    if os.environ.get('ODD') == 'slots':
        body['info']['slots'] = '8'
        body['status']['state'] = 'ready'
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
        watch = OverlapWatch(servers, fleet.record)
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
