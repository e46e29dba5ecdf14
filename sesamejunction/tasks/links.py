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

CONNECT_S = 0.5
# A connection that owes a reply and has been silent for this time is asked
# for a sign of life, and given up when none comes in the same time again.
SILENT_S = 0.4
# Longest wait for the answer to a question of a task.
ASK_S = 1.2
# Bodies from this size use a connection of their own, so that they do not
# hold up small frames on a slow line.
BULK_BYTES = 16 * 1024


class Link(framing.FrameProtocol):
    """The connecting side of one connection.

    ``vitals`` says how this node itself fares.
    """

    def __init__(self, vitals):
        super().__init__(vitals.traffic)
        self._vitals = vitals
        self._ids = itertools.count(1)
        self._open = {}
        self._heard_at = 0.0
        self._watch = None
        self._retired = False

    @property
    def is_usable(self) -> bool:
        """Return whether new exchanges may start."""
        return not self._retired and self._is_open

    @property
    def buffered(self) -> int:
        """Return the bytes that wait for the peer or the line."""
        if not self._is_open:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def start_exchange(
        self, repeatable: bool = True
    ) -> tuple[int, asyncio.Future]:
        """Return the id of a new exchange and the future of its reply.

        ``repeatable`` exchanges fail early on a silent connection.
        """
        loop = asyncio.get_running_loop()
        number = next(self._ids)
        future = loop.create_future()
        if not self._open:
            self._heard_at = loop.time()
            self._watch = loop.call_later(SILENT_S, self._look)
        self._open[number] = future, repeatable
        return number, future

    def end_exchange(self, number: int) -> None:
        """Forget an exchange; its reply will be dropped."""
        self._open.pop(number, None)
        if self._retired and not self._open and self._is_open:
            self.transport.abort()

    def take_frame(self, frame) -> None:
        """Give a reply to the exchange that waits for it."""
        if not isinstance(frame, linking.REPLIES):
            # The accepting side sends replies only.
            self.transport.abort()
            return
        self._heard_at = asyncio.get_running_loop().time()
        future, _ = self._open.get(frame.id, (None, False))
        if future is not None and not future.done():
            future.set_result(frame)

    def connection_lost(self, exc):
        """Fail all exchanges."""
        lost, self._open = self._open, {}
        for future, _ in lost.values():
            fail_exchange(future)

    def _retire(self, silent_s) -> None:
        """Start nothing new here; what may be repeated is tried elsewhere.

        Exchanges that may not be repeated gain nothing from an early end:
        a line that loses packets may still bring their replies.
        """
        self._retired = True
        eliot.log_message(
            'peer: connection retired',
            silent_s=round(silent_s, 2),
            exchanges=len(self._open),
            buffered=self.buffered,
            **self._vitals.describe(),
        )
        for future, repeatable in list(self._open.values()):
            if repeatable:
                fail_exchange(future)

    def _look(self) -> None:
        """Find out whether a connection that owes replies still works."""
        if not self._open or not self._is_open:
            return
        loop = asyncio.get_running_loop()
        silent = loop.time() - self._heard_at
        if silent >= 2 * SILENT_S:
            if not self._retired:
                self._retire(silent)
        if silent >= SILENT_S:
            self.send_frame(linking.Ping(0))
        self._watch = loop.call_later(SILENT_S, self._look)


def fail_exchange(future: asyncio.Future) -> None:
    """Tell an exchange that its reply will not come."""
    if not future.done():
        future.set_exception(
            errors.PeerLost('the connection to a peer was lost')
        )


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
        self._lines = logs.LineLimit()
        self._connecting = {}
        self.secret = b''
        self.host_request = None
        self.local = None

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        for link in self._links.values():
            if link.transport is not None:
                link.transport.abort()

    async def send(
        self, candidate: requests.Candidate, head: requests.Head, upload
    ) -> requests.Answer | requests.Refusal:
        """Run a request at a member's target.

        Raises PeerUnavailable when nothing was sent and PeerLost when the
        reply is missing.
        """
        try:
            return await self._send(candidate, head, upload)
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

    async def _send(self, candidate, head, upload):
        body = await wholes.read_upload(upload)
        if candidate.member.incarnation == self._incarnation:
            return await self.host_request(head, body)
        now = clock.read_boot_clock()
        left_s = head.deadline - now
        link = await self._connect(
            candidate.member, len(body) >= BULK_BYTES, left_s
        )
        number, future = link.start_exchange(head.repeatable)
        link.send_frame(linkcodec.encode_work(number, head, body, now))
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                frame = await future
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
        taken_s = clock.read_boot_clock() - now
        self._metrics.observe('hop_seconds', taken_s)
        return linkcodec.decode_reply(frame)

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
            async with asyncio.timeout(CONNECT_S):
                _, link = await loop.create_connection(
                    lambda: Link(self._vitals),
                    member.host,
                    member.peer_port,
                    local_addr=(self._host, 0),
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
        self._links[key] = link
        return link

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


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPorts:
    """What the accepting side needs.

    ``host_request`` runs work for the target beside this node, ``answer``
    returns the reply to a question, or None.
    """

    incarnation: int
    secret: bytes
    host_request: collections.abc.Callable
    answer: collections.abc.Callable
    traffic: object = None
    connections: set = dataclasses.field(default_factory=set)


class LinkServer(framing.FrameProtocol):
    """The accepting side of one connection."""

    def __init__(self, ports: ServerPorts):
        super().__init__(ports.traffic, framing.MAX_HELLO_BYTES)
        self._ports = ports
        self._known = False
        self._running = {}

    def connection_made(self, transport):
        """Keep the connection, so that a stop can close it."""
        super().connection_made(transport)
        self._ports.connections.add(self)

    def connection_lost(self, exc):
        """Cancel work that nobody waits for, if it may be cancelled."""
        self._ports.connections.discard(self)
        for task, repeatable in self._running.values():
            if repeatable:
                task.cancel()

    def take_frame(self, frame) -> None:
        """Take one frame of the peer."""
        match frame:
            case linking.Hello():
                self._known = framing.check_hello(
                    self._ports.secret, frame, self._ports.incarnation
                )
                if self._known:
                    self.frame_limit = framing.MAX_FRAME_BYTES
                else:
                    self.transport.abort()
            case _ if not self._known:
                self.transport.abort()
            case linking.Ping():
                self.send_frame(linking.Pong(0))
            case linking.Cancel():
                found = self._running.get(frame.id)
                if found is not None:
                    found[0].cancel()
            case linking.Work():
                self._start(frame.id, self._work(frame), frame.repeatable)
            case _:
                self._start(frame.id, self._answer(frame), True)

    def _start(self, number, coroutine, repeatable) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running[number] = task, repeatable
        task.add_done_callback(lambda _: self._running.pop(number, None))

    async def _work(self, frame) -> None:
        head = linkcodec.decode_work(frame, clock.read_boot_clock())
        reply = await self._ports.host_request(head, frame.body)
        self.send_frame(await linkcodec.encode_reply(frame.id, reply))

    async def _answer(self, frame) -> None:
        reply = await self._ports.answer(frame)
        if reply is not None:
            self.send_frame(reply)
