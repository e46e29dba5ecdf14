"""The client side of a connection to another node."""

import asyncio
import collections.abc
import itertools

import eliot

from sesamejunction.border import framing
from sesamejunction import errors
from sesamejunction.model import linking
from sesamejunction.model import valueclass
from sesamejunction.tasks import outgoingbody

# If a reply is due and nothing was received for this time, a ping is sent. If
# nothing is received for the same time again, new exchanges use another
# connection.
SILENCE_LIMIT_S = 0.4
# A check that runs later than this was delayed by this node's own event loop.
# It is postponed by the same time, so that data received meanwhile is read.
LATE_CHECK_S = 0.05
# Timers may fire early by up to this time.
TIMER_ERROR_S = 0.002


@valueclass.define
class Pending:
    """The reply that an exchange waits for.

    ``on_silent`` is called when the connection is retired meanwhile.
    """

    future: asyncio.Future
    on_silent: collections.abc.Callable[[], None] | None = None


class Link(framing.FrameProtocol):
    """The client side of a connection; multiplexes request/reply exchanges.

    Silence of the peer does not fail the open exchanges, since on a slow line
    or from a busy peer the reply may still arrive. It only retires the
    connection: new exchanges use another one. ``usage`` measures this
    process, for log lines.
    """

    def __init__(self, usage):
        super().__init__(usage.traffic)
        self._usage = usage
        self._ids = itertools.count(1)
        self._exchanges = {}
        self._received_at = 0.0
        self._check_timer = None
        self._ping_sent = False
        self._is_postponed = False
        self._retired = False
        self._body_senders = {}

    @property
    def is_usable(self) -> bool:
        """Return whether new exchanges may be started."""
        return not self._retired and self.is_open

    @property
    def is_open(self) -> bool:
        """Return whether replies may still arrive."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def buffered(self) -> int:
        """Return the number of bytes in the write buffer."""
        if not self.is_open:
            return 0
        return self.transport.get_write_buffer_size()

    def has_received(self, within_s: float) -> bool:
        """Return whether a frame is being received and not stalled.

        ``within_s`` limits the time since the latest data.
        """
        since = asyncio.get_running_loop().time() - self._received_at
        return self.has_partial_frame and since <= within_s

    def start_exchange(self, on_silent=None) -> tuple[int, asyncio.Future]:
        """Return the id of a new exchange and the future of its reply.

        ``on_silent`` is called if the peer is silent and the connection is
        therefore retired before the reply arrives.
        """
        loop = asyncio.get_running_loop()
        number = next(self._ids)
        future = loop.create_future()
        if not self._exchanges:
            self._record_receipt()
        self._exchanges[number] = Pending(future, on_silent)
        if self._check_timer is None:
            self._schedule_check(self._received_at + SILENCE_LIMIT_S)
        return number, future

    def fail_on_silence(self, number: int) -> None:
        """Fail an exchange at once if the connection is retired."""
        future = self._exchanges[number].future
        self._exchanges[number] = Pending(
            future, lambda: fail_exchange(future)
        )

    def end_exchange(self, number: int) -> None:
        """Remove an exchange; a later reply to it is ignored."""
        self._exchanges.pop(number, None)
        if self._retired and not self._exchanges and self.is_open:
            self.transport.abort()

    def offer_body(self, number: int, sender: outgoingbody.BodySender) -> None:
        """Register the sender that answers requests for parts of a body."""
        self._body_senders[number] = sender

    def withdraw_body(self, number: int) -> None:
        """Unregister the sender of a body and close it."""
        sender = self._body_senders.pop(number, None)
        if sender is not None:
            sender.close()

    def data_received(self, data):
        """Record that the peer is alive, also for part of a long frame."""
        self._record_receipt()
        super().data_received(data)

    def handle_frame(self, frame) -> None:
        """Pass a reply to its exchange, or a part request to its sender."""
        if isinstance(frame, linking.AskPart):
            if frame.id in self._body_senders:
                self._body_senders[frame.id].send_part(frame)
            return
        if not isinstance(frame, linking.REPLIES):
            # Protocol violation: the server side sends only replies.
            self.transport.abort()
            return
        if (
            isinstance(frame, linking.WorkRefused)
            and frame.id == linking.ALL_EXCHANGES
        ):
            self._stop_use()
            return
        pending = self._exchanges.get(frame.id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(frame)
        elif isinstance(frame, linking.AnswerHead):
            # Nobody asks for the parts, so the peer would hold them for 10 s.
            self.send_frame(linking.DropAnswer(0, frame.number))

    def connection_lost(self, exc):
        """Fail all open exchanges."""
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        lost, self._exchanges = self._exchanges, {}
        for exchange in lost.values():
            fail_exchange(exchange.future)

    def _stop_use(self) -> None:
        """Start no new exchanges; close when all replies have arrived."""
        self._retired = True
        if not self._exchanges:
            self.transport.close()

    def _record_receipt(self) -> None:
        self._received_at = asyncio.get_running_loop().time()
        self._ping_sent = False

    def _schedule_check(self, due: float) -> None:
        """Schedule the next check; ``due`` is a time of the loop's clock."""
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_at(due, self._check_silence, due)

    def _check_silence(self, due: float) -> None:
        """Check whether the peer is silent while replies are due."""
        self._check_timer = None
        if not self._exchanges or not self.is_open:
            return
        now = asyncio.get_running_loop().time()
        if now - due >= LATE_CHECK_S and not self._is_postponed:
            self._is_postponed = True
            self._schedule_check(now + LATE_CHECK_S)
            return
        self._is_postponed = False
        if now + TIMER_ERROR_S < self._received_at + SILENCE_LIMIT_S:
            self._schedule_check(self._received_at + SILENCE_LIMIT_S)
            return
        if self._ping_sent and not self._retired:
            self._retire(now - self._received_at)
        self._ping_sent = True
        # If the ping is not acknowledged, the TCP user timeout also closes the
        # connection.
        self.send_frame(linking.Ping(0))
        self._schedule_check(now + SILENCE_LIMIT_S)

    def _retire(self, silent_s) -> None:
        """Start no new exchanges; notify the open ones, which continue."""
        self._retired = True
        eliot.log_message(
            'peer: connection retired',
            silent_s=round(silent_s, 2),
            exchanges=len(self._exchanges),
            buffered=self.buffered,
            **self._usage.describe(),
        )
        for exchange in list(self._exchanges.values()):
            if exchange.on_silent is not None:
                exchange.on_silent()


def fail_exchange(future: asyncio.Future) -> None:
    """Fail an exchange whose connection was lost."""
    if not future.done():
        future.set_exception(
            errors.PeerConnectionLost('the connection to a peer was lost')
        )
