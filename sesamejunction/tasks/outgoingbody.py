"""Large bodies on their way to other nodes, sent as they are asked for."""

import asyncio

from sesamejunction import errors
from sesamejunction.model import linking


class BodySender:
    """Sends the parts of one body over the connection for large bodies.

    ``connect`` returns that connection or raises PeerUnavailable; ``reply``
    is the future of the request, which fails with PeerUnavailable when a
    part cannot be sent.
    """

    def __init__(self, body: bytes, reply: asyncio.Future, connect):
        self._body = body
        self._reply = reply
        self._connect = connect
        self._link = None
        self._sending = None
        self._watch = None
        self.sent_whole = False

    def send_part(self, asked: linking.AskPart) -> None:
        """Send the bytes that were asked for."""
        if self._link is None:
            self._sending = asyncio.ensure_future(self._send_first(asked))
        else:
            self._send(asked)

    def close(self) -> None:
        """Send nothing more."""
        if self._sending is not None:
            self._sending.cancel()
        if self._watch is not None:
            self._link.end_exchange(self._watch)

    async def _send_first(self, asked) -> None:
        try:
            self._link = await self._connect()
        except errors.PeerUnavailable as error:
            self._fail(error)
            return
        # An open exchange lets the connection find out that it is silent.
        self._watch, watched = self._link.start_exchange(self._note_silent)
        watched.add_done_callback(self._note_lost)
        self._send(asked)

    def _send(self, asked) -> None:
        ends = asked.start + asked.size
        if not self._link.is_usable:
            self._fail(errors.PeerUnavailable('the connection was lost'))
            return
        if ends >= len(self._body):
            self.sent_whole = True
        self._link.send_frame(
            linking.BodyPart(asked.turn, self._body[asked.start : ends])
        )

    def _note_silent(self) -> None:
        # Without the rest of the body no answer is due, and the request has
        # surely not run, so it may be sent elsewhere.
        if not self.sent_whole:
            self._fail(errors.PeerUnavailable('the connection is silent'))

    def _note_lost(self, watched) -> None:
        if watched.cancelled() or watched.exception() is None:
            return
        if not self.sent_whole:
            self._fail(errors.PeerUnavailable(str(watched.exception())))

    def _fail(self, error) -> None:
        """End the request; nothing ran, since a part is missing."""
        if not self._reply.done():
            self._reply.set_exception(error)
