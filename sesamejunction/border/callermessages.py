"""Requests of callers and the answers to them."""

import asyncio
import dataclasses
import http

import eliot
import multidict

from sesamejunction import errors
from sesamejunction.model import valueclass

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Statuses that a caller may get; interim answers are not passed on.
STATUSES = range(200, 600)
BODILESS_STATUSES = frozenset((204, 304))
PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@valueclass.define
class CallerReply:
    """An answer to a caller; lengths and connection fields are added.

    ``rank`` and ``deadline`` order the parts of large replies on the line.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    rank: int = 0
    deadline: float = float('inf')


RETRY_AFTER_S = 0.2
BUSY_REPLY = CallerReply(
    503,
    (('Retry-After', f'{RETRY_AFTER_S:.3f}'),),
    b'the node is busy; nothing has run\n',
)
ODD_REPLY = CallerReply(502, (), b'the answer has no valid status\n')


class CallerRequest:
    """A request whose head has arrived.

    ``headers`` maps names, in any case, to values; ``raw_headers`` has the
    fields as they were sent. ``arrived_at`` is the time of the head.
    """

    def __init__(self, method, raw_path, raw_headers, arrived_at):
        self.method = method
        self.raw_path = raw_path
        self.raw_headers = raw_headers
        self.headers = multidict.CIMultiDict(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in raw_headers
        )
        self.arrived_at = arrived_at
        self.content_length = None
        self.is_complete = False
        # Called when the body is wanted, to ask the caller for it.
        self.on_body_wanted = None
        # One buffer, since a list of parts takes many times the size of a
        # body that arrives byte by byte.
        self._body = bytearray()
        self.buffered_bytes = 0
        self._limit = None
        self._is_dropped = False
        self._failure = None
        self._arrived = None

    @property
    def body_exists(self) -> bool:
        """Return whether the head announces a body."""
        return self.content_length != 0

    @property
    def bytes_left(self) -> float:
        """Return how many bytes of the body are still to come."""
        if self.is_complete:
            return 0
        if self.content_length is None:
            return float('inf')
        return self.content_length - self.buffered_bytes

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body, which is then no longer kept here.

        Raises UploadTooLarge beyond ``limit`` bytes, and UploadAborted if the
        caller sends something that is no body.
        """
        self._limit = limit
        if not self.is_complete and self.buffered_bytes <= limit:
            self._arrived = asyncio.get_running_loop().create_future()
            if self.on_body_wanted is not None:
                self.on_body_wanted()
            if self._failure is None:
                await self._arrived
        if self._failure is not None:
            raise errors.UploadAborted(self._failure)
        if self.buffered_bytes > limit:
            raise errors.UploadTooLarge(
                f'the body has more than {limit} bytes; send less'
            )
        body, self._body = bytes(self._body), bytearray()
        return body

    def add_data(self, data: bytes) -> int:
        """Take a part of the body; return how many bytes of it are kept."""
        self.buffered_bytes += len(data)
        if self._is_dropped:
            return 0
        self._body += data
        if self._limit is not None and self.buffered_bytes > self._limit:
            self._release()
        return len(data)

    def complete(self) -> None:
        """Record that the body has ended."""
        self.is_complete = True
        self._release()

    def fail(self, reason: str) -> None:
        """Record why the rest of the body cannot be read."""
        self._failure = reason
        self._release()

    def drop(self) -> None:
        """Keep neither the head nor the body, which are no longer needed.

        The callback refers to the request, and would keep it until a
        collection of reference cycles.
        """
        self._is_dropped = True
        self._body = bytearray()
        self.raw_headers = ()
        self.headers = multidict.CIMultiDict()
        self.on_body_wanted = None

    def _release(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with its handler's task, and its reply once there is one.

    ``held`` is the memory that is counted for it, in bytes.
    """

    request: CallerRequest
    is_http_11: bool
    keeps_alive: bool
    # The caller sends the body only when asked for it.
    awaits_continue: bool = False
    is_body_wanted: bool = False
    task: asyncio.Task | None = None
    reply: CallerReply | None = None
    held: int = 0


def check_status(reply: CallerReply) -> CallerReply:
    """Return the reply, or 502 if its status is none."""
    if reply.status in STATUSES:
        return reply
    eliot.log_message('caller: odd status', status=reply.status)
    return ODD_REPLY


def encode_reply_head(
    reply: CallerReply, closes: bool, is_http_10: bool = False
) -> bytes:
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {reply.status} {PHRASES.get(reply.status, "")}']
    has_type = False
    for name, value in reply.headers:
        has_type = has_type or name.lower() == 'content-type'
        lines.append(f'{name}: {value}')
    if reply.status not in BODILESS_STATUSES:
        if reply.body and not has_type:
            lines.append('Content-Type: application/octet-stream')
        lines.append(f'Content-Length: {len(reply.body)}')
    if closes:
        lines.append('Connection: close')
    elif is_http_10:
        lines.append('Connection: keep-alive')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
