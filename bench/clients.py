"""Measures the memory that a process holds for clients that leave.

Usage: python -m bench.clients [CLIENTS]. One JSON line for each case: memory
at rest, while the clients wait with unread answers, and after they have left,
in MB, and the bytes that are still counted for them.
"""

import asyncio
import json
import pathlib
import socket
import sys

import uvloop

from sesamejunction.border import clients as counts
from sesamejunction.border import pipelinedhttp
from sesamejunction.decisions import clientbudget

HOST = '127.0.0.1'
ANSWER_BYTES = 4_000_000
# Enough for all answers, so that nothing but the clients' leaving frees them.
MEMORY_MB = 4096
# Time for the server to see that connections have closed.
SETTLE_S = 0.5
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
# What each client sends before it pauses or leaves.
CASES = {
    'leave during a large answer': REQUEST,
    'leave during a pipelined row': REQUEST * 4,
    'pause in the middle of a pipelined row': REQUEST * 2 + REQUEST[:20],
    'leave during an upload': (
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n'
        + bytes(400_000)
    ),
}


def read_memory_mb() -> float:
    """Return the memory of this process."""
    status = pathlib.Path('/proc/self/status').read_text()
    (line,) = (one for one in status.splitlines() if one.startswith('VmRSS:'))
    return round(int(line.split()[1]) / 1024, 1)


async def handle(request):
    """Return a large answer of its own."""
    if request.body_exists:
        await request.read_body(1 << 20)
    return pipelinedhttp.CallerReply(200, (), bytes(bytearray(ANSWER_BYTES)))


async def run_clients(port, sent, count) -> list[socket.socket]:
    """Return connections that have sent bytes and read nothing."""
    loop = asyncio.get_running_loop()
    made = []
    for _ in range(count):
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        one.setblocking(False)
        await loop.sock_connect(one, (HOST, port))
        await loop.sock_sendall(one, sent)
        made.append(one)
    return made


async def measure(name, sent, count) -> None:
    """Print one case."""
    held = counts.Clients(clientbudget.derive_limits(MEMORY_MB, 1 << 16))
    ports = pipelinedhttp.ServerPorts(
        *(handle, lambda request: True, lambda: False, lambda: 1 << 14),
        asyncio.get_running_loop().time,
        clients=held,
    )
    server = pipelinedhttp.CallerServer(ports)
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    await server.start(HOST, port, 1024)
    row = {'case': name, 'clients': count, 'rest_mb': read_memory_mb()}
    made = await run_clients(port, sent, count)
    await asyncio.sleep(SETTLE_S)
    row['waiting_mb'] = read_memory_mb()
    row['counted_mb'] = round(held.held_bytes / (1 << 20), 1)
    for one in made:
        one.close()
    await asyncio.sleep(SETTLE_S)
    row['left_mb'] = read_memory_mb()
    row['counted_after_bytes'] = held.held_bytes
    await server.close()
    print(json.dumps(row), flush=True)


async def main(count) -> None:
    """Measure all cases."""
    for name, sent in CASES.items():
        await measure(name, sent, count)


if __name__ == '__main__':
    uvloop.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 200))
