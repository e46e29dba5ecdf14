"""A planned stop while a client reads a download slowly."""

import asyncio
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402

CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'fetch',
            'host': fleet2.HOST_NAME,
            'pathPrefix': '/fetch/',
            'kind': 'download',
            'timeoutS': 2.4,
            'targetLatencyS': 1.5,
            'priority': 2,
            'service': 'arkiv',
            'maxAttempts': 2,
        },
    ],
    'services': [{'name': 'arkiv'}],
    'limits': {'idleTimeoutS': 15.0},
}
# Sizes of the answers; the site's largest have 540,000 bytes.
SIZES = (507_904, 524_288)
# A client reads at this rate, in bytes a second.
READ_RATE = 300_000
DEADLINE_S = 2.0
STEP_S = 0.02
CLIENT_BUFFER_BYTES = 1 << 15
# Seconds from the stop to each request.
SENT_AFTER_S = (0.9, 1.1, 1.3, 1.5, 1.6, 1.7, 1.8, 1.9)


class Archive(fleet2.Server):
    """Answers with as many bytes as the path asks for."""

    async def handle(self, request):
        self.body = bytes(int(request.path.rpartition('/')[2]))
        return await super().handle(request)


async def read_slowly(record, node, number, size) -> tuple[int, int, float]:
    """Send a download and read it slowly; return what came of it.

    That is the status, the bytes of the body that are missing, and the
    seconds from the request to the end.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
    with sock:
        await loop.sock_connect(sock, (node.host, node.callers))
        started = fleet2.now()
        attempt = f'slow-{number}'
        await loop.sock_sendall(
            sock,
            fleet2.encode_request(
                attempt,
                f'/fetch/{size}',
                deadline_ms=int(DEADLINE_S * 1000),
            ),
        )
        record.write(f'{attempt} sent to {node.name}')
        data = b''
        while True:
            await asyncio.sleep(STEP_S)
            allowed = int((fleet2.now() - started) * READ_RATE) - len(data)
            if allowed <= 0:
                continue
            try:
                part = await loop.sock_recv(sock, allowed)
            except ConnectionError as error:
                record.write(f'{attempt} {error!r}')
                break
            data += part
            head, end, body = data.partition(b'\r\n\r\n')
            if not part or (end and len(body) >= size):
                break
        status = int(head.split()[1]) if end else 0
        taken_s = fleet2.now() - started
        record.write(
            f'{attempt} got {status}, {len(body)} of {size} bytes'
            f' in {taken_s:.2f} s'
        )
        return status, size - len(body), taken_s


async def note_end(record, node) -> None:
    """Write when the node's process ends."""
    await node.process.wait()
    record.write(f'{node.name} ended with {node.process.returncode}')


async def play(record, has_trouble) -> str:
    services = ('arkiv', 'arkiv', 'arkiv')
    async with fleet2.Fleet(
        record, services, CONFIG, Archive, link_mbps=100.0
    ) as fleet:
        node, size = fleet.nodes[0], SIZES[0]
        status, body = await fleet2.send(node, 'first', f'/fetch/{size}')
        if (status, len(body)) != (200, size):
            raise fleet2.CannotRun(f'first answer {status}, {len(body)}')
        if has_trouble:
            node.send_signal(signal.SIGTERM)
            asyncio.ensure_future(note_end(record, node))

        async def read_after(number, delay_s):
            await asyncio.sleep(delay_s)
            size = SIZES[number % len(SIZES)]
            return await read_slowly(record, node, number, size)

        ends = await asyncio.gather(
            *(read_after(*item) for item in enumerate(SENT_AFTER_S))
        )
    cut = [
        f'{missing} bytes missing after {taken_s:.2f} s'
        for status, missing, taken_s in ends
        if status == 200 and missing and taken_s < DEADLINE_S
    ]
    if cut:
        return f'LOST: {len(cut)} of {len(ends)} answers ended early: {cut}'
    return ''


if __name__ == '__main__':
    fleet2.run_case(FOLDER, play)
