"""Measures the processor time of a hosted request at two nodes.

A caller sends requests to the entry node for keys that belong to the server
of the owner node.
"""

import asyncio
import contextlib
import cProfile
import dataclasses
import json
import os
import pstats
import signal
import subprocess
import sys
import time

import aiohttp
from aiohttp import web
import uvloop

from bench import fixture
from bench import hosted
from sesamejunction.border import hostedsettings
from sesamejunction.border import registrycodec
from sesamejunction.model import registry
from sesamejunction.platform import store as storing
from sesamejunction.ui import hostednode
from sesamejunction.ui import invocation
from standins import keyserver
from standins import store as standin

NODES = ('entry', 'owner')
CALLER_KEY = 'caller-key'
REFUSED_PATH = '/part-0/refused'
SERVED_PATH = '/part-0/served'
LARGE_PATH = '/part-0/large'
RESPONSE_BODY = b'a' * 1000
LARGE_RESPONSE_BODY = b'a' * 90_000
# Sent before each measurement, to open connections and warm up the code.
WARM_UP_REQUESTS = 200
# The idle cost over this time is subtracted from the cost with requests.
IDLE_S = 6.0
# Wait between the time when all keys are held and the measurement.
SETTLE_S = 3.0
KEY_COUNT = 65536
PROFILE_ROWS = 60
# utime and stime in /proc/PID/stat, counted from the program name.
CPU_TIME_FIELDS = slice(11, 13)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A kind of request; ``size`` is that of its body in bytes."""

    name: str
    size: int
    path: str


LOADS = (
    Load('1 KB', 1_000, SERVED_PATH),
    Load('60 KB', 60_000, SERVED_PATH),
    Load('1 KB refused', 1_000, REFUSED_PATH),
    Load('90 KB answer', 1_000, LARGE_PATH),
)


class Server(keyserver.KeyServer):
    """A target that answers at once and refuses REFUSED_PATH."""

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request at once."""
        await request.read()
        headers = {
            'X-Attempt-Id': request.headers.get('X-Attempt-Id', ''),
            'X-Response-Signature': 'signed',
        }
        if request.path == REFUSED_PATH:
            headers = {**headers, 'X-Not-Executed': '1'}
            return web.Response(status=503, headers=headers)
        if request.path == LARGE_PATH:
            return web.Response(body=LARGE_RESPONSE_BODY, headers=headers)
        return web.Response(body=RESPONSE_BODY, headers=headers)


def build_config() -> bytes:
    """Return a configuration whose caller has a rate that is never reached."""
    config = json.loads(hosted.build_config(40))
    config['tenants'].append(
        {'name': 'one', 'apiKeys': [CALLER_KEY], 'ratePerS': 1e5, 'burst': 1e5}
    )
    return json.dumps(config).encode()


def read_cpu(pid: int) -> float:
    """Return the processor time of a child process in seconds."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    ticks = sum(map(int, fields[CPU_TIME_FIELDS]))
    return ticks / os.sysconf('SC_CLK_TCK')


class Fleet:
    """Two node processes, their servers and the store."""

    def __init__(self, profiled: bool):
        self._profiled = profiled
        self._stack = contextlib.AsyncExitStack()
        self._store = standin.Store()
        self.processes = {}
        self._servers = {}
        self._session = None
        self._entry_address = ''
        self._count = 0

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        runner = web.ServerRunner(
            self._store.build_server(), shutdown_timeout=0.1
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        keyserver.HEARTBEAT_INTERVAL_S = hosted.HEARTBEAT_INTERVAL_S
        names = ('peer', 'callers', 'ready', 'control', 'target', 'metrics')
        with fixture.fleet.PortAllocator() as allocator:
            log_port, *ports = allocator.allocate(1 + len(NODES) * len(names))
        await web.TCPSite(runner, hosted.HOST, log_port).start()
        await self._store.put(storing.OPERATOR_TOPIC, 'config', build_config())
        await self._store.put(
            storing.FLEET_TOPIC,
            'secret',
            registrycodec.encode_record(registry.SecretRecord(hosted.SECRET)),
        )
        for number, name in enumerate(NODES):
            node_ports = ports[number * len(names) : (number + 1) * len(names)]
            ports_by_name = dict(zip(names, node_ports, strict=True))
            self._servers[name] = await enter(
                Server(
                    *(f't-{name}', 'lookup'),
                    f'{hosted.HOST}:{ports_by_name["target"]}',
                    *(f'{hosted.HOST}:{ports_by_name["control"]}', []),
                )
            )
            self.processes[name] = self._start_node(
                name, ports_by_name, log_port
            )
            self._entry_address = (
                self._entry_address
                or f'{hosted.HOST}:{ports_by_name["callers"]}'
            )
        self._session = await enter(aiohttp.ClientSession())
        async with asyncio.timeout(hosted.READY_TIMEOUT_S):
            while self._count_keys() < KEY_COUNT:
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    def _start_node(self, name, ports, log_port) -> subprocess.Popen:
        settings = {
            **{'NAME': name, 'ZONE': f'zone-{name}', 'HOST': hosted.HOST},
            **{'PEER_PORT': ports['peer'], 'TARGET_SERVICE': 'lookup'},
            'CALLERS': f'{hosted.HOST}:{ports["callers"]}',
            'READINESS': f'{hosted.HOST}:{ports["ready"]}',
            'HEARTBEATS': f'{hosted.HOST}:{ports["control"]}',
            'TARGET': f'{hosted.HOST}:{ports["target"]}',
            'LOG': f'{hosted.HOST}:{log_port}',
            'METRICS_PORT': ports['metrics'],
        }
        process = subprocess.Popen(
            [sys.executable, '-m', 'bench.hop', 'node']
            + [str(int(self._profiled))],
            env={
                **os.environ,
                **{
                    f'SESAMEJUNCTION_{setting_name}': str(value)
                    for setting_name, value in settings.items()
                },
            },
            stdout=subprocess.DEVNULL,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _count_keys(self) -> int:
        return sum(
            last - first + 1
            for server in self._servers.values()
            for first, last, _ in server.holds
        )

    async def send(self, load: Load) -> int:
        """Send a request for a key of the owner; return the status."""
        self._count += 1
        while not (held_ranges := self._servers['owner'].holds):
            # On a busy machine a hold may expire before the next heartbeat.
            await asyncio.sleep(0.05)
        first, last, _ = held_ranges[self._count % len(held_ranges)]
        headers = {
            'Host': 'shop-0.example',
            'X-Attempt-Id': f'attempt-{self._count}',
            'X-Deadline-Ms': '1900',
            'Authorization': f'Token {CALLER_KEY}',
            'X-Shard-Key': str(first + self._count * 97 % (last - first + 1)),
        }
        url = f'http://{self._entry_address}{load.path}'
        async with self._session.post(
            url, data=b'b' * load.size, headers=headers
        ) as reply:
            await reply.read()
            return reply.status

    async def send_many(self, load: Load, count: int, width: int) -> dict:
        """Send requests, ``width`` at a time; return counts by status."""
        statuses = {}
        remaining = iter(range(count))

        async def send_remaining():
            for _ in remaining:
                status = await self.send(load)
                statuses[status] = statuses.get(status, 0) + 1

        await asyncio.gather(*(send_remaining() for _ in range(width)))
        return statuses

    def read_cpu(self) -> dict[str, float]:
        """Return the processor time of each node."""
        return {
            node_name: read_cpu(node_process.pid)
            for node_name, node_process in self.processes.items()
        }

    async def stop(self) -> None:
        """Tell the nodes to print their profiles, and wait until they end."""
        for node_process in self.processes.values():
            node_process.send_signal(signal.SIGUSR2)
            await asyncio.to_thread(node_process.wait)


async def run_node(profile) -> None:
    """Run a node until SIGUSR2, under a profiler unless it is None."""
    checked = hostedsettings.read_hosted_settings({})
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, ended.set)
    async with hostednode.Process(checked) as process:
        running = asyncio.ensure_future(process.run())
        if profile is not None:
            profile.enable()
        await ended.wait()
        if profile is not None:
            profile.disable()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def measure(
    loads: tuple[Load, ...], count: int, width: int, profiled: bool
) -> None:
    """Run two nodes and print the processor time of a request at each."""
    async with Fleet(profiled) as fleet:
        loop = asyncio.get_running_loop()
        started, before = loop.time(), fleet.read_cpu()
        await asyncio.sleep(0.0 if profiled else IDLE_S)
        idle_s, after = loop.time() - started, fleet.read_cpu()
        idle_cpu = {
            node_name: (after[node_name] - before[node_name]) / idle_s
            for node_name in NODES
        }
        for load in loads:
            await fleet.send_many(load, WARM_UP_REQUESTS, width)
            started, before = loop.time(), fleet.read_cpu()
            statuses = await fleet.send_many(load, count, width)
            span_s, after = loop.time() - started, fleet.read_cpu()
            costs = [
                (
                    after[node_name]
                    - before[node_name]
                    - idle_cpu[node_name] * span_s
                )
                / count
                * 1e3
                for node_name in NODES
            ]
            print(
                f'{load.name}:',
                *(
                    f'{node_name} {cost:.3f} ms'
                    for node_name, cost in zip(NODES, costs, strict=True)
                ),
                f'sum {sum(costs):.3f} ms, {count / span_s:.0f}/s, {statuses}',
                flush=True,
            )
        if profiled:
            await fleet.stop()


def start(count=3000, width=4, kind='', profiled='0') -> None:
    """Measure requests, ``width`` at a time; ``kind`` names one load."""
    loads = tuple(
        candidate for candidate in LOADS if kind in ('', candidate.name)
    )
    uvloop.run(measure(loads, int(count), int(width), bool(int(profiled))))


def start_node(profiled: bool) -> None:
    """Run a measured node in this process."""
    hosted.logs.start_nonblocking_logging('node')
    os.environ['UV_USE_IO_URING'] = '0'
    hosted.loading.restore_settings()
    profile = cProfile.Profile(time.process_time) if profiled else None
    uvloop.run(run_node(profile))
    if profile is not None:
        stats = pstats.Stats(profile, stream=sys.stderr)
        stats.sort_stats('tottime').print_stats(PROFILE_ROWS)
        stats.sort_stats('cumulative').print_stats(PROFILE_ROWS)


if __name__ == '__main__':
    if sys.argv[1:2] == ['node']:
        start_node(bool(int(sys.argv[2])))
    else:
        invocation.run_command(start)
