"""Persistent connections to other nodes.

Each member has one connection for small frames and, if needed, another one for
large bodies and copies.
"""

import asyncio

from sesamejunction.border import framing
from sesamejunction.border import linkcodec
from sesamejunction.border import logs
from sesamejunction.commands import largeanswers
from sesamejunction.commands import wholebodies
from sesamejunction import errors
from sesamejunction.model import linking
from sesamejunction.model import registry
from sesamejunction.model import requests
from sesamejunction.model import valueclass
from sesamejunction.tasks import clock
from sesamejunction.tasks import connector
from sesamejunction.tasks import incominganswer
from sesamejunction.tasks import link as linkage
from sesamejunction.tasks import outgoingbody

# A request without a reply is cancelled at the other node this long before its
# deadline, so that a refusal arrives in time if it still waits there. The
# other node's own deadline is earlier (linkcodec.REPLY_MARGIN_S), so no answer
# is lost.
CANCEL_LEAD_S = 0.02
# Longest wait of a request for a connection. After that the request fails as
# not run, and may be sent to another member.
CONNECT_WAIT_S = 0.5
# Timeout of a connection attempt, which all requests to the member share. If
# each request started its own attempt, no connection would ever be made on a
# line with a latency above CONNECT_WAIT_S. The operating system retransmits a
# SYN after 1 s.
CONNECT_TIMEOUT_S = 2.0
# Longest wait for a byte of the answer to a question of an actor.
ANSWER_IDLE_S = 1.2
# Longest wait for a complete answer while data arrives. 250,000 bytes, a
# configuration of 1,560 routes, take 0.4 s on an idle line of 5 Mbit/s, and
# several members may request one at the same time.
ANSWER_TIMEOUT_S = 8.0
# Bodies of at least this size are offered first and sent over a separate
# connection, so that they do not delay small frames on a slow line.
LARGE_BODY_BYTES = 16 * 1024


@valueclass.define
class Exchange:
    """A request sent on a connection; ``number`` is its id there."""

    link: linkage.Link
    number: int
    reply: asyncio.Future
    head: requests.Head


async def finish_exchange(exchange: Exchange):
    """Wait for the reply to a request.

    Raises PeerConnectionLost if none arrives before the deadline.
    """
    link, number = exchange.link, exchange.number
    left_s = exchange.head.deadline - clock.read_boot_clock()
    # asyncio.timeout would take 6 us more for each request.
    timer = asyncio.get_running_loop().call_later(
        max(0.0, left_s - CANCEL_LEAD_S), cancel_late, exchange
    )
    try:
        return await exchange.reply
    except TimeoutError as error:
        raise errors.PeerConnectionLost(
            'no answer within the deadline; it may have run'
        ) from error
    except asyncio.CancelledError:
        link.send_frame(linking.Cancel(number))
        raise
    finally:
        timer.cancel()
        link.end_exchange(number)


async def wait_while_arriving(
    link: linkage.Link, reply: asyncio.Future, wait_s: float = 0.0
):
    """Wait for a reply as long as its data keeps arriving.

    The peer may take ``wait_s`` before it begins to answer. After that,
    raises TimeoutError after ANSWER_IDLE_S without data, or ANSWER_TIMEOUT_S.
    """
    loop = asyncio.get_running_loop()
    if wait_s:
        await asyncio.wait((reply,), timeout=wait_s)
    ends_at = loop.time() + ANSWER_TIMEOUT_S
    while True:
        done, _ = await asyncio.wait((reply,), timeout=ANSWER_IDLE_S)
        if done:
            return reply.result()
        if loop.time() >= ends_at or not link.has_received(ANSWER_IDLE_S):
            raise TimeoutError


def cancel_late(exchange: Exchange) -> None:
    """Cancel a request and wait until its deadline for a last reply."""
    if exchange.reply.done():
        return
    exchange.link.send_frame(linking.Cancel(exchange.number))
    left_s = exchange.head.deadline - clock.read_boot_clock()
    asyncio.get_running_loop().call_later(
        max(0.0, left_s), expire_reply, exchange.reply
    )


def expire_reply(reply: asyncio.Future) -> None:
    """Fail a reply with TimeoutError."""
    if not reply.done():
        reply.set_exception(TimeoutError())


class Links:
    """Sends requests and actors' questions to other members.

    Requests and questions to this node itself need no connection:
    ``host_request`` runs requests at the target beside this node, and
    ``answer_locally`` answers questions. Both are set after construction, and
    so are ``secret``, which authenticates connections, and ``answers``, the
    largeanswers.Ports that count the answers on their way to this node.
    """

    def __init__(self, incarnation: int, host: str, metrics, usage):
        self._metrics = metrics
        self._usage = usage
        self._incarnation = incarnation
        self._host = host
        self._links = {}
        # Replaced connections that may still receive replies.
        self._replaced = set()
        self._logger = logs.ThrottledLogger()
        self._connecting = {}
        self.secret = b''
        self.answers = None
        self._part_turns = incominganswer.PartTurns()
        self.host_request = None
        self.answer_locally = None

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        for attempt in list(self._connecting.values()):
            attempt.cancel()
        for link in (*self._links.values(), *self._replaced):
            if link.transport is not None:
                link.transport.abort()

    async def send(
        self,
        candidate: requests.Candidate,
        head: requests.Head,
        upload,
        on_silent=None,
    ) -> requests.Answer | requests.Refusal:
        """Run a request at a member's target.

        ``on_silent`` is called if the connection is silent; the reply may
        still arrive until the deadline. Raises PeerUnavailable if the request
        did not run, and PeerConnectionLost if it may have run but no reply
        arrived.
        """
        try:
            return await self._send(candidate, head, upload, on_silent)
        except errors.PeerUnavailable as error:
            self._logger.log_message(
                'peer: attempt failed',
                request=head.request_id,
                member=candidate.member.name,
                service=head.service,
                left_s=round(head.deadline - clock.read_boot_clock(), 3),
                reason=str(error),
                connecting=len(self._connecting),
                buffered=sum(
                    open_link.buffered for open_link in self._links.values()
                ),
                **self._usage.describe(),
            )
            raise

    def reports_silence(self, candidate: requests.Candidate) -> bool:
        """Return whether ``send`` to the member may call ``on_silent``.

        It cannot for this node itself, which needs no connection.
        """
        return candidate.member.incarnation != self._incarnation

    async def _send(self, candidate, head, upload, on_silent):
        body = await wholebodies.read_upload(upload)
        member = candidate.member
        if member.incarnation == self._incarnation:
            return await self.host_request(head, body)
        now = clock.read_boot_clock()
        link = await self._connect(member, False, head.deadline - now)
        exchange = Exchange(link, *link.start_exchange(on_silent), head)
        if len(body) < LARGE_BODY_BYTES:
            link.send_frame(
                linkcodec.encode_work(
                    exchange.number, head, body, clock.read_boot_clock()
                )
            )
            frame = await finish_exchange(exchange)
        else:
            frame = await self._send_large(member, exchange, body)
        if isinstance(frame, linking.AnswerHead):
            return await self._fetch_answer(member, head, frame, now)
        self._metrics.observe('hop_seconds', clock.read_boot_clock() - now)
        return linkcodec.decode_reply(frame)

    async def _fetch_answer(self, member, head, frame, started):
        """Fetch the body of a large answer.

        An answer that the target has made is fetched also after the deadline.
        """
        fetcher = incominganswer.AnswerFetcher(
            frame,
            member.incarnation,
            self._part_turns,
            lambda: self._connect(member, True, CONNECT_WAIT_S),
        )
        with largeanswers.count_unexpected(self.answers, head, frame.size):
            body = await fetcher.fetch()
        taken_s = clock.read_boot_clock() - started
        self._metrics.observe('hop_seconds', taken_s)
        return linkcodec.decode_answer_head(frame, body)

    async def _send_large(self, member, exchange, body):
        """Offer a body and send its parts as the member requests them."""
        link, number, head = exchange.link, exchange.number, exchange.head

        async def connect():
            left_s = head.deadline - clock.read_boot_clock()
            return await self._connect(member, True, left_s)

        sender = outgoingbody.BodySender(body, exchange.reply, connect)
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
            # Tell the member not to wait for the rest.
            link.send_frame(linking.Cancel(number))
            raise errors.PeerUnavailable(
                f'{member.name} did not get the whole body; nothing ran'
            ) from error
        finally:
            link.withdraw_body(number)

    async def ask(self, member, message):
        """Return a member's answer; raises PeerUnavailable if none arrives."""
        if member.incarnation == self._incarnation:
            return await self.answer_locally(message)
        # Copies and news of a topic are large and would delay small frames.
        is_large = isinstance(
            message, (registry.GetCopy, registry.AskNews, registry.AskFloor)
        )
        link = await self._connect(member, is_large, ANSWER_IDLE_S)
        number, future = link.start_exchange()
        wait_s = 0.0
        if isinstance(message, registry.AskNews):
            wait_s = message.wait_s
            link.fail_on_silence(number)
        link.send_frame(linkcodec.encode_question(number, message))
        try:
            frame = await wait_while_arriving(link, future, wait_s)
        except TimeoutError as error:
            raise errors.PeerUnavailable(
                f'{member.name} gave no answer within {ANSWER_IDLE_S} s'
            ) from error
        finally:
            link.end_exchange(number)
        return linkcodec.decode_question_reply(frame)

    def start_question(self, member, message):
        """Send a question on an open connection for small frames.

        Returns the connection, the id of the exchange and the future of the
        reply frame. Without a connection it returns None and begins to open
        one for later questions. The caller ends the exchange.
        """
        key = member.incarnation, False
        link = self._links.get(key)
        if link is None or not link.is_usable:
            self._start_connecting(member, key)
            return None
        number, future = link.start_exchange()
        link.send_frame(linkcodec.encode_question(number, message))
        return link, number, future

    def _start_connecting(self, member, key) -> asyncio.Task:
        attempt = self._connecting.get(key)
        if attempt is None:
            attempt = asyncio.ensure_future(self._open(member, key))
            self._connecting[key] = attempt
            attempt.add_done_callback(
                lambda done: self._note_connected(key, done)
            )
        return attempt

    async def _connect(self, member, is_bulk, left_s) -> linkage.Link:
        key = member.incarnation, is_bulk
        link = self._links.get(key)
        if link is not None and link.is_usable:
            return link
        attempt = self._start_connecting(member, key)
        try:
            async with asyncio.timeout(max(0.0, min(CONNECT_WAIT_S, left_s))):
                link = await asyncio.shield(attempt)
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnavailable(
                f'no connection to {member.name}; nothing ran'
            ) from error
        if not link.is_open:
            # It was closed before this task resumed. An exchange started on
            # it now would never be completed.
            raise errors.PeerUnavailable(
                f'{member.name} closed the connection; nothing ran'
            )
        return link

    async def _open(self, member, key) -> linkage.Link:
        loop = asyncio.get_running_loop()
        started, outcome = loop.time(), 'failed'
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await connector.connect_hedged(
                    lambda: loop.create_connection(
                        lambda: linkage.Link(self._usage),
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
        tag = framing.sign_hello(
            self.secret, self._incarnation, member.incarnation
        )
        link.send_frame(
            linking.Hello(0, self._incarnation, member.incarnation, tag)
        )
        self._track_replaced(self._links.get(key))
        self._links[key] = link
        return link

    def _track_replaced(self, link: linkage.Link | None) -> None:
        """Keep track of a replaced connection until it is closed."""
        self._replaced = {
            replaced_link
            for replaced_link in self._replaced
            if replaced_link.is_open
        }
        if link is not None and link.is_open:
            self._replaced.add(link)

    def _note_connected(self, key, done) -> None:
        self._connecting.pop(key, None)
        # Waiting requests get the error from the attempt. If there are none,
        # retrieving it here keeps asyncio from logging it.
        if not done.cancelled():
            done.exception()
