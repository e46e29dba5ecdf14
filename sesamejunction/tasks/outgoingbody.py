"""Large request bodies, sent to other nodes in parts on request."""

import asyncio

from sesamejunction import errors
from sesamejunction.model import linking


class BodySender:
    """Sends the parts of one body over the connection for large bodies.

    ``connect`` returns that connection or raises PeerUnavailable. ``reply``
    is the future of the request's reply; it fails with PeerUnavailable if a
    part cannot be sent.
    """

    def __init__(self, body: bytes, reply: asyncio.Future, connect):
        self._body = body
        self._reply = reply
        self._connect = connect
        self._link = None
        self._sending = None
        self._exchange_number = None
        self.sent_whole = False

    def send_part(self, part: linking.AskPart) -> None:
        """Send the requested part."""
        if self._link is None:
            self._sending = asyncio.ensure_future(self._send_first(part))
        else:
            self._send(part)

    def close(self) -> None:
        """Stop sending and end the exchange on the connection for bodies."""
        if self._sending is not None:
            self._sending.cancel()
        if self._exchange_number is not None:
            self._link.end_exchange(self._exchange_number)

    async def _send_first(self, part) -> None:
        try:
            self._link = await self._connect()
        except errors.PeerUnavailable as error:
            self._fail_request(error)
            return
        # The connection detects silence only while an exchange is open.
        self._exchange_number, exchange_reply = self._link.start_exchange(
            self._on_silent
        )
        exchange_reply.add_done_callback(self._on_lost)
        self._send(part)

    def _send(self, part) -> None:
        ends = part.start + part.size
        if not self._link.is_usable:
            self._fail_request(
                errors.PeerUnavailable('the connection was lost')
            )
            return
        if ends >= len(self._body):
            self.sent_whole = True
        self._link.send_frame(
            linking.BodyPart(part.turn, self._body[part.start : ends])
        )

    def _on_silent(self) -> None:
        # The request cannot have run before the whole body was sent, so it
        # may be sent to another node.
        if not self.sent_whole:
            self._fail_request(
                errors.PeerUnavailable('the connection is silent')
            )

    def _on_lost(self, exchange_reply) -> None:
        if exchange_reply.cancelled() or exchange_reply.exception() is None:
            return
        if not self.sent_whole:
            self._fail_request(
                errors.PeerUnavailable(str(exchange_reply.exception()))
            )

    def _fail_request(self, error) -> None:
        """Fail the request as not run: the body is incomplete."""
        if not self._reply.done():
            self._reply.set_exception(error)
