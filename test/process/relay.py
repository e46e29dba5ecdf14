"""Relays between nodes that can drop traffic or stall connections."""

import asyncio
import collections
import contextlib
import enum
import socket

CHUNK_BYTES = 64 * 1024
MAX_CLIENTS = 1024
RECORDED_LIMIT = 64


class Mode(enum.Enum):
    """What a relay does with one direction of the traffic."""

    PASS = 'pass'
    # Bytes are dropped, connections stay open: a partition or a silent peer.
    DROP = 'drop'


class Switch:
    """Modes of both directions; ``inward`` is towards the server."""

    def __init__(self):
        self.inward = Mode.PASS
        self.outward = Mode.PASS

    def set(self, inward: Mode, outward: Mode | None = None) -> None:
        """Set the modes; without ``outward`` both are set to ``inward``."""
        self.inward = inward
        self.outward = inward if outward is None else outward


class TcpRelay:
    """Relays TCP connections from a port to a server.

    A connection that the server refuses is accepted first and then closed.
    Tests of planned stops therefore use no relay: nodes would see a lost
    request instead of a refused connection.

    New connections follow ``switch``. A connection from before
    ``stall_open_connections`` stays silent for good, while new ones work.
    """

    def __init__(self, host: str, port: int, server_port: int):
        self.switch = Switch()
        self.accepted_count = 0
        self._stalled_below = 0
        self._host = host
        self._port = port
        self._server_port = server_port
        self._server = None
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._relay, self._host, self._port, limit=CHUNK_BYTES
        )
        return self

    async def __aexit__(self, *_exc):
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stall_open_connections(self) -> None:
        """Stop all traffic on the connections that are open now."""
        self._stalled_below = self.accepted_count

    async def _relay(self, reader, writer) -> None:
        self._tasks.add(task := asyncio.current_task())
        number = self.accepted_count
        self.accepted_count += 1
        try:
            await self._connect(number, reader, writer)
        except (OSError, asyncio.CancelledError):
            # A reset by either side, or the end of the relay.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _connect(self, number, reader, writer) -> None:
        # A partition also delays new connections.
        while self.switch.inward is Mode.DROP:
            await asyncio.sleep(0.02)
        near, far = await asyncio.open_connection(
            self._host, self._server_port, limit=CHUNK_BYTES
        )
        with contextlib.closing(far):
            pumps = (
                self._pump(number, reader, far, 'inward'),
                self._pump(number, near, writer, 'outward'),
            )
            tasks = [asyncio.ensure_future(one) for one in pumps]
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for one in tasks:
                    one.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _pump(self, number, reader, writer, direction) -> None:
        while data := await reader.read(CHUNK_BYTES):
            silent = number < self._stalled_below
            if silent or getattr(self.switch, direction) is Mode.DROP:
                # TCP cannot lose a part of a stream: nothing after the dropped
                # bytes may arrive either.
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()


class UdpRelay:
    """Relays datagrams from a port to a server.

    Each client has its own socket towards the server, by which replies are
    routed back, so the server sees the relay's address. Datagrams from the
    ports in ``blocked`` are dropped, which isolates the server from single
    clients. ``forwarded`` holds the latest datagrams that were passed on to
    the server, for replay tests.
    """

    def __init__(self, host: str, port: int, server_port: int):
        self.switch = Switch()
        self.blocked = set()
        self.forwarded = collections.deque(maxlen=RECORDED_LIMIT)
        self.passed = 0
        self.dropped = 0
        self._address = (host, port)
        self._server = (host, server_port)
        self._clients = {}
        self._socket = None
        self._tasks = []

    async def __aenter__(self):
        self._socket = open_datagrams(self._address)
        self._spawn(self._relay_inward())
        return self

    async def __aexit__(self, *_exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for one in (self._socket, *self._clients.values()):
            one.close()

    def _spawn(self, coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _relay_inward(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data, client = await loop.sock_recvfrom(self._socket, CHUNK_BYTES)
            if client[1] in self.blocked:
                self.dropped += 1
                continue
            if client not in self._clients:
                if len(self._clients) >= MAX_CLIENTS:
                    self.dropped += 1
                    continue
                one = open_datagrams((self._address[0], 0))
                self._clients[client] = one
                self._spawn(self._relay_outward(one, client))
            await self._send(
                self._clients[client], data, self._server, self.switch.inward
            )
            if self.switch.inward is Mode.PASS:
                self.forwarded.append(data)

    async def _relay_outward(self, one, client) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data, _ = await loop.sock_recvfrom(one, CHUNK_BYTES)
            await self._send(self._socket, data, client, self.switch.outward)

    async def _send(self, one, data, address, mode) -> None:
        match mode:
            case Mode.DROP:
                self.dropped += 1
            case Mode.PASS:
                self.passed += 1
                await asyncio.get_running_loop().sock_sendto(
                    one, data, address
                )


def open_datagrams(address) -> socket.socket:
    """Return a bound, non-blocking UDP socket."""
    udp_socket = socket.socket(type=socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.bind(address)
    return udp_socket
