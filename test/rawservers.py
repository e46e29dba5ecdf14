"""Servers that write given raw bytes, and requests to them."""

import contextlib
import select
import socket
import struct
import threading
import time

from sesamejunction.border import targetconnections
from sesamejunction.model import requests
from sesamejunction.platform import serverclient

# Makes close() reset the connection.
RESET = struct.pack('ii', 1, 0)
# No answer here takes long, but on a busy machine a server thread may start
# more than a second late.
LIMIT_S = 9.0
# Longer than any test that uses this server.
SEND_S = 20.0


def make_head(attempt='a', path='/', method='GET', repeatable=True, left_s=5):
    """Return the head of a request; with ``attempt`` None it has no id."""
    headers = () if attempt is None else (('X-Attempt-Id', attempt),)
    return requests.Head(
        'r1', 'orders', method, path, None, None, 'one',
        time.monotonic() + left_s, repeatable, headers,
    )  # fmt: skip


def encode_answer(status, *fields, body=b'', attempt='a'):
    """Return the bytes of an answer with a Content-Length."""
    lines = [f'HTTP/1.1 {status} X']
    if attempt is not None:
        lines.append(f'X-Attempt-Id: {attempt}')
    lines += [*fields, f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


def encode_success(body=b'whole', attempt='a'):
    """Return a success as a correct target sends it."""
    return encode_answer(
        200, 'X-Response-Signature: s', body=body, attempt=attempt
    )


def encode_refusal(status=503, attempt='a'):
    """Return a refusal that says "not run"."""
    return encode_answer(status, 'X-Not-Executed: 1', attempt=attempt)


class RawServer:
    """Serves each connection in a thread of its own.

    ``serve`` is called with the server, the socket and the number of the
    connection, starting at 0.
    """

    def __init__(self, serve):
        self._serve = serve
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._sockets = []
        self._threads = []
        self.port = self._listener.getsockname()[1]
        self.sent = 0
        self.heads = []

    def __enter__(self):
        self._start(self._accept)
        return self

    def __exit__(self, *_exc):
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        for worker in self._threads:
            worker.join(5)

    @property
    def count(self) -> int:
        """Return the number of connections made so far."""
        return len(self._sockets)

    def limit_receive_buffer(self, size) -> None:
        """Set the receive buffer of the connections made from now on."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def read_head(self, sock) -> bytes:
        """Return the next request head; raises OSError when closed."""
        head = b''
        while not head.endswith(b'\r\n\r\n'):
            chunk = sock.recv(1)
            if not chunk:
                raise OSError('closed')
            head += chunk
        self.heads.append(head)
        return head

    def send(self, sock, data) -> None:
        """Send data and count the bytes that the kernel accepted."""
        sock.sendall(data)
        self.sent += len(data)

    def build_client(self):
        """Return the client that a hosted node uses for this server."""
        connections = targetconnections.TargetConnectionPool(
            '127.0.0.1', self.port, connect_s=LIMIT_S
        )
        return serverclient.ServerClient(
            connections, lambda: '', time.monotonic
        )

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            sock.settimeout(SEND_S)
            number = len(self._sockets)
            self._sockets.append(sock)
            self._start(self._serve, self, sock, number)

    def _start(self, function, *arguments) -> None:
        def run():
            with contextlib.suppress(OSError):
                function(*arguments)

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()


def reset(sock) -> None:
    """Reset the connection after the sent data has been read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def is_closed(sock, limit_s=2.0) -> bool:
    """Return whether the other side closes the connection in time."""
    ready, _, _ = select.select([sock], [], [], limit_s)
    if not ready:
        return False
    try:
        return sock.recv(1) == b''
    except OSError:
        return True
