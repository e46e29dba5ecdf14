"""The server side of connections from other nodes."""

import asyncio
import collections.abc
import dataclasses

from sesamejunction.border import framing
from sesamejunction.border import linkcodec
from sesamejunction.commands import bodies
from sesamejunction.decisions import clientbudget
from sesamejunction import errors
from sesamejunction.model import incomingbodies
from sesamejunction.model import linking
from sesamejunction.model import requests
from sesamejunction.tasks import clock

# Time for other nodes to close their connections, which takes about one round
# trip, or the transfer of the last answer: up to 250,000 bytes at 5 Mbit/s.
CLOSE_GRACE_S = 0.5
CLOSE_CHECK_S = 0.01
# Time for the first frame; a peer sends it with the connection's first bytes.
HELLO_LIMIT_S = 5.0
# Other nodes learn within about this time that a node stopped or restarted.
RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPorts:
    """Dependencies of the server side, and its open connections.

    ``host_request`` runs a request at the target beside this node. ``answer``
    returns the reply to a question, or None if there is none to send.
    ``body_ports`` is used to receive large bodies, ``traffic`` counts bytes.
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


class LinkServer(framing.FrameProtocol):
    """The server side of one connection."""

    def __init__(self, ports: ServerPorts):
        super().__init__(ports.traffic, framing.MAX_HELLO_BYTES)
        self._ports = ports
        self._is_authenticated = False
        self._is_stale = False
        self._close_requested = False
        self._sender = 0
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

    def cut(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

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
            case linking.BodyPart():
                part_task = asyncio.ensure_future(self._handle_part(frame))
                self._part_tasks.add(part_task)
                part_task.add_done_callback(self._part_tasks.discard)
            case _:
                self._start_task(frame.id, self._answer_question(frame), True)

    @property
    def buffered(self) -> int:
        """Return the number of bytes in the write buffer."""
        if self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

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
        self._is_stale = hello.receiver != self._ports.incarnation
        self._sender = hello.sender
        if not self._is_authenticated:
            self.transport.abort()
            return
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
        head = linkcodec.decode_work(frame, clock.read_boot_clock())
        reply = await self._ports.host_request(head, frame.body)
        self.send_frame(await linkcodec.encode_reply(frame.id, reply))

    def _handle_offer(self, frame) -> None:
        if not 0 < frame.size <= framing.MAX_FRAME_BYTES:
            self.transport.abort()
            return
        # Nothing runs before the body has arrived. Until then the task is
        # cancelled on a lost connection even if the request is not
        # repeatable.
        self._start_task(frame.id, self._run_offered_work(frame), True)

    async def _run_offered_work(self, frame) -> None:
        head = linkcodec.decode_work(frame, clock.read_boot_clock())

        def request_part(turn, part):
            self.send_frame(
                linking.AskPart(frame.id, turn, part.start, part.size)
            )

        sender = bodies.OfferingNode(self._sender, request_part)
        reply = await bodies.fetch_offered_body(
            self._ports.body_ports, sender, head, frame.size
        )
        if isinstance(reply, incomingbodies.CompleteBody):
            task, _ = self._running[frame.id]
            self._running[frame.id] = task, frame.repeatable
            reply = await self._ports.host_request(head, reply.data)
        self.send_frame(await linkcodec.encode_reply(frame.id, reply))

    async def _handle_part(self, frame) -> None:
        """Pass on a part; close the connection if it was not requested."""
        try:
            taken = await self._ports.body_ports.intake.ask(
                incomingbodies.PartArrived(frame.id, self._sender, frame.data)
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
            connection.buffered for connection in ports.connections
        )
        if all_sent and loop.time() >= grace_ends:
            return
        for connection in ports.connections:
            connection.request_close()
        await asyncio.sleep(CLOSE_CHECK_S)
