"""Callers that read their answers slowly, over raw sockets."""

import asyncio
import contextlib
import dataclasses
import socket

# Receive buffer of a caller, so that the rest of an answer stays at the node.
RECEIVE_BYTES = 1 << 15
STEP_S = 0.01


@dataclasses.dataclass(frozen=True)
class Slowness:
    """How a caller reads an answer, and what it sends meanwhile.

    It takes ``rate`` bytes a second, and nothing in the first ``pause_s``.
    ``further`` is sent behind the request in pieces of ``piece`` bytes, one a
    step, once the first byte of the answer is there.
    """

    rate: int = 2_000_000
    pause_s: float = 0.0
    further: bytes = b''
    piece: int = 1 << 14


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller has received; ``missing`` counts bytes of the body."""

    status: int
    body: bytes
    missing: int


async def connect(address):
    """Return a connected socket with a small receive buffer."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def send_slowly(sock, slowness) -> None:
    """Send further bytes until the node does not take them."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        for start in range(0, len(slowness.further), slowness.piece):
            part = slowness.further[start : start + slowness.piece]
            await loop.sock_sendall(sock, part)
            await asyncio.sleep(STEP_S)


def parse_answers(data: bytes) -> list[Received]:
    """Return the answers in received bytes; the last one may be cut."""
    answers = []
    while data:
        head, _, data = data.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:])
        size = int(fields.get('content-length', 0))
        body, data = data[:size], data[size:]
        status = int(lines[0].split()[1])
        answers.append(Received(status, body, size - len(body)))
    return answers


async def call_slowly(
    address, request: bytes, slowness=Slowness()
) -> list[Received]:
    """Send requests and return what comes until the connection ends."""
    loop = asyncio.get_running_loop()
    sock = await connect(address)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(sock.close)
        await loop.sock_sendall(sock, request)
        data, sending = b'', None
        started = loop.time() + slowness.pause_s
        await asyncio.sleep(slowness.pause_s)
        while True:
            await asyncio.sleep(STEP_S)
            allowed = int((loop.time() - started) * slowness.rate) - len(data)
            if allowed <= 0:
                continue
            try:
                part = await loop.sock_recv(sock, allowed)
            except ConnectionError:
                break
            if not part:
                break
            data += part
            if sending is None:
                sending = asyncio.ensure_future(send_slowly(sock, slowness))
                stack.callback(sending.cancel)
    return parse_answers(data)
