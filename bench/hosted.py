"""Measures what a hosted node spends for control beside N members."""

import asyncio
import contextlib
import cProfile
import json
import math
import os
import pstats
import random
import subprocess
import sys
import time

import aiohttp
from aiohttp import web
import uvloop

from bench import fixture
from sesamejunction.border import hostedsettings
from sesamejunction.border import logs
from sesamejunction.border import packets as codec
from sesamejunction.border import registrycodec
from sesamejunction.decisions import memberages
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import packets
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.platform import store as storing
from sesamejunction.tasks import clock
from sesamejunction.tasks import datagrams
from sesamejunction.tasks import follower
from sesamejunction.tasks import presence
from sesamejunction.ui import hostednode
from sesamejunction.ui import invocation
from sesamejunction.ui import loading
from standins import keyserver
from standins import store as standin

HOST = '127.0.0.1'
# The planner is the member with the lowest name, so this one does not plan.
NODE = 'z-node'
# Peers listen here, one address each.
PEER_PORT = 47_400
SECRET = '5e' * 32
BASE = 2**62
# Members that probe one other: all members together probe as often as they
# are probed.
PROBED = presence.FAN_OUT
# The idle node is measured after its start has settled.
SETTLE_S = 6.0
RUN_S = 15.0
# Members register in this time in the measurement of a start.
REGISTER_S = 3.0
# Heartbeats and questions for readiness of the platform come so often.
BEAT_S = 1.0
FUNCTIONS = 45
LOADS = 5
READY_S = 20.0


def build_config(routes: int, version: int = 1) -> bytes:
    """Return a configuration of the operator."""
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': f'route-{one}',
                    'host': f'shop-{one % 40}.example',
                    'pathPrefix': f'/part-{one}/',
                    'kind': 'idempotent',
                    'timeoutS': 2.0,
                    'targetLatencyS': 0.2,
                    'priority': 1,
                    'service': 'lookup',
                    'maxAttempts': 2,
                }
                for one in range(routes)
            ],
            'services': [{'name': 'lookup', 'sharded': True}],
            'tenants': [
                {
                    'name': f'organisation-{one}',
                    'apiKeys': [f'key-{one}-{key}' for key in range(4)],
                    'ratePerS': 100,
                    'burst': 100,
                }
                for one in range(24)
            ],
        }
    ).encode()


def build_member(number: int, host: str) -> registry.MemberRecord:
    """Return the registration of one peer; some have targets."""
    name = f'peer-{number:03}'
    service = 'lookup' if number % 8 == 0 else 'orders'
    return registry.MemberRecord(
        *(name, BASE + number, f'zone-{number % 3}', host, PEER_PORT),
        *(service, 8, ranges.Life(name, f't-{number}', 1)),
    )


class Peer:
    """A member that echoes probes and probes the measured node."""

    def __init__(self, number: int, view):
        self.host = f'127.1.{number // 250}.{number % 250 + 1}'
        self.incarnation = BASE + number
        self.record = build_member(number, self.host)
        self.socket = datagrams.Datagrams(
            codec.PacketCodec(bytes.fromhex(SECRET), self.incarnation),
            *(self.host, PEER_PORT),
        )
        position = follower.PositionView()
        position.end, position.as_of = 0, clock.read_boot_clock()
        followers = (Followed(position), Followed(position))
        self.presence = presence.Presence(
            *(self.incarnation, self.socket, view, followers),
            *((), followers),
        )
        self.socket.subscribe(self, (messages.Probe, messages.Echo))

    def tell(self, received) -> None:
        """Handle a packet of the node at once."""
        asyncio.ensure_future(self.presence.handle(received))

    def probe(self, node: int, members: int) -> None:
        """Send one probe to the measured node."""
        now = clock.read_boot_clock()
        topics = (messages.TopicAge(0, 0.1),) * 2
        probe = messages.Probe(self.incarnation, now, topics, members)
        self.socket.tell(packets.SendTo(node, probe))


class Followed:
    """The follower of a peer, which is always behind the measured node."""

    is_connected = True

    def __init__(self, view):
        self.view = view

    def tell(self, message) -> None:
        """Ignore positions."""


class Surroundings:
    """The store, the server beside the node and its peers."""

    def __init__(self, members: int, routes: int):
        self._routes = routes
        self._view = presence.PresenceView()
        self._stack = contextlib.AsyncExitStack()
        self._store = standin.Store()
        self._ports = {}
        self.peers = [Peer(one, self._view) for one in range(members - 1)]

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        with fixture.fleet.PortAllocator() as free:
            names = ('peer', 'callers', 'ready', 'control', 'target')
            names = (*names, 'metrics', 'log')
            self._ports = dict(
                zip(names, free.allocate(len(names)), strict=True)
            )
        runner = web.ServerRunner(
            self._store.build_server(), shutdown_timeout=0.1
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, HOST, self._ports['log']).start()
        await self._store.put(
            storing.OPERATOR_TOPIC, 'config', build_config(self._routes)
        )
        secret = registry.SecretRecord(SECRET)
        await self._put('secret', secret)
        keyserver.BEAT_S = BEAT_S
        await enter(
            keyserver.KeyServer(
                *('t-node', 'lookup', f'{HOST}:{self._ports["target"]}'),
                *(f'{HOST}:{self._ports["control"]}', []),
            )
        )
        for one in self.peers:
            await enter(one.socket)
        self._session = await enter(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    def list_settings(self) -> dict[str, str]:
        """Return the environment of the measured node."""
        ports = self._ports
        found = {
            **{'NAME': NODE, 'ZONE': 'zone-0', 'HOST': HOST},
            **{'PEER_PORT': ports['peer'], 'TARGET_SERVICE': 'lookup'},
            'CALLERS': f'{HOST}:{ports["callers"]}',
            'READINESS': f'{HOST}:{ports["ready"]}',
            'HEARTBEATS': f'{HOST}:{ports["control"]}',
            'TARGET': f'{HOST}:{ports["target"]}',
            'LOG': f'{HOST}:{ports["log"]}',
            'METRICS_PORT': ports['metrics'],
        }
        return {f'SESAMEJUNCTION_{k}': str(v) for k, v in found.items()}

    async def _put(self, key, record) -> None:
        value = registrycodec.encode_record(record)
        await self._store.put(storing.FLEET_TOPIC, key, value)

    async def register(self, spread_s: float) -> None:
        """Register all peers within a time."""
        for one in self.peers:
            await self._put(f'member/{one.record.name}', one.record)
            await asyncio.sleep(spread_s / max(1, len(self.peers)))

    def find_node(self):
        """Return the registration of the measured node, None before it."""
        newest = self._store.topics[storing.FLEET_TOPIC].newest
        found = newest.get(f'member/{NODE}')
        return found and registrycodec.decode_record('member', found[1])

    async def wait_for_node(self):
        """Return the registration of the measured node."""
        async with asyncio.timeout(READY_S):
            while self.find_node() is None:
                await asyncio.sleep(0.02)
        return self.find_node()

    async def drive(self) -> None:
        """Probe the node, hear of all peers and ask for readiness."""
        record = await self.wait_for_node()
        member = state.Member(
            *(record.incarnation, NODE, 'zone-0', HOST, 1),
            *(record.peer_port, 1, 'lookup', 8, 8, True),
        )
        members = {member.incarnation: member}
        for number, one in enumerate(self.peers):
            members[one.incarnation] = state.Member(
                *(one.incarnation, one.record.name, 'zone-0', one.host, 1),
                *(PEER_PORT, 1, 'lookup', 8, 8, True),
            )
        current = journaling.StateChanged(state.State(members=members))
        for one in self.peers:
            await one.socket.handle(current)
            await one.presence.handle(current)
        digest = memberages.digest_members(sorted(members))
        url = f'http://{HOST}:{self._ports["ready"]}/readiness'
        while True:
            now = clock.read_boot_clock()
            for one in members:
                self._view.last_heard_at[one] = now - random.uniform(0.0, 0.5)
            count = min(PROBED, len(self.peers))
            for one in random.sample(self.peers, count):
                one.probe(member.incarnation, digest)
            async with self._session.get(url) as reply:
                await reply.read()
            await asyncio.sleep(presence.PROBE_INTERVAL_S)


async def measure_node(mode: str, profile) -> None:
    """Run the node and print the processor time of one window."""
    checked = hostedsettings.read_hosted_settings({})
    async with hostednode.Process(checked) as process:
        running = asyncio.ensure_future(process.run())
        if mode == 'idle':
            await asyncio.sleep(SETTLE_S)
        if profile is not None:
            profile.enable()
        cpu, began = time.process_time(), time.monotonic()
        io = process._parts and process._parts._datagrams.dump()
        await asyncio.sleep(RUN_S if mode == 'idle' else SETTLE_S)
        cpu = time.process_time() - cpu
        took_s = time.monotonic() - began
        if profile is not None:
            profile.disable()
        found = {'cpu_ms': cpu * 1e3, 'took_s': took_s}
        now = process._parts._datagrams.dump()
        if io is not None:
            found['sent'] = (now.sent_bytes - io.sent_bytes) / took_s
            found['received'] = now.received_bytes - io.received_bytes
            found['received'] /= took_s
            found['packets'] = (now.sent_packets - io.sent_packets) / took_s
        found['members'] = len(process._parts._states.current.members)
        print(json.dumps(found), file=sys.stderr, flush=True)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


def run_node(mode: str, profiled: bool) -> None:
    """Run the measured node in this process."""
    logs.start_nonblocking_logging(NODE)
    os.environ['UV_USE_IO_URING'] = '0'
    loading.finish()
    profile = cProfile.Profile() if profiled else None
    uvloop.run(measure_node(mode, profile))
    if profile is not None:
        stats = pstats.Stats(profile, stream=sys.stderr)
        stats.sort_stats('tottime').print_stats(FUNCTIONS)
        stats.sort_stats('cumulative').print_stats(FUNCTIONS)


async def measure(
    mode: str, members: int, routes: int, profiled: bool
) -> None:
    """Run one node among members and print what it spent."""
    async with Surroundings(members, routes) as around:
        if mode == 'idle':
            await around.register(0.0)
        with subprocess.Popen(
            [sys.executable, '-m', 'bench.hosted', 'node', mode]
            + [str(int(profiled))],
            env={**os.environ, **around.list_settings()},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        ) as node:
            driving = asyncio.ensure_future(around.drive())
            if mode == 'start':
                await around.wait_for_node()
                await around.register(REGISTER_S)
            output = await asyncio.to_thread(node.stderr.read)
            driving.cancel()
    for line in output.splitlines():
        if not line.startswith('{'):
            print(line)
            continue
        found = json.loads(line)
        per_s = found['cpu_ms'] / found['took_s']
        print(
            f'{mode} {members} members {routes} routes:'
            f' {per_s:.1f} ms/s, {found["cpu_ms"]:.0f} ms',
            *(
                f'{name} {math.ceil(found[name])}'
                for name in (
                    'sent',
                    'received',
                    'packets',
                    'members',
                )
                if name in found
            ),
            flush=True,
        )


def measure_loading() -> None:
    """Print what a node spends before it reads its settings."""
    code = (
        'import time; from sesamejunction.ui import hosted; '
        'print(time.process_time())'
    )
    found = [
        float(subprocess.check_output([sys.executable, '-c', code]))
        for _ in range(LOADS)
    ]
    print('loading:', *(f'{one:.3f} s' for one in found), flush=True)


def start(mode='idle', members='10,78,300', routes='40', profiled='0') -> None:
    """Measure loading, an idle node or a start beside N members."""
    if mode == 'loading':
        measure_loading()
        return
    for one in str(members).split(','):
        uvloop.run(
            measure(str(mode), int(one), int(routes), bool(int(profiled)))
        )


if __name__ == '__main__':
    if sys.argv[1:2] == ['node']:
        run_node(sys.argv[2], bool(int(sys.argv[3])))
    else:
        invocation.run_command(start)
