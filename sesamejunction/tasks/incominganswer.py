"""Fetches a large answer that another node holds, part by part."""

import asyncio
import contextlib
import weakref

from sesamejunction.decisions import linebudget
from sesamejunction import errors
from sesamejunction.model import linking

# Parts asked of one node at a time. With one, its line is idle until the next
# is asked for.
MAX_PARTS_OF_PEER = 2
# Parts asked of all nodes at a time. If all arrive together, small frames wait
# 0.16 s behind them at 10 Mbit/s. A node whose line is full delays its own.
MAX_PARTS = 6
# Attempts for a part, each on a new connection after the first.
MAX_TRIES = 3
# The largest answer that a node takes from its target.
MAX_ANSWER_BYTES = 1 << 24


class PartTurns:
    """Limits the parts that a node has asked for."""

    def __init__(self):
        self._all = asyncio.Semaphore(MAX_PARTS)
        self._by_peer = weakref.WeakValueDictionary()

    @contextlib.asynccontextmanager
    async def take(self, peer: int):
        """Wait for a turn to ask the node with this incarnation."""
        turns = self._by_peer.get(peer)
        if turns is None:
            turns = asyncio.Semaphore(MAX_PARTS_OF_PEER)
            self._by_peer[peer] = turns
        async with turns, self._all:
            yield


class AnswerFetcher:
    """Fetches one answer.

    ``connect`` returns the connection for large bodies to the node ``peer``
    or raises PeerUnavailable.
    """

    def __init__(self, frame: linking.AnswerHead, peer: int, turns, connect):
        self._frame = frame
        self._peer = peer
        self._turns = turns
        self._connect = connect
        self._link = None
        # An exchange that stays open keeps a retired connection usable.
        self._open_exchange = None

    async def fetch(self) -> bytearray:
        """Return the whole body.

        Raises PeerConnectionLost without it, since the request has run.
        """
        size = self._frame.size
        if not 0 < size <= MAX_ANSWER_BYTES:
            raise errors.PeerConnectionLost('an answer of an unusable size')
        body = bytearray(size)
        starts = iter(range(0, size, linebudget.PART_BYTES))
        workers = [
            asyncio.ensure_future(self._fetch_parts(starts, body))
            for _ in range(MAX_PARTS_OF_PEER)
        ]
        try:
            await asyncio.gather(*workers)
        finally:
            for worker in workers:
                worker.cancel()
            self._end()
        return body

    async def _fetch_parts(self, starts, body) -> None:
        for start in starts:
            size = min(linebudget.PART_BYTES, len(body) - start)
            body[start : start + size] = await self._fetch_part(start, size)

    async def _fetch_part(self, start, size) -> bytes:
        reason = ''
        for _ in range(MAX_TRIES):
            try:
                async with self._turns.take(self._peer):
                    data = await self._ask(start, size)
            except errors.PeerUnavailable as error:
                reason = str(error)
                continue
            if len(data) != size:
                raise errors.PeerConnectionLost(
                    'a peer does not hold the answer any more'
                )
            return data
        raise errors.PeerConnectionLost(
            f'an answer broke off ({reason}); it has run'
        )

    async def _ask(self, start, size) -> bytes:
        link = await self._open()
        number, reply = link.start_exchange()
        link.fail_on_silence(number)
        link.send_frame(
            linking.AskAnswerPart(number, self._frame.number, start, size)
        )
        try:
            frame = await reply
        except errors.PeerUnavailable:
            if self._link is link:
                self._close_link()
            raise
        finally:
            link.end_exchange(number)
        if not isinstance(frame, linking.AnswerPart):
            raise errors.PeerConnectionLost('a peer answered something else')
        return frame.data

    async def _open(self):
        """Return the connection, also one that takes no new requests.

        A stopping node ends its use, but still sends the rest of an answer.
        """
        if self._link is not None and self._link.is_open:
            return self._link
        link = await self._connect()
        if self._link is not None and self._link.is_open:
            # The other part has opened it meanwhile.
            return self._link
        self._link = link
        self._open_exchange, reply = link.start_exchange()
        reply.add_done_callback(discard)
        return link

    def _close_link(self) -> None:
        link, self._link = self._link, None
        link.end_exchange(self._open_exchange)

    def _end(self) -> None:
        """Tell the node to forget the answer."""
        if self._link is not None:
            self._link.send_frame(linking.DropAnswer(0, self._frame.number))
            self._close_link()


def discard(reply: asyncio.Future) -> None:
    """Retrieve an unused result, so that asyncio does not log it."""
    if not reply.cancelled():
        reply.exception()
