"""Connections of the HTTP client that check what they are sent."""

import contextlib
import functools
import select

import aiohttp
from aiohttp import client_proto

from sesamejunction.border import responselimits

# Parsed in one turn of the loop. A read is up to 256 KB, and tiny chunks take
# about 1 ms for 5 KB. Heads take more: 16 KB of small answers took 18 ms.
TURN_BYTES = 1 << 13
HEAD_TURN_BYTES = 1 << 12
FINAL_STATUS = 200


class AnswerHandler(client_proto.ResponseHandler):
    """Gives one answer to each request, and ends at bytes that are none.

    aiohttp would queue an answer that nobody asked for and give it to the
    next request, and has no bound on interim answers or chunk lines.
    """

    def __init__(self, loop):
        super().__init__(loop=loop)
        self._answered = True
        self._interim = 0
        self._received = 0
        self._rest = b''
        self._unread = select.poll()

    def connection_made(self, transport):
        """Watch the socket for bytes that were not read yet."""
        super().connection_made(transport)
        self._unread.register(
            transport.get_extra_info('socket').fileno(),
            select.POLLIN | select.POLLRDHUP,
        )

    def set_response_params(self, **params):
        """Begin an exchange."""
        self._answered = False
        self._interim = self._received = 0
        super().set_response_params(**params)

    @property
    def _is_idle(self) -> bool:
        return self._answered and (
            self._payload is None or self._payload.is_eof()
        )

    @property
    def should_close(self) -> bool:
        """Return whether no other request may be sent."""
        return bool(self._rest) or super().should_close

    def is_connected(self) -> bool:
        """Return whether a request may be sent.

        Bytes or a close that wait unread on an idle connection belong to no
        request, and the next one must not meet them.
        """
        return super().is_connected() and not (
            self._is_idle and (self._rest or self._unread.poll(0))
        )

    def data_received(self, data):
        """Parse a part; the rest waits until others had their turn."""
        if not data:
            # aiohttp asks itself to go on after a pause.
            super().data_received(data)
        elif self._rest:
            self._rest += data
        else:
            self._take(data)

    def _take(self, data) -> None:
        size = TURN_BYTES if self._answered else HEAD_TURN_BYTES
        piece, self._rest = data[:size], data[size:]
        self._parse(piece)
        if self._rest and self.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.transport.pause_reading()
            self._loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        if self._rest:
            self._take(self._rest)
        if self._rest or self.transport is None:
            return
        if not (self._reading_paused or self._buffer_paused):
            with contextlib.suppress(RuntimeError):
                self.transport.resume_reading()

    def resume_reading(self, resume_parser=True):
        """Read on, unless bytes still wait for their turn."""
        super().resume_reading(resume_parser)
        if self._rest and self.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.transport.pause_reading()

    def _parse(self, piece) -> None:
        """Parse; bytes without a request end the connection."""
        if self._is_idle:
            self._end()
            return
        self._received += len(piece)
        super().data_received(piece)
        self._check_framing()

    def _check_framing(self) -> None:
        if self._reading_paused or self._buffer_paused:
            # Bytes of the body may wait in the parser.
            return
        body = 0 if self._payload is None else self._payload.total_bytes
        if self._received - body > responselimits.MAX_FRAMING_BYTES + body:
            self._end()

    def feed_data(self, item, size=0):
        """Take an answer's head; a second answer ends the connection."""
        message, _ = item
        if self._answered:
            self.force_close()
            return
        if message.code >= FINAL_STATUS:
            self._answered = True
        else:
            self._interim += 1
            if self._interim > responselimits.MAX_INTERIM_ANSWERS:
                self._end()
        super().feed_data(item, size)

    def connection_lost(self, exc):
        """Fail the exchange; a reset never ends a body without length."""
        rest, self._rest = self._rest, b''
        if rest and exc is None:
            # An orderly close comes after what waited for its turn.
            self._parse(rest)
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('the connection was reset')
            )
        super().connection_lost(exc)

    def _end(self) -> None:
        self._rest = b''
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Makes connections that check what they are sent."""

    def __init__(self, **options):
        super().__init__(**options)
        # The only place where aiohttp takes another protocol.
        self._factory = functools.partial(AnswerHandler, loop=self._loop)
