"""Tests that the load client of process tests sends each call once."""

import asyncio

import pytest

from test.process import load


# Guards against a client that repeats a call whose connection broke. The
# repeat found the port closed, so a call that had run was counted as never
# sent.
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.asyncio
async def test_broken_calls_are_not_repeated(method):
    taken = []

    async def break_connection(reader, writer):
        taken.append(await reader.readline())
        writer.close()
        # The next connection would be refused.
        server.close()

    server = await asyncio.start_server(break_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    base = f'http://127.0.0.1:{port}'
    async with load.Load(
        1.0, lambda _: load.Call(base, '/work', method)
    ) as sent:
        async with asyncio.timeout(5.0):
            while not sent.results:
                await asyncio.sleep(0.01)
    assert len(taken) == 1
    assert [one.error for one in sent.results] == ['ServerDisconnectedError']
