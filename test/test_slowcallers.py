"""Callers that read slowly but steadily, at both kinds of node."""

import asyncio
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
    async with listeners.Listener(app, plain.HOST, port) as listener:
        yield listener


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


async def test_stop_of_a_plain_node_waits_for_a_slow_caller(unused_tcp_port):
    """Guards against a stop that cuts an answer which is read slowly.

    The caller begins its next request while it reads.
    """
    further = plain.request('/').encode()
    async with open_plain(unused_tcp_port) as listener:
        calling = asyncio.ensure_future(
            slowcallers.call_slowly(
                (plain.HOST, unused_tcp_port),
                plain.request('/').encode(),
                slowcallers.Slowness(rate=300_000, further=further, piece=5),
            )
        )
        await asyncio.sleep(0.1)
        aborted = await listener.shut_down(5.0)
        answers = await calling
    assert aborted == 0
    assert answers[0].missing == 0
