"""Random faults on a hosted fleet, checked by what callers and servers see.

CI plays the seeds below. ``make faults SEEDS=50`` plays as many fresh ones; a
seed that fails is added here with a line on its cause.
"""

import asyncio
import collections
import dataclasses
import itertools
import os
import random
import signal
import time

import pytest

from sesamejunction.decisions import retrybudget
from test.process import test_hosted

pytestmark = [pytest.mark.process, pytest.mark.timeout(150)]

CI_SEEDS = (1, 2)
FRESH = int(os.environ.get('SOAK_SEEDS', '0'))
SEEDS = [random.randrange(1 << 32) for _ in range(FRESH)] or CI_SEEDS
FAULTS_S = 18.0
CALLERS = 12
PAUSE_S = 0.03
# Longest time until all keys are served after the last fault.
RECOVERY_S = 15.0
# Answers that promise that a request has not run and will not.
PROMISES = (408, 421, 429, 503)
LIMITS = retrybudget.DEFAULT_LIMITS


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a caller and the status that it got."""

    attempt: str
    is_repeatable: bool
    status: int


class Soak:
    """Callers and faults of one seed; several faults may overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.draw = random.Random(seed)
        self.calls = []
        self.servers = [one.server for one in fleet.machines]
        self._busy = set()
        self._starts = itertools.count(1)

    async def call(self):
        """Send requests on kept connections until cancelled."""
        fleet = self.fleet
        while True:
            machine = self.draw.choice(fleet.machines)
            is_repeatable = self.draw.random() < 0.6
            attempt = f'attempt-{fleet._count + 1}'
            arguments = (
                ('/look/x', self.draw.randrange(65536))
                if is_repeatable
                else ('/order/1', None)
            )
            method = 'GET' if is_repeatable else 'POST'
            status = 0
            try:
                status, _ = await fleet.call(
                    *(machine, *arguments), method=method
                )
            except TimeoutError:
                pass
            self.calls.append(Call(attempt, is_repeatable, status))
            await asyncio.sleep(PAUSE_S)

    async def disturb(self):
        """Begin faults at random moments until the time is over."""
        ends = time.monotonic() + FAULTS_S
        running = []
        kinds = (
            self._kill,
            self._pause,
            self._stop,
            self._lose_answers,
            self._restart_server,
        )
        while time.monotonic() < ends:
            await asyncio.sleep(self.draw.uniform(0.1, 1.5))
            machine = self.draw.choice(self.fleet.machines)
            if machine not in self._busy:
                fault = self.draw.choice(kinds)
                running.append(
                    asyncio.ensure_future(self._run(fault, machine))
                )
        await asyncio.gather(*running)

    async def _run(self, fault, machine):
        self._busy.add(machine)
        try:
            await fault(machine)
        finally:
            self._busy.discard(machine)

    async def _kill(self, machine):
        await machine.end()
        await machine.start_node()

    async def _stop(self, machine):
        await machine.end(signal.SIGTERM)
        assert machine.process.returncode == 0
        await machine.start_node()

    async def _pause(self, machine):
        machine.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.uniform(0.2, 3.0))
        machine.process.send_signal(signal.SIGCONT)

    async def _lose_answers(self, machine):
        machine.server.lost_share = self.draw.uniform(0.1, 0.9)
        await asyncio.sleep(self.draw.uniform(0.5, 3.0))
        machine.server.lost_share = 0.0

    async def _restart_server(self, machine):
        name = machine.server.name
        await machine.stop_server()
        # A server that has ended holds nothing any more.
        now = time.monotonic()
        self.fleet.history.append((now, name, 0, -1, 0, now))
        await asyncio.sleep(self.draw.uniform(0.0, 1.0))
        await machine.start_server(f'{name}-{next(self._starts)}')
        self.servers.append(machine.server)

    def check(self):
        """Check what holds in spite of all faults."""
        runs = collections.Counter(
            headers['X-Attempt-Id']
            for server in self.servers
            for _, headers, _ in server.received_requests
        )
        for call in self.calls:
            if not call.is_repeatable:
                assert runs[call.attempt] <= 1, call
                assert call.status not in PROMISES or not runs[call.attempt]
            assert call.status != 200 or runs[call.attempt], call
        repeats = runs.total() - len(runs)
        assert repeats <= LIMITS.ratio * len(self.calls) + LIMITS.fixed
        self.fleet.check_holds()
        self.fleet.check_fences()


# Guards against faults that only their overlap shows: requests that may not be
# repeated and run twice, or run after a promise that they did not; two holders
# of a key; more retries than allowed; a fleet that does not recover.
@pytest.mark.parametrize('seed', SEEDS)
async def test_random_faults(seed):
    async with test_hosted.Fleet() as fleet:
        soak = Soak(fleet, seed)
        callers = [asyncio.ensure_future(soak.call()) for _ in range(CALLERS)]
        await soak.disturb()
        for one in callers:
            one.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        recovered_s = await fleet.wait_until_served(RECOVERY_S)
        statuses = collections.Counter(call.status for call in soak.calls)
        print(f'seed {seed}: {statuses}, recovered in {recovered_s:.2f} s')
        soak.check()
