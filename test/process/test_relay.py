"""The relays of the process tests drop the configured traffic."""

import asyncio
import contextlib

import pytest

from demo import fleet
from test.process import relay

DROP = relay.Mode.DROP
PASS = relay.Mode.PASS
WAIT_S = 0.2


async def echo(reader, writer):
    try:
        while data := await reader.read(100):
            writer.write(data)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def start_tcp(ports):
    near, far = ports.allocate(2)
    server = await asyncio.start_server(echo, fleet.HOST, far)
    async with server, relay.TcpRelay(fleet.HOST, near, far) as made:
        yield made, near


async def exchange(stream):
    """Return whether a byte is echoed in time."""
    reader, writer = stream
    writer.write(b'x')
    try:
        async with asyncio.timeout(WAIT_S):
            return await reader.read(1) == b'x'
    except TimeoutError:
        return False


# Guards against a simulated partition that drops nothing.
@pytest.mark.parametrize(
    ('inward', 'outward', 'arrives'),
    [
        (PASS, PASS, True),
        (DROP, PASS, False),
        (PASS, DROP, False),
        (DROP, DROP, False),
    ],
)
async def test_tcp_directions(inward, outward, arrives):
    with fleet.PortAllocator() as ports:
        async with start_tcp(ports) as (made, port):
            stream = await asyncio.open_connection(fleet.HOST, port)
            assert await exchange(stream)
            made.switch.set(inward, outward)
            assert await exchange(stream) is arrives
            late = await asyncio.open_connection(fleet.HOST, port)
            assert await exchange(late) is arrives
            for _, writer in (stream, late):
                writer.close()


async def test_open_connections_go_silent_and_new_ones_work():
    with fleet.PortAllocator() as ports:
        async with start_tcp(ports) as (made, port):
            old = await asyncio.open_connection(fleet.HOST, port)
            assert await exchange(old)
            made.stall_open_connections()
            new = await asyncio.open_connection(fleet.HOST, port)
            assert not await exchange(old)
            assert await exchange(new)
            for _, writer in (old, new):
                writer.close()


@pytest.mark.parametrize(
    ('inward', 'outward', 'counts'),
    [
        (PASS, PASS, (2, 0)),
        (DROP, PASS, (0, 1)),
        (PASS, DROP, (1, 1)),
        (None, PASS, (0, 1)),
    ],
)
async def test_udp_directions(inward, outward, counts):
    loop = asyncio.get_running_loop()
    with fleet.PortAllocator() as ports, contextlib.ExitStack() as stack:
        near, far = ports.allocate(2)
        server, client = (
            stack.enter_context(relay.open_datagrams((fleet.HOST, one)))
            for one in (far, 0)
        )
        async with relay.UdpRelay(fleet.HOST, near, far) as made:
            made.switch.set(inward or PASS, outward)
            if inward is None:
                made.blocked.add(client.getsockname()[1])
            await loop.sock_sendto(client, b'x', (fleet.HOST, near))
            arrived = 0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WAIT_S):
                    data, sender = await loop.sock_recvfrom(server, 10)
                    await loop.sock_sendto(server, data, sender)
                    await loop.sock_recvfrom(client, 10)
                    arrived = 1
            assert (made.passed, made.dropped) == counts
            assert arrived == (counts[1] == 0)
