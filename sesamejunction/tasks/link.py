"""The connecting side of one connection to another node."""

import asyncio
import collections.abc
import dataclasses
import itertools

import eliot

from sesamejunction.border import framing
from sesamejunction import errors
from sesamejunction.model import linking
from sesamejunction.tasks import outgoingbody

# A connection that owes a reply and has been silent for this time is asked
# for a sign of life. When none comes in the same time again, new exchanges use
# another connection.
SILENCE_LIMIT_S = 0.4
# A look that is later than this was delayed by this node's own loop. What the
# peer sent meanwhile is read before the next look, after the same time.
LATE_S = 0.05
# Timers fire up to this much early.
TICK_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A reply that is due; ``on_silent`` hears that its peer is silent."""

    future: asyncio.Future
    on_silent: collections.abc.Callable[[], None] | None = None


class Link(framing.FrameProtocol):
    """The connecting side of one connection.

    Silence ends no exchange: a late line or a busy peer may still bring the
    reply. It retires the connection, so that new exchanges use another.
    ``vitals`` says how this node itself fares.
    """

    def __init__(self, vitals):
        super().__init__(vitals.traffic)
        self._usage = vitals
        self._ids = itertools.count(1)
        self._open = {}
        self._heard_at = 0.0
        self._watch = None
        self._is_asked = False
        self._is_put_off = False
        self._retired = False
        self._offered = {}

    @property
    def is_usable(self) -> bool:
        """Return whether new exchanges may start."""
        return not self._retired and self.is_open

    @property
    def is_open(self) -> bool:
        """Return whether replies may still come."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def buffered(self) -> int:
        """Return the bytes that wait for the peer or the line."""
        if not self.is_open:
            return 0
        return self.transport.get_write_buffer_size()

    def has_received(self, within_s: float) -> bool:
        """Return whether a part of a frame came within the last seconds."""
        since = asyncio.get_running_loop().time() - self._heard_at
        return self.has_partial_frame and since <= within_s

    def start_exchange(self, on_silent=None) -> tuple[int, asyncio.Future]:
        """Return the id of a new exchange and the future of its reply.

        ``on_silent`` is called when the connection is retired meanwhile.
        """
        loop = asyncio.get_running_loop()
        number = next(self._ids)
        future = loop.create_future()
        if not self._open:
            self._note_heard()
        self._open[number] = Pending(future, on_silent)
        if self._watch is None:
            self._look_at(self._heard_at + SILENCE_LIMIT_S)
        return number, future

    def end_exchange(self, number: int) -> None:
        """Forget an exchange; its reply will be dropped."""
        self._open.pop(number, None)
        if self._retired and not self._open and self.is_open:
            self.transport.abort()

    def offer_body(self, number: int, sender: outgoingbody.BodySender) -> None:
        """Let a sender take the requests for parts of an exchange's body."""
        self._offered[number] = sender

    def withdraw_body(self, number: int) -> None:
        """Send no more parts of a body."""
        sender = self._offered.pop(number, None)
        if sender is not None:
            sender.close()

    def data_received(self, data):
        """Note a sign of life; part of a long frame is one as well."""
        self._note_heard()
        super().data_received(data)

    def handle_frame(self, frame) -> None:
        """Give a reply to the exchange that waits for it."""
        if isinstance(frame, linking.AskPart):
            if frame.id in self._offered:
                self._offered[frame.id].send_part(frame)
            return
        if not isinstance(frame, linking.REPLIES):
            # The accepting side sends replies only.
            self.transport.abort()
            return
        if (
            isinstance(frame, linking.WorkRefused)
            and frame.id == linking.ALL_EXCHANGES
        ):
            self._end_use()
            return
        found = self._open.get(frame.id)
        if found is not None and not found.future.done():
            found.future.set_result(frame)

    def connection_lost(self, exc):
        """Fail all exchanges."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        lost, self._open = self._open, {}
        for one in lost.values():
            fail_exchange(one.future)

    def _end_use(self) -> None:
        """Start nothing new; close once all replies are here."""
        self._retired = True
        if not self._open:
            self.transport.close()

    def _note_heard(self) -> None:
        self._heard_at = asyncio.get_running_loop().time()
        self._is_asked = False

    def _look_at(self, due: float) -> None:
        """Set the connection's one timer; ``due`` is on the loop's clock."""
        loop = asyncio.get_running_loop()
        self._watch = loop.call_at(due, self._look, due)

    def _look(self, due: float) -> None:
        """Find out whether a connection that owes replies still works."""
        self._watch = None
        if not self._open or not self.is_open:
            return
        now = asyncio.get_running_loop().time()
        if now - due >= LATE_S and not self._is_put_off:
            self._is_put_off = True
            self._look_at(now + LATE_S)
            return
        self._is_put_off = False
        if now + TICK_S < self._heard_at + SILENCE_LIMIT_S:
            self._look_at(self._heard_at + SILENCE_LIMIT_S)
            return
        if self._is_asked and not self._retired:
            self._retire(now - self._heard_at)
        self._is_asked = True
        # A ping that is never acknowledged also ends the connection, by the
        # TCP user timeout.
        self.send_frame(linking.Ping(0))
        self._look_at(now + SILENCE_LIMIT_S)

    def _retire(self, silent_s) -> None:
        """Start nothing new here; open exchanges go on and are told."""
        self._retired = True
        eliot.log_message(
            'peer: connection retired',
            silent_s=round(silent_s, 2),
            exchanges=len(self._open),
            buffered=self.buffered,
            **self._usage.describe(),
        )
        for one in list(self._open.values()):
            if one.on_silent is not None:
                one.on_silent()


def fail_exchange(future: asyncio.Future) -> None:
    """Tell an exchange that its reply will not come."""
    if not future.done():
        future.set_exception(
            errors.PeerConnectionLost('the connection to a peer was lost')
        )
