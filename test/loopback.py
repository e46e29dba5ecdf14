"""Nodes of a service on the loopback interface with faulty targets."""

import asyncio
import contextlib
import dataclasses
import hashlib
import time
import uuid

import aiohttp
from demo import fleet
import sanic
import yarl

from sesamejunction.border import callerhttp
from sesamejunction.border import dispatch
from sesamejunction.border import forwardhttp
from sesamejunction.border import httpclient
from sesamejunction.border import targethttp
from sesamejunction.commands import ports as porting
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import state
from sesamejunction.tasks import chooser
from sesamejunction.tasks import clock
from sesamejunction.tasks import gate
from sesamejunction.tasks import once
from test import permissive

HOST = '127.0.0.1'
SECRET = b'loopback-secret-0001'
KEY = 'key-of-ana'
SLOTS = 8


@dataclasses.dataclass
class ReceivedRequest:
    """A request as received by a target."""

    method: str
    path: str
    headers: dict
    size: int


class Target:
    """A raw HTTP server; the last path segment selects its behaviour."""

    def __init__(self):
        self.seen = []
        self.cancelled = []
        self.whole = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._serve_one(reader, writer)
        writer.close()

    async def _serve_one(self, reader, writer):
        lines = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        method, path, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        if path.startswith('/-/cancel/'):
            self.cancelled.append(path.rpartition('/')[2])
            writer.write(b'HTTP/1.1 204 No Content\r\n\r\n')
            return
        seen = ReceivedRequest(method, path, headers, 0)
        self.seen.append(seen)
        async for chunk in read_body(reader, headers):
            seen.size += len(chunk)
        self.whole += 1
        await self._reply(path.rpartition('/')[2], seen, writer)
        await writer.drain()

    async def _reply(self, mode, seen, writer):
        request_id = seen.headers.get('sj-request-id', '')
        status, extra, body = 200, '', f'{mode} {seen.size}'.encode()
        match mode:
            case 'crossed':
                request_id = 'another.1'
            case 'shed':
                status, extra = 503, 'SJ-Not-Run: 1\r\n'
            case 'cookie':
                extra = 'Set-Cookie: a=ana\r\nSJ-Outcome: not-run\r\n'
            case 'drop':
                writer.transport.abort()
                raise ConnectionResetError
            case 'silent' | 'slow':
                await asyncio.sleep(30 if mode == 'silent' else 0.15)
        head = f'HTTP/1.1 {status} X\r\nSJ-Request-Id: {request_id}\r\n{extra}'
        length = len(body) + (100 if mode in ('cut', 'stall') else 0)
        writer.write(f'{head}Content-Length: {length}\r\n\r\n'.encode() + body)
        if mode == 'stall':
            await asyncio.sleep(30)
        if mode == 'cut':
            await writer.drain()
            writer.close()
            raise ConnectionResetError


async def read_body(reader, headers):
    left = int(headers.get('content-length', 0))
    while left:
        chunk = await reader.read(min(left, 65536))
        if not chunk:
            raise ConnectionResetError
        left -= len(chunk)
        yield chunk
    if 'transfer-encoding' in headers:
        while size := int(await reader.readuntil(b'\r\n'), 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)


# Shared by the whole run, since ports are reserved before they are bound.
PORTS = fleet.PortAllocator()


class NodeWithTarget:
    """A node and its target."""

    def __init__(self, incarnation, service):
        ports = PORTS.allocate(2)
        self.target = Target()
        self.target_port = ports[1]
        self.member = state.Member(
            *(incarnation, f'node-{incarnation}', 'a', HOST, ports[0]),
            *(ports[0], ports[0], service, 12, 12, True),
        )
        self.url = f'http://{HOST}:{ports[0]}'
        self.states = porting.StateView()
        self.gate = gate.Gate(incarnation)
        self.chooser = chooser.Chooser(incarnation, 'a')
        self.owners = permissive.PermissiveOwners(incarnation, 0.0)
        self.lease = permissive.PermissiveLease()
        self.shares = permissive.PermissiveShares()
        self.once = once.Once()
        self.context = None

    @property
    def tasks(self):
        return (
            *(self.gate, self.chooser, self.owners),
            *(self.shares, self.once),
        )

    async def start(self, stack, max_body):
        http = await stack.enter_async_context(httpclient.HttpClient())
        transport = await stack.enter_async_context(
            targethttp.TargetTransport(http, HOST, clock.read_boot_clock)
        )
        transport.port = self.target_port
        self.context = callerhttp.CallerContext(
            porting.Ports(
                *(self.member.incarnation, self.states, self.gate),
                *(self.lease, self.owners, self.shares, self.once),
                self.chooser,
                forwardhttp.PeerTransport(http, SECRET, clock.read_boot_clock),
                transport,
                clock.read_boot_clock,
                porting.WaiterLimit(64),
            ),
            SECRET,
            max_body,
        )
        name = f'test-{uuid.uuid4().hex}'
        dispatcher = dispatch.Dispatcher()
        await stack.enter_async_context(
            dispatch.ActiveRequests(dispatcher, self.context)
        )
        app = callerhttp.build_app(dispatcher, max_body, name)
        server = await app.create_server(
            host=HOST, port=self.member.caller_port, return_asyncio_server=True
        )
        await server.startup()
        await server.start_serving()
        stack.callback(sanic.Sanic.unregister_app, app)
        stack.push_async_callback(server.close)
        raw = await asyncio.start_server(
            self.target.serve, HOST, self.target_port
        )
        stack.callback(raw.close)
        self.gate.tell(
            gating.TargetAnnounced('s', 12, 12, self.target_port, True)
        )


@contextlib.asynccontextmanager
async def run_nodes(count=2, routing=state.Routing.KEY, max_body=1 << 30):
    """Run nodes of the service ``s``; the first owns every slot."""
    spots = [NodeWithTarget(number, 's') for number in range(1, count + 1)]
    order = tuple(one.member.incarnation for one in spots)
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    current = state.State(
        members={one.member.incarnation: one.member for one in spots},
        services={'s': state.Service('s', routing, SLOTS)},
        tables={'s': state.SlotTable((state.SlotOrder(1, order),) * SLOTS)},
        organisations={'ana': state.Organisation('ana', 1e6, 1e6)},
        caller_keys={digest: state.CallerKey(digest, 'ana')},
    )
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        for spot in spots:
            for task in spot.tasks:
                stack.callback(group.create_task(task.run()).cancel)
            publish(spot, current)
            await spot.start(stack, max_body)
        yield spots


def publish(spot, current):
    """Publish a state to the actors of a node."""
    for task in (spot.states, spot.gate, spot.chooser, spot.owners):
        task.publish(journaling.StateChanged(current))


def make_uuid7(number=0):
    stamp = int(time.time() * 1000)
    return str(uuid.UUID(int=stamp << 80 | 7 << 76 | 2 << 62 | number))


AUTH = {'Authorization': f'Bearer {KEY}'}
KEYED = AUTH | {'SJ-Key': 'lot-1'}


async def call(spot, path, method='GET', **options):
    """Return (status, outcome, body), or ``cut`` if the response aborts."""
    options.setdefault('headers', KEYED)
    url = yarl.URL(f'{spot.url}/s/{path}', encoded=True)
    async with aiohttp.ClientSession(
        middlewares=(httpclient.prevent_resend,)
    ) as session:
        try:
            async with session.request(method, url, **options) as reply:
                body = await reply.read()
                return reply.status, reply.headers.get('SJ-Outcome'), body
        except (aiohttp.ClientPayloadError, errors.PeerConnectionLost):
            return 'cut'


def build_once_headers(number=0):
    return KEYED | {'Idempotency-Key': make_uuid7(number)}
