"""Nodes apply a configuration late while those that read the store can't."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import fleet as fleets  # noqa: E402

CONFIG_APPLY_S = 2.0
REJECT_S = 9.0
# The site file: platform_down, how "nodes busy [...]", share 0.33.
REJECTED = 3
PAUSE_S = 0.01
SERVICES = {'pedidos': (5, False), 'fichas': (4, False)}


class WatchedStore(fleets.storing.Store):
    """The store; ``readers`` are the machines with an open read of op/."""

    def __init__(self):
        super().__init__()
        self.readers = []

    async def _handle_read(self, request):
        if request.query['topic'] != 'keyed.op':
            return await super()._handle_read(request)
        host = request.transport.get_extra_info('sockname')[0]
        name = self.callers_by_address[host]
        self.readers.append(name)
        try:
            return await super()._handle_read(request)
        finally:
            self.readers.remove(name)


def build_config(version: int, service: str) -> dict:
    """Return a configuration whose only route leads to a service."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'order',
                'host': 'shop.example',
                'pathPrefix': '/order/',
                'kind': 'non_idempotent',
                'timeoutS': 2.0,
                'targetLatencyS': 0.2,
                'service': service,
                'maxAttempts': 2,
            },
        ],
        'services': [{'name': 'pedidos'}, {'name': 'fichas'}],
    }


async def find_readers(fleet) -> set[str]:
    """Return the machines that read op/ in the store."""
    for _ in range(100):
        readers = set(fleet.store.readers)
        if len(readers) == REJECTED:
            return readers
        await asyncio.sleep(0.05)
    raise fleets.CaseFailed(f'the readers are {readers}')


async def play(trouble: bool) -> bool:
    """Return whether no request was handled by the old configuration."""
    fleet = fleets.Fleet(CASE, SERVICES, build_config(3, 'pedidos'))
    fleet.store = WatchedStore()
    async with fleet:
        await fleet.wait_until_ready()
        # All machines are in touch: calm for longer than stableWindowS.
        await asyncio.sleep(6.0)
        rejected = await find_readers(fleet)
        if trouble:
            fleet.store.rejected_callers |= rejected
            fleet.record.write('store rejects', nodes=rejected)
        await asyncio.sleep(0.02)
        await fleet.put_config(build_config(7, 'fichas'))
        acknowledged_at = time.monotonic()
        calm = [one for one in fleet.machines if one.name not in rejected]
        sent, calls = {}, set()
        while time.monotonic() < acknowledged_at + REJECT_S:
            for machine in calm:
                attempt = f'order-{len(sent)}'
                sent[attempt] = time.monotonic()
                call = fleet.call(
                    machine,
                    '/order/1',
                    method='POST',
                    **{'X-Attempt-Id': attempt},
                )
                calls.add(asyncio.ensure_future(call))
                await asyncio.sleep(PAUSE_S)
        await asyncio.wait(calls)
        late = [
            (sent[attempt] - acknowledged_at, attempt, machine.server.name)
            for machine in calm
            if machine.service == 'pedidos'
            for _, attempt, _, _ in machine.server.runs
            if attempt in sent
            and sent[attempt] > acknowledged_at + CONFIG_APPLY_S
        ]
        for after_s, attempt, server in sorted(late):
            fleet.record.write(
                'handled by the old configuration',
                attempt=attempt,
                server=server,
                after_s=round(after_s, 3),
            )
        last = max(late)[0] if late else 0.0
        print(f'{len(late)} requests too late, the last after {last:.2f} s')
        return not late


fleets.run_case(play)
