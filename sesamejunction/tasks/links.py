"""Connections to other nodes, one or two a member, kept open."""

import asyncio
import collections.abc
import dataclasses
import itertools

import eliot

from sesamejunction.border import framing
from sesamejunction.border import linkcodec
from sesamejunction.border import logs
from sesamejunction.commands import wholes
from sesamejunction import errors
from sesamejunction.model import linking
from sesamejunction.model import requests
from sesamejunction.tasks import clock
from sesamejunction.tasks import connector
from sesamejunction.tasks import outgoing

# A request waits so long for a connection; then the member counts as
# unreachable for it and nothing has run.
CONNECT_S = 0.5
# The connection is tried for so long, for all requests that wait or come
# meanwhile. On a line that answers after more than CONNECT_S, none would ever
# be made if each request began anew. The operating system repeats a SYN after
# 1 s.
OPEN_S = 2.0
# A connection that owes a reply and has been silent for this time is asked
# for a sign of life. When none comes in the same time again, new exchanges use
# another connection.
SILENT_S = 0.4
# A look that is later than this was delayed by this node's own loop. What the
# peer sent meanwhile is read before the next look, after the same time.
LATE_S = 0.05
# Timers fire up to this much early.
TICK_S = 0.002
# Longest wait for the answer to a question of a task.
ASK_S = 1.2
# Bodies from this size are offered first and use a connection of their own,
# so that they do not hold up small frames on a slow line.
BULK_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Awaited:
    """A reply that is due; ``tell_silent`` hears that the peer is silent."""

    future: asyncio.Future
    tell_silent: collections.abc.Callable[[], None] | None = None


class Link(framing.FrameProtocol):
    """The connecting side of one connection.

    Silence ends no exchange: a late line or a busy peer may still bring the
    reply. It retires the connection, so that new exchanges use another.
    ``vitals`` says how this node itself fares.
    """

    def __init__(self, vitals):
        super().__init__(vitals.traffic)
        self._vitals = vitals
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

    def start_exchange(self, tell_silent=None) -> tuple[int, asyncio.Future]:
        """Return the id of a new exchange and the future of its reply.

        ``tell_silent`` is called when the connection is retired meanwhile.
        """
        loop = asyncio.get_running_loop()
        number = next(self._ids)
        future = loop.create_future()
        if not self._open:
            self._note_heard()
        self._open[number] = Awaited(future, tell_silent)
        if self._watch is None:
            self._look_at(self._heard_at + SILENT_S)
        return number, future

    def end_exchange(self, number: int) -> None:
        """Forget an exchange; its reply will be dropped."""
        self._open.pop(number, None)
        if self._retired and not self._open and self.is_open:
            self.transport.abort()

    def offer_body(self, number: int, sender: outgoing.BodySender) -> None:
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

    def take_frame(self, frame) -> None:
        """Give a reply to the exchange that waits for it."""
        if isinstance(frame, linking.AskPart):
            if frame.id in self._offered:
                self._offered[frame.id].send_part(frame)
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
        if now + TICK_S < self._heard_at + SILENT_S:
            self._look_at(self._heard_at + SILENT_S)
            return
        if self._is_asked and not self._retired:
            self._retire(now - self._heard_at)
        self._is_asked = True
        # A ping that is never acknowledged also ends the connection, by the
        # TCP user timeout.
        self.send_frame(linking.Ping(0))
        self._look_at(now + SILENT_S)

    def _retire(self, silent_s) -> None:
        """Start nothing new here; open exchanges go on and are told."""
        self._retired = True
        eliot.log_message(
            'peer: connection retired',
            silent_s=round(silent_s, 2),
            exchanges=len(self._open),
            buffered=self.buffered,
            **self._vitals.describe(),
        )
        for one in list(self._open.values()):
            if one.tell_silent is not None:
                one.tell_silent()


def fail_exchange(future: asyncio.Future) -> None:
    """Tell an exchange that its reply will not come."""
    if not future.done():
        future.set_exception(
            errors.PeerLost('the connection to a peer was lost')
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request on a connection: its id there, its reply and its head."""

    link: Link
    number: int
    reply: asyncio.Future
    head: requests.Head


async def finish_exchange(exchange: Exchange):
    """Return the reply to a request; raises PeerLost without one."""
    link, number = exchange.link, exchange.number
    left_s = exchange.head.deadline - clock.read_boot_clock()
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            return await exchange.reply
    except TimeoutError as error:
        link.send_frame(linking.Cancel(number))
        raise errors.PeerLost(
            'no answer within the deadline; it may have run'
        ) from error
    except asyncio.CancelledError:
        link.send_frame(linking.Cancel(number))
        raise
    finally:
        link.end_exchange(number)


class Links:
    """Sends work and questions to other members.

    ``serve`` handles work for this node itself, without a connection.
    """

    def __init__(self, incarnation: int, host: str, metrics, vitals):
        self._metrics = metrics
        self._vitals = vitals
        self._incarnation = incarnation
        self._host = host
        self._links = {}
        # Connections that were replaced and still owe replies.
        self._replaced = set()
        self._lines = logs.LineLimit()
        self._connecting = {}
        self.secret = b''
        self.host_request = None
        self.local = None

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        for making in list(self._connecting.values()):
            making.cancel()
        for link in (*self._links.values(), *self._replaced):
            if link.transport is not None:
                link.transport.abort()

    async def send(
        self,
        candidate: requests.Candidate,
        head: requests.Head,
        upload,
        tell_silent=None,
    ) -> requests.Answer | requests.Refusal:
        """Run a request at a member's target.

        ``tell_silent`` is called when the connection is silent; the reply
        is waited for nevertheless, until the deadline. Raises
        PeerUnavailable when nothing was sent and PeerLost when the reply is
        missing.
        """
        try:
            return await self._send(candidate, head, upload, tell_silent)
        except errors.PeerUnavailable as error:
            self._lines.log_message(
                'peer: attempt failed',
                request=head.request_id,
                member=candidate.member.name,
                service=head.service,
                left_s=round(head.deadline - clock.read_boot_clock(), 3),
                reason=str(error),
                connecting=len(self._connecting),
                buffered=sum(one.buffered for one in self._links.values()),
                **self._vitals.describe(),
            )
            raise

    async def _send(self, candidate, head, upload, tell_silent):
        body = await wholes.read_upload(upload)
        member = candidate.member
        if member.incarnation == self._incarnation:
            return await self.host_request(head, body)
        now = clock.read_boot_clock()
        link = await self._connect(member, False, head.deadline - now)
        exchange = Exchange(link, *link.start_exchange(tell_silent), head)
        if len(body) < BULK_BYTES:
            link.send_frame(
                linkcodec.encode_work(exchange.number, head, body, now)
            )
            frame = await finish_exchange(exchange)
        else:
            frame = await self._send_large(member, exchange, body)
        self._metrics.observe('hop_seconds', clock.read_boot_clock() - now)
        return linkcodec.decode_reply(frame)

    async def _send_large(self, member, exchange, body):
        """Offer a body and send its parts when the member asks for them."""
        link, number, head = exchange.link, exchange.number, exchange.head

        async def connect():
            left_s = head.deadline - clock.read_boot_clock()
            return await self._connect(member, True, left_s)

        sender = outgoing.BodySender(body, exchange.reply, connect)
        link.offer_body(number, sender)
        link.send_frame(
            linkcodec.encode_offer(
                number, head, len(body), clock.read_boot_clock()
            )
        )
        try:
            return await finish_exchange(exchange)
        except errors.PeerUnavailable as error:
            if sender.sent_whole:
                raise
            # The member need not wait for the rest.
            link.send_frame(linking.Cancel(number))
            raise errors.PeerUnavailable(
                f'{member.name} did not get the whole body; nothing ran'
            ) from error
        finally:
            link.withdraw_body(number)

    async def ask(self, member, message):
        """Return a member's answer; raises PeerUnavailable without one."""
        if member.incarnation == self._incarnation:
            return await self.local(message)
        link = await self._connect(member, False, ASK_S)
        number, future = link.start_exchange()
        link.send_frame(linkcodec.encode_question(number, message))
        try:
            async with asyncio.timeout(ASK_S):
                frame = await future
        except TimeoutError as error:
            raise errors.PeerUnavailable(
                f'{member.name} gave no answer within {ASK_S} s'
            ) from error
        finally:
            link.end_exchange(number)
        return frame if isinstance(frame, linking.CopyReply) else frame.body

    async def _connect(self, member, bulk, left_s) -> Link:
        key = member.incarnation, bulk
        link = self._links.get(key)
        if link is not None and link.is_usable:
            return link
        making = self._connecting.get(key)
        if making is None:
            making = asyncio.ensure_future(self._open(member, key))
            self._connecting[key] = making
            making.add_done_callback(
                lambda done: self._note_connected(key, done)
            )
        try:
            async with asyncio.timeout(max(0.0, min(CONNECT_S, left_s))):
                return await asyncio.shield(making)
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnavailable(
                f'no connection to {member.name}; nothing ran'
            ) from error

    async def _open(self, member, key) -> Link:
        loop = asyncio.get_running_loop()
        started, outcome = loop.time(), 'failed'
        try:
            async with asyncio.timeout(OPEN_S):
                _, link = await connector.open_first(
                    lambda: loop.create_connection(
                        lambda: Link(self._vitals),
                        member.host,
                        member.peer_port,
                        local_addr=(self._host, 0),
                    )
                )
            outcome = 'connected'
        finally:
            self._metrics.observe(
                'connect_seconds', loop.time() - started, outcome=outcome
            )
        tag = framing.tag_hello(
            self.secret, self._incarnation, member.incarnation
        )
        link.send_frame(
            linking.Hello(0, self._incarnation, member.incarnation, tag)
        )
        self._replace(self._links.get(key))
        self._links[key] = link
        return link

    def _replace(self, link: Link | None) -> None:
        """Keep a connection that may still bring replies, to close it."""
        self._replaced = {one for one in self._replaced if one.is_open}
        if link is not None and link.is_open:
            self._replaced.add(link)

    def _note_connected(self, key, done) -> None:
        self._connecting.pop(key, None)
        # The reason has been given to those that wait; nobody may be left.
        if not done.cancelled():
            done.exception()

    def keep_only(self, members) -> None:
        """Close the connections to members that no longer exist."""
        for key in [one for one in self._links if one[0] not in members]:
            link = self._links.pop(key)
            if link.transport is not None:
                link.transport.close()
