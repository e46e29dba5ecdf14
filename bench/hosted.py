"""Measures a hosted node's cost of control traffic among N members."""

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
# The member with the lowest name plans, so this node never does.
NODE = 'z-node'
# All peers listen on this port, each on an address of its own.
PEER_PORT = 47_400
SECRET = '5e' * 32
BASE_INCARNATION = 2**62
# Peers that probe the node in a round. On average a member is probed as often
# as it probes.
PROBES_PER_ROUND = presence.FAN_OUT
# Time from the start until an idle node is measured; a node that starts is
# measured over this time.
SETTLE_S = 6.0
# Time over which an idle node is measured.
RUN_S = 15.0
# Time over which peers register in the measurement of a start.
REGISTER_S = 3.0
# Interval of the platform's heartbeats and readiness polls.
HEARTBEAT_INTERVAL_S = 1.0
PROFILE_ROWS = 45
LOADING_RUNS = 5
# Limit for the measured nodes to register or to own all keys.
READY_TIMEOUT_S = 20.0


def build_config(routes: int, version: int = 1) -> bytes:
    """Return an operator configuration with a number of routes."""
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': f'route-{index}',
                    'host': f'shop-{index % 40}.example',
                    'pathPrefix': f'/part-{index}/',
                    'kind': 'idempotent',
                    'timeoutS': 2.0,
                    'targetLatencyS': 0.2,
                    'priority': 1,
                    'service': 'lookup',
                    'maxAttempts': 2,
                }
                for index in range(routes)
            ],
            'services': [{'name': 'lookup', 'sharded': True}],
            'tenants': [
                {
                    'name': f'organisation-{index}',
                    'apiKeys': [f'key-{index}-{key}' for key in range(4)],
                    'ratePerS': 100,
                    'burst': 100,
                }
                for index in range(24)
            ],
        }
    ).encode()


def build_member(number: int, host: str) -> registry.MemberRecord:
    """Return the registration of a peer; one in eight serves lookup."""
    name = f'peer-{number:03}'
    service = 'lookup' if number % 8 == 0 else 'orders'
    return registry.MemberRecord(
        *(
            name,
            BASE_INCARNATION + number,
            f'zone-{number % 3}',
            host,
            PEER_PORT,
        ),
        *(service, 8, ranges.Life(name, f't-{number}', 1)),
    )


class Peer:
    """A peer that answers probes and probes the measured node."""

    def __init__(self, number: int, view):
        self.host = f'127.1.{number // 250}.{number % 250 + 1}'
        self.incarnation = BASE_INCARNATION + number
        self.record = build_member(number, self.host)
        self.socket = datagrams.Datagrams(
            codec.PacketCodec(bytes.fromhex(SECRET), self.incarnation),
            *(self.host, PEER_PORT),
        )
        position = follower.PositionView()
        position.end, position.as_of = 0, clock.read_boot_clock()
        followers = (StaleFollower(position), StaleFollower(position))
        self.presence = presence.Presence(
            *(self.incarnation, self.socket, view, followers),
            *((), followers),
        )
        self.socket.subscribe(self, (messages.Probe, messages.Echo))

    def tell(self, received) -> None:
        """Handle a packet from the node at once."""
        asyncio.ensure_future(self.presence.handle(received))

    def probe(self, node: int, members: int) -> None:
        """Send one probe to the measured node."""
        now = clock.read_boot_clock()
        topics = (messages.TopicAge(0, 0.1),) * 2
        probe = messages.Probe(self.incarnation, now, topics, members)
        self.socket.tell(packets.SendTo(node, probe))


class StaleFollower:
    """A peer's follower, whose position is always behind the node's."""

    is_connected = True

    def __init__(self, view):
        self.view = view

    def tell(self, message) -> None:
        """Ignore the positions that the node reports."""


class Testbed:
    """The store, the server beside the measured node, and the peers."""

    def __init__(self, members: int, routes: int):
        self._routes = routes
        self._view = presence.PresenceView()
        self._stack = contextlib.AsyncExitStack()
        self._store = standin.Store()
        self._ports = {}
        self.peers = [Peer(index, self._view) for index in range(members - 1)]

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        with fixture.fleet.PortAllocator() as allocator:
            names = ('peer', 'callers', 'ready', 'control', 'target')
            names = (*names, 'metrics', 'log')
            self._ports = dict(
                zip(names, allocator.allocate(len(names)), strict=True)
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
        keyserver.HEARTBEAT_INTERVAL_S = HEARTBEAT_INTERVAL_S
        await enter(
            keyserver.KeyServer(
                *('t-node', 'lookup', f'{HOST}:{self._ports["target"]}'),
                *(f'{HOST}:{self._ports["control"]}', []),
            )
        )
        for peer in self.peers:
            await enter(peer.socket)
        self._session = await enter(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    def list_settings(self) -> dict[str, str]:
        """Return the measured node's settings as environment variables."""
        ports = self._ports
        settings = {
            **{'NAME': NODE, 'ZONE': 'zone-0', 'HOST': HOST},
            **{'PEER_PORT': ports['peer'], 'TARGET_SERVICE': 'lookup'},
            'CALLERS': f'{HOST}:{ports["callers"]}',
            'READINESS': f'{HOST}:{ports["ready"]}',
            'HEARTBEATS': f'{HOST}:{ports["control"]}',
            'TARGET': f'{HOST}:{ports["target"]}',
            'LOG': f'{HOST}:{ports["log"]}',
            'METRICS_PORT': ports['metrics'],
        }
        return {
            f'SESAMEJUNCTION_{setting_name}': str(setting_value)
            for setting_name, setting_value in settings.items()
        }

    async def _put(self, key, record) -> None:
        value = registrycodec.encode_record(record)
        await self._store.put(storing.FLEET_TOPIC, key, value)

    async def register(self, spread_s: float) -> None:
        """Register all peers, spread evenly over ``spread_s`` seconds."""
        for peer in self.peers:
            await self._put(f'member/{peer.record.name}', peer.record)
            await asyncio.sleep(spread_s / max(1, len(self.peers)))

    def find_node(self):
        """Return the measured node's registration, None if it has none yet."""
        newest = self._store.topics[storing.FLEET_TOPIC].newest
        item = newest.get(f'member/{NODE}')
        return item and registrycodec.decode_record('member', item[1])

    async def wait_for_node(self):
        """Wait for the measured node to register; return its registration."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.find_node() is None:
                await asyncio.sleep(0.02)
        return self.find_node()

    async def simulate_peers(self) -> None:
        """Probe the node and poll its readiness, as peers and callers do."""
        record = await self.wait_for_node()
        member = state.Member(
            *(record.incarnation, NODE, 'zone-0', HOST, 1),
            *(record.peer_port, 1, 'lookup', 8, 8, True),
        )
        members = {member.incarnation: member}
        for number, peer in enumerate(self.peers):
            members[peer.incarnation] = state.Member(
                *(peer.incarnation, peer.record.name, 'zone-0', peer.host, 1),
                *(PEER_PORT, 1, 'lookup', 8, 8, True),
            )
        current = journaling.StateChanged(state.State(members=members))
        for peer in self.peers:
            await peer.socket.handle(current)
            await peer.presence.handle(current)
        digest = memberages.digest_members(sorted(members))
        url = f'http://{HOST}:{self._ports["ready"]}/readiness'
        while True:
            now = clock.read_boot_clock()
            # All peers share this view; they have heard from all members.
            for member_id in members:
                self._view.last_heard_at[member_id] = now - random.uniform(
                    0.0, 0.5
                )
            count = min(PROBES_PER_ROUND, len(self.peers))
            for peer in random.sample(self.peers, count):
                peer.probe(member.incarnation, digest)
            async with self._session.get(url) as reply:
                await reply.read()
            await asyncio.sleep(presence.PROBE_INTERVAL_S)


async def measure_node(mode: str, profile) -> None:
    """Run the node and print its costs in one period as JSON.

    ``took_s`` is the length of the period. ``sent``, ``received`` and
    ``packets`` are per second, in bytes and packets; they are left out if the
    node had not built its tasks at the start of the period.
    """
    checked = hostedsettings.read_hosted_settings({})
    async with hostednode.Process(checked) as process:
        running = asyncio.ensure_future(process.run())
        if mode == 'idle':
            await asyncio.sleep(SETTLE_S)
        if profile is not None:
            profile.enable()
        cpu_s, started = time.process_time(), time.monotonic()
        traffic_before = (
            process._components and process._components._datagrams.dump()
        )
        await asyncio.sleep(RUN_S if mode == 'idle' else SETTLE_S)
        cpu_s = time.process_time() - cpu_s
        elapsed_s = time.monotonic() - started
        if profile is not None:
            profile.disable()
        costs = {'cpu_ms': cpu_s * 1e3, 'took_s': elapsed_s}
        traffic_after = process._components._datagrams.dump()
        if traffic_before is not None:
            costs['sent'] = (
                traffic_after.sent_bytes - traffic_before.sent_bytes
            ) / elapsed_s
            costs['received'] = (
                traffic_after.received_bytes - traffic_before.received_bytes
            )
            costs['received'] /= elapsed_s
            costs['packets'] = (
                traffic_after.sent_packets - traffic_before.sent_packets
            ) / elapsed_s
        costs['members'] = len(process._components._states.current.members)
        print(json.dumps(costs), file=sys.stderr, flush=True)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


def run_node(mode: str, profiled: bool) -> None:
    """Run the measured node in this process."""
    logs.start_nonblocking_logging(NODE)
    os.environ['UV_USE_IO_URING'] = '0'
    loading.restore_settings()
    profile = cProfile.Profile() if profiled else None
    uvloop.run(measure_node(mode, profile))
    if profile is not None:
        stats = pstats.Stats(profile, stream=sys.stderr)
        stats.sort_stats('tottime').print_stats(PROFILE_ROWS)
        stats.sort_stats('cumulative').print_stats(PROFILE_ROWS)


async def measure(
    mode: str, members: int, routes: int, profiled: bool
) -> None:
    """Run one node among members and print its costs."""
    async with Testbed(members, routes) as testbed:
        if mode == 'idle':
            await testbed.register(0.0)
        with subprocess.Popen(
            [sys.executable, '-m', 'bench.hosted', 'node', mode]
            + [str(int(profiled))],
            env={**os.environ, **testbed.list_settings()},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        ) as node:
            simulation = asyncio.ensure_future(testbed.simulate_peers())
            if mode == 'start':
                await testbed.wait_for_node()
                await testbed.register(REGISTER_S)
            output = await asyncio.to_thread(node.stderr.read)
            simulation.cancel()
    for line in output.splitlines():
        if not line.startswith('{'):
            print(line)
            continue
        costs = json.loads(line)
        cpu_ms_per_s = costs['cpu_ms'] / costs['took_s']
        print(
            f'{mode} {members} members {routes} routes:'
            f' {cpu_ms_per_s:.1f} ms/s, {costs["cpu_ms"]:.0f} ms',
            *(
                f'{name} {math.ceil(costs[name])}'
                for name in (
                    'sent',
                    'received',
                    'packets',
                    'members',
                )
                if name in costs
            ),
            flush=True,
        )


def measure_loading() -> None:
    """Print the processor time that importing a node's modules takes."""
    code = (
        'import time; from sesamejunction.ui import hosted; '
        'print(time.process_time())'
    )
    load_times = [
        float(subprocess.check_output([sys.executable, '-c', code]))
        for _ in range(LOADING_RUNS)
    ]
    print(
        'loading:',
        *(f'{load_time:.3f} s' for load_time in load_times),
        flush=True,
    )


def start(mode='idle', members='10,78,300', routes='40', profiled='0') -> None:
    """Measure loading, an idle node or a start among N members."""
    if mode == 'loading':
        measure_loading()
        return
    for member_count in str(members).split(','):
        uvloop.run(
            measure(
                str(mode), int(member_count), int(routes), bool(int(profiled))
            )
        )


if __name__ == '__main__':
    if sys.argv[1:2] == ['node']:
        run_node(sys.argv[2], bool(int(sys.argv[3])))
    else:
        invocation.run_command(start)
