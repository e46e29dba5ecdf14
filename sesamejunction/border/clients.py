"""Counts what the connections of a process hold, and closes the worst."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

from sesamejunction.border import logs
from sesamejunction.decisions import clientbudget
from sesamejunction.model import routing

# A client that takes no byte of its answer for this time is cut.
UNREAD_LIMIT_S = 10.0
# Paused connections are looked at this often while memory is released.
RESUME_INTERVAL_S = 0.05
# Objects of one connection: protocol, parser and transport.
CONNECTION_BYTES = 8 << 10
# Objects of one header line that has arrived, and of one whose head is
# complete; a line of 4 bytes took 90 and 500 bytes.
LINE_BYTES = 128
PARSED_LINE_BYTES = 512
# SO_LINGER of a socket that is reset when it is closed: on, for 0 s.
RESET_LINGER = struct.pack('ii', 1, 0)


class Clients:
    """The clients of one process.

    Each connection has a method ``cut``, which closes it at once.
    ``count_refused`` is called with metric labels for each refusal.
    """

    def __init__(
        self,
        limits: clientbudget.Limits,
        own_host='127.0.0.1',
        find_single_bytes=lambda: 0,
        count_refused=lambda labels: None,
    ):
        self.limits = limits
        self._own_host = own_host
        self._budget = clientbudget.Budget(limits, find_single_bytes)
        self._count_refused = count_refused
        self._connections = {}
        self._paused = set()
        self._resume_timer = None
        self._logger = logs.ThrottledLogger()

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for all connections."""
        return self._budget.held

    @property
    def paused_count(self) -> int:
        """Return the number of connections that are not read for now."""
        return len(self._paused)

    @property
    def connection_count(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    def enter(self, connection, kind, transport) -> clientbudget.Holder:
        """Count a new connection, and close another beyond the limit."""
        peer = transport.get_extra_info('peername')
        address = peer[0] if isinstance(peer, tuple) else ''
        holder = self._budget.add(kind, address, read_time())
        self._connections[holder] = connection
        surplus = self._budget.find_surplus(holder)
        if surplus is not None:
            self._cut(surplus, 'connections')
        self.hold(holder, CONNECTION_BYTES)
        return holder

    def leave(self, holder: clientbudget.Holder) -> None:
        """Release all that is held for a connection that is not cut."""
        if holder not in self._connections:
            return
        self.hold(holder, -holder.held)
        self._connections.pop(holder, None)
        self._paused.discard(holder)
        self._budget.remove(holder)

    def hold(self, holder: clientbudget.Holder, count: int) -> None:
        """Count more or fewer bytes; closes connections beyond the limit."""
        if holder not in self._connections:
            return
        self._budget.hold(holder, count)
        if count <= 0:
            if self._paused and self._resume_timer is None:
                self._resume_timer = asyncio.get_running_loop().call_later(
                    RESUME_INTERVAL_S, self._resume_paused
                )
            return
        while not self._budget.is_calm():
            worst = self._budget.find_heaviest(holder, read_time())
            if worst is None:
                return
            self._cut(worst, 'memory')

    def note_progress(self, holder, is_busy: bool) -> None:
        """Record a complete request, or an answer that was taken whole."""
        holder.since = read_time()
        holder.is_busy = is_busy
        holder.has_asked = True

    def must_pause(self, holder: clientbudget.Holder) -> bool:
        """Return whether to read no further requests of a connection now."""
        if (
            self._budget.is_calm()
            or self._budget.find_step(holder) is clientbudget.Step.CALM
        ):
            self._paused.discard(holder)
            return False
        if holder in self._connections:
            self._paused.add(holder)
        return True

    def must_refuse(self, holder, wanted: int) -> bool:
        """Return whether a request is refused, which wants more bytes."""
        if self._budget.is_calm(wanted):
            return False
        return self._budget.find_step(holder, wanted) in (
            clientbudget.Step.REFUSE,
            clientbudget.Step.CLOSE,
        )

    def record_refusal(self, holder, reason: str, why: str = '') -> None:
        """Count a refusal and write a line, of which few are kept a second."""
        labels = {'reason': reason, 'port': holder.kind.value}
        is_own = holder.address_name == self._own_host
        labels['address'] = 'own' if is_own else 'other'
        self._count_refused(labels)
        self._logger.log_message(
            'caller: client refused',
            **labels,
            client=holder.address_name,
            why=why,
            held=holder.held,
            all_held=self._budget.held,
        )

    def _cut(self, holder, reason) -> None:
        self.record_refusal(holder, reason)
        connection = self._connections.pop(holder)
        self._paused.discard(holder)
        self._budget.remove(holder)
        connection.cut()

    def _resume_paused(self) -> None:
        self._resume_timer = None
        for holder in list(self._paused):
            if self._budget.find_step(holder) is clientbudget.Step.CALM:
                self._paused.discard(holder)
                self._connections[holder].update_reading()


def find_largest_request(limits: routing.Limits) -> int:
    """Return the memory of the largest request within the limits.

    Its head may consist of lines of 4 bytes.
    """
    lines = limits.head_bytes // 4
    return (
        limits.body_bytes
        + lines * PARSED_LINE_BYTES
        + 2 * limits.head_bytes
        + CONNECTION_BYTES
    )


def read_time() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()


def build_clients() -> Clients:
    """Return the counts of a process on the smallest machine."""
    return Clients(
        clientbudget.derive_limits(
            clientbudget.DEFAULT_MEMORY_MB, clientbudget.DEFAULT_DESCRIPTORS
        )
    )


def reset(transport) -> None:
    """Close a connection at once, with what its socket has not sent.

    After an ordinary close the system keeps the send queue until the peer has
    taken it or many attempts have failed.
    """
    sock = transport.get_extra_info('socket')
    # The socket may just have been closed.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    transport.abort()


def count_unsent_bytes(transport) -> int:
    """Return the bytes that wait in this process or in the socket."""
    return transport.get_write_buffer_size() + count_queued_bytes(transport)


def count_queued_bytes(transport) -> int:
    """Return the bytes in the send queue of the socket.

    The system counts what the peer has not acknowledged, as long as the
    socket is open.
    """
    sock = transport.get_extra_info('socket')
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # The socket has just been closed.
        return 0
    return struct.unpack('i', queued)[0]
