"""The server side of connections from other nodes."""

import asyncio
import collections.abc
import contextlib
import dataclasses

from sesamejunction.border import clients
from sesamejunction.border import framing
from sesamejunction.border import linkcodec
from sesamejunction.commands import bodies
from sesamejunction.commands import largeanswers
from sesamejunction.decisions import clientbudget
from sesamejunction import errors
from sesamejunction.model import incomingbodies
from sesamejunction.model import linking
from sesamejunction.model import outgoinganswers
from sesamejunction.model import requests
from sesamejunction.model import valueclass
from sesamejunction.tasks import clock

# Time for other nodes to close their connections, which takes about one round
# trip, or the transfer of the last answer: up to 250,000 bytes at 5 Mbit/s.
CLOSE_GRACE_S = 0.5
CLOSE_CHECK_S = 0.01
# Time for the first frame; a peer sends it with the connection's first bytes.
HELLO_LIMIT_S = 5.0
# Other nodes learn within about this time that a node stopped or restarted.
RETRY_AFTER_S = 0.1


@valueclass.define
class ServerPorts:
    """Dependencies of the server side, and its open connections.

    ``host_request`` runs a request at the target beside this node. ``answer``
    returns the reply to a question, or None if there is none to send.
    ``body_ports`` is used to receive large bodies, ``traffic`` counts bytes.
    ``answers`` sends large answers in parts; None sends them whole.
    ``clients`` counts the connections that are not authenticated yet.
    """

    incarnation: int
    secret: bytes
    host_request: collections.abc.Callable
    answer: collections.abc.Callable
    body_ports: bodies.Ports | None = None
    traffic: object = None
    clients: object = None
    connections: set = dataclasses.field(default_factory=set)
    answers: largeanswers.Ports | None = None

    def find_heard_at(self, sender: int) -> float:
        """Return when a node was last heard of, -inf without connections."""
        return max(
            (
                connection.heard_at
                for connection in self.connections
                if connection.sender == sender
            ),
            default=float('-inf'),
        )


class LinkServer(framing.FrameProtocol):
    """The server side of one connection.

    ``sender`` is the incarnation of the other node, 0 before its hello.
    ``heard_at`` is the boot-clock time of the latest data.
    """

    def __init__(self, ports: ServerPorts):
        super().__init__(ports.traffic, framing.MAX_HELLO_BYTES)
        self._ports = ports
        self._is_authenticated = False
        self._is_stale = False
        self._close_requested = False
        self.sender = 0
        self.heard_at = float('-inf')
        self._running = {}
        self._part_tasks = set()
        self._holder = None
        self._hello_timer = None

    def connection_made(self, transport):
        """Register the connection, so that it is closed on shutdown."""
        super().connection_made(transport)
        self._ports.connections.add(self)
        if self._ports.clients is not None:
            self._holder = self._ports.clients.enter(
                self, clientbudget.Kind.PEER, transport
            )
        self._hello_timer = asyncio.get_running_loop().call_later(
            HELLO_LIMIT_S, self.cut
        )

    def connection_lost(self, exc):
        """Cancel repeatable requests, whose replies cannot be sent."""
        self._ports.connections.discard(self)
        self._stop_counting()
        for task, repeatable in self._running.values():
            if repeatable:
                task.cancel()
        answers, heard_at = self._ports.answers, self._ports.find_heard_at
        if (
            answers is not None
            and self._is_authenticated
            and heard_at(self.sender) == float('-inf')
        ):
            answers.line.tell_reliably(
                outgoinganswers.RequesterLost(self.sender)
            )

    def data_received(self, data):
        """Record that the peer is alive, also for part of a long frame."""
        self.heard_at = clock.read_boot_clock()
        super().data_received(data)

    def cut(self) -> None:
        """Close the connection at once."""
        clients.reset(self.transport)

    def _stop_counting(self) -> None:
        """End the limits for connections that are not authenticated."""
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        if self._holder is not None:
            self._ports.clients.leave(self._holder)
            self._holder = None

    def handle_frame(self, frame) -> None:
        """Handle a frame from the peer."""
        match frame:
            case linking.Hello():
                self._handle_hello(frame)
            case _ if not self._is_authenticated:
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
                running = self._running.get(frame.id)
                if running is not None:
                    running[0].cancel()
            case _ if self._is_stale:
                self.transport.close()
            case linking.Work():
                self._start_task(
                    frame.id, self._run_work(frame), frame.repeatable
                )
            case linking.WorkOffer():
                self._handle_offer(frame)
            case linking.AskAnswerPart():
                self._start_task(frame.id, self._send_answer_part(frame), True)
            case linking.DropAnswer():
                self._drop_answer(frame)
            case linking.BodyPart():
                part_task = asyncio.ensure_future(self._handle_part(frame))
                self._part_tasks.add(part_task)
                part_task.add_done_callback(self._part_tasks.discard)
            case _:
                self._start_task(frame.id, self._answer_question(frame), True)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer's system has not acknowledged.

        If the process ends before, they are lost when the peer sends more.
        """
        if self.transport.is_closing():
            return 0
        return clients.count_unsent_bytes(self.transport)

    def request_close(self) -> None:
        """Ask the peer to send no new requests and to close."""
        if not self._close_requested:
            self._close_requested = True
            self.send_frame(
                refuse_work(
                    linking.ALL_EXCHANGES, requests.Code.STOPPING, 'node stops'
                )
            )

    def _handle_hello(self, hello) -> None:
        """Authenticate the peer and check that it means this incarnation.

        A connection meant for a former process stays open, and its requests
        are refused: if it were closed, the peer would have to assume that
        they may have run.
        """
        self._is_authenticated = framing.verify_hello(
            self._ports.secret, hello
        )
        if not self._is_authenticated:
            self.transport.abort()
            return
        self._is_stale = hello.receiver != self._ports.incarnation
        self.sender = hello.sender
        self._stop_counting()
        if self._is_stale:
            self.frame_limit = framing.MAX_STALE_FRAME_BYTES
        else:
            self.frame_limit = framing.MAX_FRAME_BYTES

    def _start_task(self, number, coroutine, repeatable) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running[number] = task, repeatable
        task.add_done_callback(lambda _: self._running.pop(number, None))

    async def _run_work(self, frame) -> None:
        head = linkcodec.decode_work(
            frame, clock.read_boot_clock(), self.sender
        )
        try:
            reply = await self._ports.host_request(head, frame.body)
        except errors.CancelledBeforeStart:
            self._refuse_cancelled(frame.id)
            raise
        await self._send_reply(frame, head, reply)

    async def _send_reply(self, frame, head, reply) -> None:
        """Send a reply; a large answer waits for its turn on the line."""
        answers = self._ports.answers
        if (
            answers is None
            or not isinstance(reply, requests.Answer)
            or not largeanswers.is_large(reply)
        ):
            self.send_frame(await linkcodec.encode_reply(frame.id, reply))
        elif not frame.takes_parts:
            # A node of an earlier version takes it only as one frame.
            size = reply.chunks.size
            async with reply.resources:
                await largeanswers.wait_for_turn(
                    answers, size, head.rank, head.deadline
                )
            self.send_frame(await linkcodec.encode_reply(frame.id, reply))
        elif not self.transport.is_closing():
            held = await largeanswers.hold_for_peer(
                answers, head, reply, self.sender
            )
            self.send_frame(
                linkcodec.encode_answer_head(
                    frame.id, reply, held.number, held.size
                )
            )
        else:
            await reply.resources.aclose()

    async def _send_answer_part(self, frame) -> None:
        data = b''
        if self._ports.answers is not None:
            with contextlib.suppress(errors.InboxFull, errors.TaskStopped):
                data = await self._ports.answers.line.ask(
                    outgoinganswers.TakePart(
                        frame.number, self.sender, frame.start, frame.size
                    )
                )
        self.send_frame(linking.AnswerPart(frame.id, data))

    def _drop_answer(self, frame) -> None:
        if self._ports.answers is not None:
            self._ports.answers.line.tell_reliably(
                outgoinganswers.DropAnswer(frame.number, self.sender)
            )

    def _refuse_cancelled(self, number) -> None:
        """Tell that a cancelled request has not run.

        The requester may still wait for a reply, until its deadline.
        """
        self.send_frame(
            refuse_work(
                number,
                requests.Code.DEADLINE,
                'the request waited until its deadline',
            )
        )

    def _handle_offer(self, frame) -> None:
        if not 0 < frame.size <= framing.MAX_FRAME_BYTES:
            self.transport.abort()
            return
        # Nothing runs before the body has arrived. Until then the task is
        # cancelled on a lost connection even if the request is not
        # repeatable.
        self._start_task(frame.id, self._run_offered_work(frame), True)

    async def _run_offered_work(self, frame) -> None:
        head = linkcodec.decode_work(
            frame, clock.read_boot_clock(), self.sender
        )

        def request_part(turn, part):
            self.send_frame(
                linking.AskPart(frame.id, turn, part.start, part.size)
            )

        sender = bodies.OfferingNode(self.sender, request_part)
        reply = await bodies.fetch_offered_body(
            self._ports.body_ports, sender, head, frame.size
        )
        if isinstance(reply, incomingbodies.CompleteBody):
            task, _ = self._running[frame.id]
            self._running[frame.id] = task, frame.repeatable
            try:
                reply = await self._ports.host_request(head, reply.data)
            except errors.CancelledBeforeStart:
                self._refuse_cancelled(frame.id)
                raise
        await self._send_reply(frame, head, reply)

    async def _handle_part(self, frame) -> None:
        """Pass on a part; close the connection if it was not requested."""
        try:
            taken = await self._ports.body_ports.intake.ask(
                incomingbodies.PartArrived(frame.id, self.sender, frame.data)
            )
        except (errors.InboxFull, errors.TaskStopped):
            # The body is refused when the wait for the part times out.
            return
        if not taken.expected:
            self.transport.abort()

    async def _answer_question(self, frame) -> None:
        reply = await self._ports.answer(frame)
        if reply is not None:
            self.send_frame(reply)


def refuse_work(number: int, code: requests.Code, reason: str):
    """Return the refusal of a request, which states that it did not run."""
    return linking.WorkRefused(
        number,
        code.value,
        requests.Outcome.NOT_RUN.value,
        f'{reason}; retry',
        RETRY_AFTER_S,
        None,
    )


async def close_connections(ports: ServerPorts, ends_at: float) -> None:
    """Ask other nodes to close their connections and wait for it.

    If this node closed them, requests in transit would be lost, and the
    senders could not tell whether they ran. Requests that arrive during the
    wait are still answered. The wait ends after CLOSE_GRACE_S unless replies
    are still unsent, and in any case at ``ends_at``, a time of the loop's
    clock, since the process is killed soon after.
    """
    loop = asyncio.get_running_loop()
    grace_ends = loop.time() + CLOSE_GRACE_S
    while ports.connections and loop.time() < ends_at:
        all_sent = not any(
            connection.unsent_bytes for connection in ports.connections
        ) and not (ports.answers and ports.answers.line.open_answers)
        if all_sent and loop.time() >= grace_ends:
            return
        for connection in ports.connections:
            connection.request_close()
        await asyncio.sleep(CLOSE_CHECK_S)
