"""Connections that other nodes have made to this one."""

import asyncio
import collections.abc
import dataclasses

from sesamejunction.border import framing
from sesamejunction.border import linkcodec
from sesamejunction.commands import bodies
from sesamejunction import errors
from sesamejunction.model import incomingbodies
from sesamejunction.model import linking
from sesamejunction.model import requests
from sesamejunction.tasks import clock

# Other nodes end their connections after about one round trip, or when the
# last answer, of up to 250,000 bytes at 5 Mbit/s, is there.
CLOSE_GRACE_S = 0.5
CHECK_S = 0.01
# Others know in about this time that a node has ended or started anew.
RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPorts:
    """What the accepting side needs.

    ``host_request`` runs work for the target beside this node, ``answer``
    returns the reply to a question, or None. ``receiving`` lets large bodies
    come.
    """

    incarnation: int
    secret: bytes
    host_request: collections.abc.Callable
    answer: collections.abc.Callable
    receiving: bodies.Ports | None = None
    traffic: object = None
    connections: set = dataclasses.field(default_factory=set)


class LinkServer(framing.FrameProtocol):
    """The accepting side of one connection."""

    def __init__(self, ports: ServerPorts):
        super().__init__(ports.traffic, framing.MAX_HELLO_BYTES)
        self._ports = ports
        self._known = False
        self._is_stale = False
        self._has_parted = False
        self._sender = 0
        self._running = {}
        self._arriving = set()

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

    def handle_frame(self, frame) -> None:
        """Take one frame of the peer."""
        match frame:
            case linking.Hello():
                self._take_hello(frame)
            case _ if not self._known:
                self.transport.abort()
            case linking.Work() | linking.WorkOffer() if self._is_stale:
                self.send_frame(
                    refuse_work(
                        frame.id,
                        requests.Code.NO_TARGET,
                        'the node has started anew',
                    )
                )
            case linking.Ping():
                self.send_frame(linking.Pong(0))
            case linking.Cancel():
                found = self._running.get(frame.id)
                if found is not None:
                    found[0].cancel()
            case _ if self._is_stale:
                self.transport.close()
            case linking.Work():
                self._start(frame.id, self._work(frame), frame.repeatable)
            case linking.WorkOffer():
                self._take_offer(frame)
            case linking.BodyPart():
                taking = asyncio.ensure_future(self._take_part(frame))
                self._arriving.add(taking)
                taking.add_done_callback(self._arriving.discard)
            case _:
                self._start(frame.id, self._answer(frame), True)

    @property
    def buffered(self) -> int:
        """Return the bytes that the other node has not taken yet."""
        if self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def end_use(self) -> None:
        """Ask the other node to send nothing new and to close."""
        if not self._has_parted:
            self._has_parted = True
            self.send_frame(
                refuse_work(
                    linking.ALL_EXCHANGES, requests.Code.STOPPING, 'node stops'
                )
            )

    def _take_hello(self, hello) -> None:
        """Learn who is there; one that meant a former process is refused.

        A closed connection would tell it that its requests may have run.
        """
        self._known = framing.verify_hello(self._ports.secret, hello)
        self._is_stale = hello.receiver != self._ports.incarnation
        self._sender = hello.sender
        if not self._known:
            self.transport.abort()
        elif self._is_stale:
            self.frame_limit = framing.MAX_STALE_FRAME_BYTES
        else:
            self.frame_limit = framing.MAX_FRAME_BYTES

    def _start(self, number, coroutine, repeatable) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running[number] = task, repeatable
        task.add_done_callback(lambda _: self._running.pop(number, None))

    async def _work(self, frame) -> None:
        head = linkcodec.decode_work(frame, clock.read_boot_clock())
        reply = await self._ports.host_request(head, frame.body)
        self.send_frame(await linkcodec.encode_reply(frame.id, reply))

    def _take_offer(self, frame) -> None:
        if not 0 < frame.size <= framing.MAX_FRAME_BYTES:
            self.transport.abort()
            return
        # Nothing has run while the body is not here, so a lost connection
        # ends the wait for it also when the request may not be repeated.
        self._start(frame.id, self._work_with_offered(frame), True)

    async def _work_with_offered(self, frame) -> None:
        head = linkcodec.decode_work(frame, clock.read_boot_clock())

        def ask_part(turn, part):
            self.send_frame(
                linking.AskPart(frame.id, turn, part.start, part.size)
            )

        sender = bodies.OfferingNode(self._sender, ask_part)
        reply = await bodies.fetch_offered_body(
            self._ports.receiving, sender, head, frame.size
        )
        if isinstance(reply, incomingbodies.CompleteBody):
            task, _ = self._running[frame.id]
            self._running[frame.id] = task, frame.repeatable
            reply = await self._ports.host_request(head, reply.data)
        self.send_frame(await linkcodec.encode_reply(frame.id, reply))

    async def _take_part(self, frame) -> None:
        """Hand over a part; one that nobody asked for ends all."""
        try:
            taken = await self._ports.receiving.intake.ask(
                incomingbodies.PartArrived(frame.id, self._sender, frame.data)
            )
        except (errors.InboxFull, errors.TaskStopped):
            # The wait for the part ends in a refusal.
            return
        if not taken.expected:
            self.transport.abort()

    async def _answer(self, frame) -> None:
        reply = await self._ports.answer(frame)
        if reply is not None:
            self.send_frame(reply)


def refuse_work(number: int, code: requests.Code, reason: str):
    """Return the reply to work that surely does not run here."""
    return linking.WorkRefused(
        number,
        code.value,
        requests.Outcome.NOT_RUN.value,
        f'{reason}; retry',
        RETRY_AFTER_S,
        None,
    )


async def close_connections(ports: ServerPorts, ends: float) -> None:
    """Let other nodes close their connections; work is answered meanwhile.

    What they have sent to a connection that this node closes would be lost,
    and they could not tell that it has not run. Connections with unsent
    answers are waited for until ``ends``, on the loop's clock. The
    process is killed soon after that time, so nothing is waited for then.
    """
    loop = asyncio.get_running_loop()
    farewell = loop.time() + CLOSE_GRACE_S
    while ports.connections and loop.time() < ends:
        is_sent = not any(one.buffered for one in ports.connections)
        if is_sent and loop.time() >= farewell:
            return
        for one in ports.connections:
            one.end_use()
        await asyncio.sleep(CHECK_S)
