"""Callers that read slowly but steadily, at both kinds of node."""

import contextlib

import pytest
import sanic

from sesamejunction.border import listeners
from sesamejunction.border import pipelinedhttp
from test import slowcallers
from test import test_pipelinedhttp as plain

ANSWER_BYTES = 1 << 19
# The answer takes 3.5 s to read.
SLOWNESS = slowcallers.Slowness(rate=150_000)


@contextlib.asynccontextmanager
async def open_hosted(port):
    async def handle(_request):
        return pipelinedhttp.CallerReply(200, (), bytes(ANSWER_BYTES))

    ports = pipelinedhttp.ServerPorts(
        handle,
        lambda request: True,
        lambda: False,
        lambda: plain.HEAD_LIMIT,
        lambda: 0.0,
    )
    server = pipelinedhttp.CallerServer(ports)
    await server.start(plain.HOST, port, 10)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.close)
        yield


@contextlib.asynccontextmanager
async def open_plain(port):
    app = sanic.Sanic('slow', configure_logging=False)
    app.config.TOUCHUP = False

    async def handle(request):
        reply = await request.respond(
            headers={'Content-Length': str(ANSWER_BYTES)}
        )
        for _ in range(ANSWER_BYTES // 4096):
            await reply.send(bytes(4096))
        await reply.eof()

    app.add_route(handle, '/')
    async with listeners.Listener(app, plain.HOST, port):
        yield


# Guards against a limit of the system that resets connections of callers which
# read slowly: it counted 2 s in which their window was too small.
@pytest.mark.parametrize('open_node', [open_hosted, open_plain])
async def test_slow_caller_gets_its_whole_answer(open_node, unused_tcp_port):
    async with open_node(unused_tcp_port):
        (answer,) = await slowcallers.call_slowly(
            (plain.HOST, unused_tcp_port),
            plain.request('/', fields=plain.CLOSE).encode(),
            SLOWNESS,
        )
    assert (answer.status, answer.missing) == (200, 0)
