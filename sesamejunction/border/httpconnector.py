"""Connections of the HTTP client that validate what they receive."""

import contextlib
import functools
import select

import aiohttp
from aiohttp import client_proto

from sesamejunction.border import responselimits
from sesamejunction.border import streamends

# Bytes of bodies and of heads that are parsed in one turn of the event loop,
# so that other tasks are not delayed. A read returns up to 256 KB. Parsing
# tiny chunks takes about 1 ms for 5 KB; heads take longer: 16 KB of small
# answers took 18 ms.
TURN_BYTES = 1 << 13
HEAD_TURN_BYTES = 1 << 12
FINAL_STATUS = 200
# No other protocol is ever asked for.
SWITCHING_PROTOCOLS = 101


class CheckedResponseHandler(client_proto.ResponseHandler):
    """Accepts one answer per request and closes on unexpected bytes.

    aiohttp would queue an unsolicited answer and return it for the next
    request, and does not limit interim answers or chunk headers.
    """

    def __init__(self, loop):
        super().__init__(loop=loop)
        self._answered = True
        self._interim_count = 0
        self._received_bytes = 0
        self._unparsed = b''
        self._was_reset = False
        self._unread_poll = select.poll()

    def connection_made(self, transport):
        """Watch the socket for unread bytes."""
        super().connection_made(transport)
        self._unread_poll.register(
            transport.get_extra_info('socket').fileno(),
            select.POLLIN | select.POLLRDHUP,
        )

    def set_response_params(self, **params):
        """Reset the state for a new exchange."""
        self._answered = False
        self._interim_count = self._received_bytes = 0
        super().set_response_params(**params)

    @property
    def _is_idle(self) -> bool:
        return self._answered and (
            self._payload is None or self._payload.is_eof()
        )

    @property
    def should_close(self) -> bool:
        """Return whether the connection must not be reused."""
        return bool(self._unparsed) or super().should_close

    def is_connected(self) -> bool:
        """Return whether a request may be sent.

        Unread bytes or an unread close on an idle connection belong to no
        request and must not be taken for an answer to the next one.
        """
        return super().is_connected() and not (
            self._is_idle and (self._unparsed or self._unread_poll.poll(0))
        )

    def data_received(self, data):
        """Parse a limited part and leave the others to later turns."""
        if not data:
            # aiohttp calls this without data to continue after a pause.
            super().data_received(data)
        elif self._unparsed:
            self._unparsed += data
        else:
            self._parse_limited(data)

    def _parse_limited(self, data) -> None:
        size = TURN_BYTES if self._answered else HEAD_TURN_BYTES
        piece, self._unparsed = data[:size], data[size:]
        self._parse(piece)
        if self._unparsed and self.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.transport.pause_reading()
            self._loop.call_soon(self._continue_parsing)

    def _continue_parsing(self) -> None:
        if self._unparsed:
            self._parse_limited(self._unparsed)
        if self._unparsed or self.transport is None:
            return
        if not (self._reading_paused or self._buffer_paused):
            with contextlib.suppress(RuntimeError):
                self.transport.resume_reading()

    def resume_reading(self, resume_parser=True):
        """Resume reading unless received bytes still wait to be parsed."""
        super().resume_reading(resume_parser)
        if self._unparsed and self.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.transport.pause_reading()

    def _parse(self, piece) -> None:
        """Parse bytes; closes the connection if no request awaits them."""
        if self._is_idle:
            self._close_now()
            return
        self._received_bytes += len(piece)
        super().data_received(piece)
        self._check_framing()

    def _check_framing(self) -> None:
        if self._reading_paused or self._buffer_paused:
            # Bytes of the body may wait in the parser.
            return
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if (
            self._received_bytes - body_bytes
            > responselimits.MAX_FRAMING_BYTES + body_bytes
        ):
            self._close_now()

    def feed_data(self, item, size=0):
        """Handle the head of an answer; a second one closes the connection."""
        message, _ = item
        if self._answered:
            self.force_close()
            return
        if (
            message.code not in responselimits.STATUSES
            or message.code == SWITCHING_PROTOCOLS
        ):
            # The waiting request fails with the connection.
            self._close_now()
            return
        if message.code >= FINAL_STATUS:
            self._answered = True
        else:
            self._interim_count += 1
            if self._interim_count > responselimits.MAX_INTERIM_ANSWERS:
                self._close_now()
        super().feed_data(item, size)

    def eof_received(self):
        """Record whether the end of the stream hides a reset."""
        super().eof_received()
        transport = self.transport
        self._was_reset = transport is None or not streamends.is_orderly(
            transport
        )

    def connection_lost(self, exc):
        """Fail the running exchange.

        A reset does not complete a body that ends by a close.
        """
        if exc is None and self._was_reset:
            exc = ConnectionResetError('the connection was reset')
        unparsed, self._unparsed = self._unparsed, b''
        if unparsed and exc is None:
            # An orderly close follows the bytes that still wait to be parsed.
            self._parse(unparsed)
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError('the connection was reset')
            )
        super().connection_lost(exc)

    def _close_now(self) -> None:
        self._unparsed = b''
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class CheckedConnector(aiohttp.TCPConnector):
    """Connector whose connections validate what they receive."""

    def __init__(self, **options):
        super().__init__(**options)
        # aiohttp has no other way to set the protocol class.
        self._factory = functools.partial(
            CheckedResponseHandler, loop=self._loop
        )
