"""Answers that callers have not received yet, over real connections."""

import asyncio
import contextlib
import socket
import types

import pytest

from sesamejunction.border import clients
from sesamejunction.border import framing
from sesamejunction.border import linkcodec
from sesamejunction.border import pipelinedhttp
from sesamejunction.commands import wholebodies
from sesamejunction.model import linking
from sesamejunction.tasks import clock
from sesamejunction.tasks import linkserver
from sesamejunction.ui import hostednode
from test import requestfakes
from test import slowcallers
from test import test_pacedreplies as paced
from test import test_pipelinedhttp as plain

# More than the socket buffers of a connection hold, and less.
LONG = 1 << 20
SHORT = 200_000
UPLOAD_BYTES = 1 << 21
SMALL_UPLOAD_BYTES = 1 << 19


class SizeHandler:
    """Answers with as many bytes as the path asks for.

    A POST is answered before its body has arrived.
    """

    def __init__(self):
        self.stopping = False
        self.open = 0

    async def handle(self, request):
        self.open += 1
        await asyncio.sleep(0.01)
        self.open -= 1
        size = int(request.raw_path.rpartition('/')[2])
        return pipelinedhttp.CallerReply(200, (), bytes(size))


class StoppingComponents:
    """Counts the requests of a handler and the answers on a line."""

    def __init__(self, handler, line):
        self._handler = handler
        self._line = line

    def begin_stop(self):
        self._handler.stopping = True

    def count_open_requests(self):
        on_line = 0 if self._line is None else len(self._line.open)
        return self._handler.open + on_line

    def refuse_new_work(self):
        pass

    def end_requests(self):
        pass

    async def close_peer_connections(self, _ends):
        pass


@pytest.fixture
async def node(unused_tcp_port, monkeypatch):
    """Yield a function that opens a server, and stops it as a node does."""
    monkeypatch.setattr(hostednode, 'CALLER_LEAVE_S', 0.1)
    servers = []

    async def open_node(line=None, stop_limit_s=5.0, bounds=''):
        handler = SizeHandler()
        ports = pipelinedhttp.ServerPorts(
            handler.handle,
            lambda request: request.method == 'GET',
            lambda: handler.stopping,
            lambda: plain.HEAD_LIMIT,
            asyncio.get_running_loop().time,
            line=line,
        )
        server = pipelinedhttp.CallerServer(ports)
        servers.append(server)
        await server.start(plain.HOST, unused_tcp_port, 10)
        process = hostednode.Process(
            types.SimpleNamespace(stop_limit_s=stop_limit_s, bounds=bounds)
        )
        process._components = StoppingComponents(handler, line)
        process._caller_sites = [server]

        async def stop():
            await process._stop()
            await server.close()

        return types.SimpleNamespace(
            address=(plain.HOST, unused_tcp_port),
            stop=stop,
            connections=ports.connections,
        )

    yield open_node
    for server in servers:
        await server.close()


def request(size, method='GET', fields=''):
    return plain.request(f'/{size}', method, fields).encode()


def upload(size, body_size, sent):
    """Return a request of which only a part of the body is sent."""
    return plain.upload(f'/{size}', body_size, sent).encode()


FURTHER = plain.request('/1').encode() * 400
BODY = bytes(UPLOAD_BYTES)
# Several sizes, since the buffers of the system take bytes in large steps.
CALLERS = 4
SIZE_STEP = 24_000
# Rows: whether answers leave in parts, the least size of an answer, what a
# caller sends for one of a size, how it reads, and how many answers it gets.
STOPS = {
    'whole answer': (False, LONG, request, slowcallers.Slowness(), 1),
    'answer in parts': (
        *(True, LONG // 2, request, slowcallers.Slowness(rate=300_000), 1),
    ),
    'answer behind an unread one': (
        *(False, LONG, lambda size: request(size) * 2),
        *(slowcallers.Slowness(), 2),
    ),
    'early answer to an upload': (
        *(False, SHORT, lambda size: upload(size, UPLOAD_BYTES, 1 << 10)),
        *(slowcallers.Slowness(rate=150_000, further=BODY), 1),
    ),
    'caller that sends on': (
        *(False, SHORT, lambda size: request(size, fields=plain.CLOSE)),
        slowcallers.Slowness(rate=150_000, further=FURTHER, piece=100),
        1,
    ),
}


# Guards against a planned stop that ends while answers are in the buffers of
# the process or of the system: callers got all but the last 16 to 32 KB.
@pytest.mark.parametrize(
    ('in_parts', 'least', 'encode', 'slowness', 'count'),
    STOPS.values(),
    ids=STOPS,
)
async def test_planned_stop_waits_until_answers_have_arrived(
    node, in_parts, least, encode, slowness, count
):
    stopping = await node(paced.FakeLine() if in_parts else None)
    sizes = [least + number * SIZE_STEP for number in range(CALLERS)]
    calls = [
        asyncio.ensure_future(
            slowcallers.call_slowly(stopping.address, encode(size), slowness)
        )
        for size in sizes
    ]
    await asyncio.sleep(0.05)
    await stopping.stop()
    for size, answers in zip(sizes, await asyncio.gather(*calls), strict=True):
        assert [len(one.body) for one in answers] == [size] * count


# Guards against a stop that a caller without a read holds up until the
# platform kills the process. Columns: size of the answer.
@pytest.mark.parametrize('size', [LONG, SHORT])
async def test_unread_answer_does_not_outlast_the_grace_time(node, size):
    stopping = await node(stop_limit_s=0.5, bounds='graceS=1.0')
    sock = await slowcallers.connect(stopping.address)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, request(size))
    await asyncio.sleep(0.05)
    started = loop.time()
    await stopping.stop()
    assert loop.time() - started < 1.0
    await asyncio.sleep(0.05)
    assert not stopping.connections
    sock.close()


# Rows: what the caller sends and how it reads. The answer is the last one of
# its connection.
ENDS = {
    'upload that goes on': (
        upload(SHORT, UPLOAD_BYTES, 1 << 10),
        slowcallers.Slowness(rate=150_000, further=BODY),
    ),
    'upload that stays away': (
        upload(LONG, SMALL_UPLOAD_BYTES, 1 << 10),
        slowcallers.Slowness(),
    ),
    'further requests': (
        request(SHORT, fields=plain.CLOSE),
        slowcallers.Slowness(rate=150_000, further=FURTHER, piece=100),
    ),
}


# Guards against the end of a connection that destroys its last answer: the
# time for the rest of an upload began when the answer was written, and a
# close with unread bytes resets the connection.
@pytest.mark.parametrize(('sent', 'slowness'), ENDS.values(), ids=ENDS)
async def test_last_answer_arrives_before_the_connection_closes(
    node, monkeypatch, sent, slowness
):
    monkeypatch.setattr(pipelinedhttp, 'LINGER_S', 0.2)
    monkeypatch.setattr(pipelinedhttp, 'DROP_TIMEOUT_S', 0.2)
    opened = await node()
    (answer,) = await slowcallers.call_slowly(opened.address, sent, slowness)
    assert (answer.status, answer.missing) == (200, 0)


async def test_unread_last_answer_is_given_up(node, monkeypatch):
    """Guards against connections that wait for ever for a caller to read."""
    monkeypatch.setattr(clients, 'UNREAD_LIMIT_S', 0.4)
    opened = await node()
    sock = await slowcallers.connect(opened.address)
    await asyncio.get_running_loop().sock_sendall(
        sock, request(SHORT, fields=plain.CLOSE)
    )
    await asyncio.sleep(0.05)
    async with asyncio.timeout(5.0):
        while opened.connections:
            await asyncio.sleep(0.02)
    sock.close()


def encode_frame(frame) -> bytes:
    data = framing.ENCODER.encode(frame)
    return framing.LENGTH.pack(len(data)) + data


async def test_planned_stop_waits_for_answers_to_other_nodes():
    """Guards against an answer to another node that the stop cuts.

    The whole answer is in the buffer of the system, the other node reads
    slowly, and it sends a ping meanwhile.
    """
    loop, secret = asyncio.get_running_loop(), b'secret'

    async def answer(_head, _body):
        return wholebodies.build_answer(200, (), bytes(SHORT))

    ports = linkserver.ServerPorts(2, secret, answer, None)
    listener = socket.create_server((plain.HOST, 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LONG)
    server = await loop.create_server(
        lambda: linkserver.LinkServer(ports), sock=listener
    )
    sock = await slowcallers.connect(listener.getsockname())
    with contextlib.closing(sock):
        now = clock.read_boot_clock()
        hello = linking.Hello(0, 1, 2, framing.sign_hello(secret, 1, 2))
        work = linkcodec.encode_work(1, requestfakes.HEAD, b'', now)
        for frame in (hello, work):
            await loop.sock_sendall(sock, encode_frame(frame))
        await asyncio.sleep(0.1)

        async def stop():
            server.close()
            await linkserver.close_connections(ports, loop.time() + 5.0)
            for connection in list(ports.connections):
                connection.transport.abort()

        stopping, received = asyncio.ensure_future(stop()), 0
        with contextlib.suppress(ConnectionError):
            while received < SHORT:
                data = await loop.sock_recv(sock, 4096)
                if not data:
                    break
                received += len(data)
                await loop.sock_sendall(sock, encode_frame(linking.Ping(0)))
                await asyncio.sleep(0.02)
        assert received >= SHORT
    await stopping
