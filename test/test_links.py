"""Connections between nodes: silent peers and lost exchanges."""

import asyncio
import contextlib
import dataclasses
import math
from unittest import mock

import pytest
import uvloop

from sesamejunction.border import framing
from sesamejunction.border import hostedmetrics
from sesamejunction.commands import ports as porting
from sesamejunction.commands import uploads
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import linking
from sesamejunction.model import owning
from sesamejunction.model import registry
from sesamejunction.model import requests
from sesamejunction.tasks import clock as clocks
from sesamejunction.tasks import link as linkage
from sesamejunction.tasks import links
from sesamejunction.tasks import linkserver
from sesamejunction.tasks import usage
from test import requestfakes

# Connections of one run, opened at different phases of the loop's clock tick.
CONNECTIONS = 60
TICK_PART_S = 0.00317
WORK_S = 1.3


class Peer(framing.FrameProtocol):
    """Answers pings and, after a delay, requests."""

    answers_pings = True

    def handle_frame(self, frame) -> None:
        if isinstance(frame, linking.Ping):
            if self.answers_pings:
                self.send_frame(linking.Pong(0))
            return
        asyncio.get_running_loop().call_later(
            WORK_S,
            self.send_frame,
            linking.WorkAnswer(frame.id, 200, (), b'', None),
        )


class SilentPeer(Peer):
    """Sends nothing until a request is done."""

    answers_pings = False


async def count_silent(peer) -> tuple[int, int]:
    """Return the number of silence reports and of replies."""
    loop = asyncio.get_running_loop()
    process_usage = usage.ProcessUsage(
        usage.Traffic(), hostedmetrics.HostedMetrics()
    )
    server = await loop.create_server(peer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]

    silent_exchanges, replies = [], []

    async def exchange():
        _, link = await loop.create_connection(
            lambda: linkage.Link(process_usage), '127.0.0.1', port
        )
        number, reply = link.start_exchange(
            lambda: silent_exchanges.append(number)
        )
        link.send_frame(linking.LoadQuestion(number))
        replies.append(await reply)
        link.end_exchange(number)
        link.transport.abort()

    running = []
    for _ in range(CONNECTIONS):
        running.append(asyncio.ensure_future(exchange()))
        await asyncio.sleep(TICK_PART_S)
    await asyncio.gather(*running)
    server.close()
    return len(silent_exchanges), len(replies)


@pytest.mark.parametrize(
    ('peer', 'silent'),
    [
        pytest.param(Peer, 0, id='signs of life are answered'),
        pytest.param(SilentPeer, CONNECTIONS, id='signs of life are not'),
    ],
)
def test_peer_is_silent_only_after_a_ping(peer, silent):
    # Guards against a connection treated as silent before a ping was sent,
    # since a timer fired early by a rounding error, and against replies that
    # are abandoned because the peer is silent.
    assert uvloop.run(count_silent(peer)) == (silent, CONNECTIONS)


class Clock:
    """Replaces the event loop: runs timers that are due."""

    def __init__(self):
        self.now = 0.0
        self.timers = []

    def time(self):
        return self.now

    def create_future(self):
        return mock.Mock(done=lambda: False)

    def call_at(self, due, call, *args):
        timer = mock.Mock(due=due, run=lambda: call(*args))
        timer.cancel = lambda: self.timers.remove(timer)
        self.timers.append(timer)
        return timer

    def advance(self, span_s, late_s=0.0):
        """Let time pass; timers run ``late_s`` after they are due."""
        ends = self.now + span_s
        while due := [one for one in self.timers if one.due + late_s <= ends]:
            first = min(due, key=lambda one: one.due)
            self.timers.remove(first)
            self.now = max(self.now, first.due + late_s)
            first.run()
        self.now = ends


@pytest.fixture
def monitored_link(monkeypatch):
    """Return a simulated clock, a link that uses it, and sent frames."""
    clock, sent = Clock(), []
    monkeypatch.setattr(asyncio, 'get_running_loop', lambda: clock)
    link = linkage.Link(
        usage.ProcessUsage(usage.Traffic(), hostedmetrics.HostedMetrics())
    )
    link.transport = mock.Mock(is_closing=lambda: False)
    link.transport.get_write_buffer_size.return_value = 0
    monkeypatch.setattr(link, 'send_frame', sent.append)
    return clock, link, sent


# Guards against large answers that a peer holds for a requester who has left,
# until new ones are refused for want of memory. Rows: whether the exchange is
# still open, and the number of the answer that is dropped.
@pytest.mark.parametrize(('is_open', 'dropped'), [(True, []), (False, [7])])
def test_unwanted_large_answer_is_dropped(monitored_link, is_open, dropped):
    _, link, sent = monitored_link
    number, _ = link.start_exchange()
    if not is_open:
        link.end_exchange(number)
    link.handle_frame(linking.AnswerHead(number, 200, (), None, 7, 90_000))
    assert sent == [linking.DropAnswer(0, one) for one in dropped]


def receive_data(link):
    link.data_received(b'')


# Guards against a connection that accumulates timers and then checks its peer
# more often than every 0.4 s. Rows: number of exchanges started one after
# another on an idle connection, and seconds between them.
@pytest.mark.parametrize('pause_s', [0.0, 0.1, 0.39, 0.41, 2.0])
@pytest.mark.parametrize('count', [1, 2, 20])
def test_connection_has_one_timer(monitored_link, count, pause_s):
    clock, link, sent = monitored_link
    for _ in range(count):
        number, _ = link.start_exchange()
        assert len(clock.timers) == 1
        link.end_exchange(number)
        clock.advance(pause_s)
        assert len(clock.timers) <= 1
    link.start_exchange()
    clock.advance(1.3)
    assert len(clock.timers) == 1
    assert len(sent) == 3
    assert not link.is_usable


# Guards against a peer treated as silent although data arrived, or although
# only this node's own loop was late. Rows: steps after the start of an
# exchange as (seconds, lateness of the timers, whether data arrives then), and
# whether the connection is usable afterwards.
@pytest.mark.parametrize(
    ('steps', 'usable'),
    [
        pytest.param([(0.79, 0, False)], True, id='not yet silent'),
        pytest.param([(0.81, 0, False)], False, id='silent'),
        pytest.param([(0.7, 0, True), (0.79, 0, False)], True, id='heard'),
        pytest.param(
            [(0.7, 0, True), (0.81, 0, False)], False, id='silent afterwards'
        ),
        pytest.param(
            [(0.5, 0, False), (1.0, 0.6, True), (0.3, 0, False)],
            True,
            id='late loop, heard at once',
        ),
        pytest.param(
            [(0.5, 0, False), (1.0, 0.6, False), (0.1, 0, False)],
            False,
            id='late loop, still silent',
        ),
        pytest.param([(3.0, 0.2, False)], False, id='loop always late'),
    ],
)
def test_silent_peer_is_detected(monitored_link, steps, usable):
    clock, link, _ = monitored_link
    link.start_exchange()
    for span_s, late_s, is_heard in steps:
        clock.advance(span_s, late_s)
        if is_heard:
            receive_data(link)
    assert link.is_usable is usable


class MutePeer(Peer):
    """Its first connection sends nothing; others answer soon."""

    made = 0
    replies_after_s = (math.inf, 0.01)

    def connection_made(self, transport):
        super().connection_made(transport)
        self.number = MutePeer.made
        MutePeer.made += 1

    def handle_frame(self, frame) -> None:
        after_s = self.replies_after_s[min(self.number, 1)]
        if isinstance(frame, linking.Work) and after_s < math.inf:
            asyncio.get_running_loop().call_later(
                after_s, self.send_frame, make_done(frame)
            )


def make_done(frame):
    return linking.WorkAnswer(
        frame.id, 200, (), frame.request_id.encode(), None
    )


class LatePeer(MutePeer):
    """Its first connection answers late, others never."""

    replies_after_s = (1.1, math.inf)


class DeadPeer(MutePeer):
    """No connection answers."""

    replies_after_s = (math.inf, math.inf)


@contextlib.asynccontextmanager
async def open_sender(peer):
    """Yield links and a member; ``peer`` accepts its connections."""
    loop, metrics = asyncio.get_running_loop(), hostedmetrics.HostedMetrics()
    process_usage = usage.ProcessUsage(usage.Traffic(), metrics)
    MutePeer.made = 0
    server = await loop.create_server(peer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    member = dataclasses.replace(
        requestfakes.MEMBERS[2], host='127.0.0.1', peer_port=port
    )
    async with links.Links(1, '127.0.0.1', metrics, process_usage) as sender:
        yield sender, member
    server.close()


async def run_request(peer, left_s, **changes):
    """Return a request's outcome, its duration and the connections."""
    now = clocks.read_boot_clock()
    async with open_sender(peer) as (sender, member):
        outcome = await route(sender, member, now + left_s, **changes)
    return outcome, clocks.read_boot_clock() - now, MutePeer.made


async def route(sender, member, deadline, upload=uploads.EMPTY, **changes):
    """Route a request to the member and return its outcome."""
    ports = requestfakes.make_ports(
        incarnation=-1,
        peers=sender,
        chooser=OneOwner(choosing.Chosen(requests.Candidate(member))),
        clock=clocks.read_boot_clock,
        lease=requestfakes.make_lease_view(owning.Lease(deadline)),
        waiter_limit=porting.WaiterLimit(100),
    )
    head = dataclasses.replace(requestfakes.HEAD, deadline=deadline, **changes)
    return await requestfakes.route(ports, head, upload)


class OneOwner(requestfakes.ScriptedChooser):
    """Chooses the only member, unless it was tried."""

    def __init__(self, chosen):
        super().__init__([])
        self._chosen = chosen

    async def ask(self, message):
        if isinstance(message, choosing.TakeRetry):
            return True
        tried = self._chosen.candidate.member.incarnation in message.tried
        return choosing.NoCandidate('tried') if tried else self._chosen


# Guards against requests that wait on a dead connection while new ones to the
# same member work, against abandoned late answers, and against a repeat of
# requests that are not repeatable. Rows: peer, changes of the request,
# outcome, (least, most) seconds, connections.
@pytest.mark.parametrize(
    ('peer', 'changes', 'outcome', 'within', 'made'),
    [
        pytest.param(
            *(MutePeer, {}, 'answer', (0.7, 1.1), 2),
            id='second connection answers',
        ),
        pytest.param(
            *(LatePeer, {}, 'answer', (1.0, 1.4), 2),
            id='first connection answers late',
        ),
        pytest.param(
            *(LatePeer, {'max_targets': 1}, 'answer', (1.0, 1.4), 1),
            id='route allows one attempt',
        ),
        pytest.param(
            *(LatePeer, {'repeatable': False}, 'answer', (1.0, 1.4), 1),
            id='once, answered late',
        ),
        pytest.param(
            *(DeadPeer, {}, 'lost unknown', (1.4, 2.2), 2),
            id='nobody answers',
        ),
        pytest.param(
            *(MutePeer, {'repeatable': False}, 'lost unknown', (1.4, 1.8), 1),
            id='once, not answered',
        ),
    ],
)
async def test_requests_on_a_silent_connection(
    peer, changes, outcome, within, made
):
    found, taken_s, connections = await run_request(peer, 1.5, **changes)
    assert (found, connections) == (outcome, made)
    assert within[0] <= taken_s <= within[1]


class PromptPeer(Peer):
    """Answers at once."""

    def handle_frame(self, frame) -> None:
        if isinstance(frame, linking.Work):
            self.send_frame(make_done(frame))


LOST = math.inf


# Guards against a member that is unreachable due to a lost SYN, against a slow
# line on which every attempt is abandoned before it succeeds, and against a
# connection for each request. Rows: duration of each attempt, concurrent
# requests, outcome, (least, most) seconds, and number of attempts.
@pytest.mark.parametrize(
    ('delays_s', 'count', 'outcome', 'within', 'made'),
    [
        pytest.param([0, 0], 1, 'answer', (0.0, 0.1), 1, id='at once'),
        pytest.param(
            [LOST, 0, 0], 1, 'answer', (0.14, 0.3), 2, id='first SYN lost'
        ),
        pytest.param(
            [LOST, 0, 0], 20, 'answer', (0.14, 0.3), 2, id='shared by all'
        ),
        pytest.param(
            [LOST, LOST, 0], 1, 'answer', (0.44, 0.6), 3, id='two SYNs lost'
        ),
        pytest.param(
            [0.8, 0.8, 0.8], 20, 'answer', (0.79, 1.1), 3, id='slow line'
        ),
        pytest.param(
            *([LOST] * 3, 1, 'no-target not-run', (1.3, 1.6), 3),
            id='nobody there',
        ),
    ],
)
async def test_slow_connections_are_shared_and_hedged(
    monkeypatch, delays_s, count, outcome, within, made
):
    loop, calls = asyncio.get_running_loop(), []
    connect = loop.create_connection

    async def delay(*args, **options):
        calls.append(args)
        await asyncio.sleep(min(60, delays_s[len(calls) - 1]))
        return await connect(*args, **options)

    monkeypatch.setattr(loop, 'create_connection', delay)
    started = clocks.read_boot_clock()
    async with open_sender(PromptPeer) as (sender, member):
        found = await asyncio.gather(
            *(route(sender, member, started + 1.5) for _ in range(count))
        )
    taken_s = clocks.read_boot_clock() - started
    assert set(found) == {outcome}
    assert len(calls) == made
    assert within[0] <= taken_s <= within[1]
    await asyncio.sleep(0.01)
    assert len(asyncio.all_tasks()) == 1


class Recorder(PromptPeer):
    """Records the requests that it received."""

    works = []

    def handle_frame(self, frame) -> None:
        if isinstance(frame, linking.Work):
            self.works.append(frame)
        super().handle_frame(frame)


# Guards against a target that replies after the caller's deadline because the
# time to connect was not subtracted. Rows: seconds to connect, and the maximum
# of milliseconds left for the target out of 1.0 s.
@pytest.mark.parametrize(('delay_s', 'left_ms'), [(0, 970), (0.3, 670)])
async def test_time_to_connect_is_counted(monkeypatch, delay_s, left_ms):
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def delay(*args, **options):
        await asyncio.sleep(delay_s)
        return await connect(*args, **options)

    monkeypatch.setattr(loop, 'create_connection', delay)
    monkeypatch.setattr(Recorder, 'works', [])
    async with open_sender(Recorder) as (sender, member):
        deadline = clocks.read_boot_clock() + 1.0
        assert await route(sender, member, deadline) == 'answer'
    assert [one.left_ms <= left_ms for one in Recorder.works] == [True]


# Guards against a request reported as possibly run, or abandoned if it is not
# repeatable, although it only reached a restarted node that the sender still
# knows by its former process. Rows: size of the body, changes.
@pytest.mark.parametrize('size', [0, links.LARGE_BODY_BYTES])
@pytest.mark.parametrize('repeatable', [False, True])
async def test_restarted_node_refuses_work_for_its_former_process(
    size, repeatable
):
    former = requestfakes.MEMBERS[2].incarnation
    ports = linkserver.ServerPorts(former + 100, b'', None, None)
    async with open_sender(lambda: linkserver.LinkServer(ports)) as (
        sender,
        member,
    ):
        deadline = clocks.read_boot_clock() + 0.3
        found = await route(
            sender,
            member,
            deadline,
            uploads.Upload(bytes(size)),
            repeatable=repeatable,
        )
    assert found == 'no-target not-run'


COPY = registry.TopicCopy(9, {'routes': registry.TopicItem(8, bytes(250_000))})
PIECES = 6


class SlowPeer(MutePeer):
    """Sends a copy in pieces, and all other replies at once."""

    pieces = PIECES
    pause_s = 0.0

    def handle_frame(self, frame) -> None:
        if isinstance(frame, linking.Work):
            self.send_frame(make_done(frame))
        elif isinstance(frame, linking.CopyQuestion):
            self._send_pieces(linking.CopyReply(frame.id, COPY, 0.0))

    def _send_pieces(self, frame) -> None:
        data = framing.ENCODER.encode(frame)
        data = framing.LENGTH.pack(len(data)) + data
        size = -(-len(data) // PIECES)
        for place in range(self.pieces):
            asyncio.get_running_loop().call_later(
                place * self.pause_s,
                self.transport.write,
                data[place * size : (place + 1) * size],
            )


async def ask_copy(sender, member):
    """Return the end of a member's copy, None if the call fails."""
    try:
        reply = await sender.ask(member, registry.GetCopy('routes', 5))
    except errors.PeerUnavailable:
        return None
    return reply.body.end


# Guards against a copy that never arrives over a slow line, since the transfer
# is aborted and restarted, and against an endless wait. Rows: pieces sent out
# of six, seconds between them, end of the copy, (least, most) seconds.
@pytest.mark.parametrize(
    ('pieces', 'pause_s', 'end', 'within'),
    [
        pytest.param(6, 0.0, 9, (0.0, 0.2), id='at once'),
        pytest.param(6, 0.4, 9, (1.9, 2.3), id='slow line'),
        pytest.param(0, 0.0, None, (1.1, 1.4), id='silent'),
        pytest.param(2, 0.1, None, (1.1, 2.6), id='stops half-way'),
    ],
)
async def test_copy_is_waited_for_while_it_arrives(
    pieces, pause_s, end, within
):
    peer = type('Pieces', (SlowPeer,), {'pieces': pieces, 'pause_s': pause_s})
    async with open_sender(peer) as (sender, member):
        started = clocks.read_boot_clock()
        found = await ask_copy(sender, member)
        taken_s = clocks.read_boot_clock() - started
    assert found == end
    assert within[0] <= taken_s <= within[1]


async def test_copy_transfer_delays_no_request():
    """Guards against small frames delayed by a copy of a topic."""
    peer = type('Pieces', (SlowPeer,), {'pause_s': 0.15})
    async with open_sender(peer) as (sender, member):
        asking = asyncio.ensure_future(ask_copy(sender, member))
        await asyncio.sleep(0.1)
        started = clocks.read_boot_clock()
        assert await route(sender, member, started + 0.5) == 'answer'
        assert clocks.read_boot_clock() - started < 0.2
        assert MutePeer.made == 2
        assert await asking == 9


REFUSAL_S = 0.02


async def refuse_late(_head, _body):
    """Refuse a request late, like a stopping node."""
    await asyncio.sleep(REFUSAL_S)
    return porting.refuse(requests.Code.STOPPING, 'stops', retry_after_s=0.1)


# Guards against requests reported as possibly run because they were in transit
# when a node ended after a planned stop. Rows: seconds between requests.
@pytest.mark.parametrize('pause_s', [0.0005, 0.003, 0.05])
async def test_planned_stop_loses_no_request_in_transit(pause_s):
    loop, metrics = asyncio.get_running_loop(), hostedmetrics.HostedMetrics()
    former = requestfakes.MEMBERS[2].incarnation
    ports = linkserver.ServerPorts(former, b'', refuse_late, None)
    server = await loop.create_server(
        lambda: linkserver.LinkServer(ports), '127.0.0.1', 0
    )
    member = dataclasses.replace(
        requestfakes.MEMBERS[2],
        host='127.0.0.1',
        peer_port=server.sockets[0].getsockname()[1],
    )
    process_usage = usage.ProcessUsage(usage.Traffic(), metrics)

    async def stop():
        await asyncio.sleep(0.1)
        server.close()
        ends = asyncio.get_running_loop().time() + linkserver.CLOSE_GRACE_S
        await linkserver.close_connections(ports, ends)
        for one in list(ports.connections):
            one.transport.abort()

    async with links.Links(1, '127.0.0.1', metrics, process_usage) as sender:
        running = [asyncio.ensure_future(stop())]
        ends = loop.time() + 0.3
        while loop.time() < ends:
            deadline = clocks.read_boot_clock() + 0.25
            running.append(
                asyncio.ensure_future(
                    route(sender, member, deadline, repeatable=False)
                )
            )
            await asyncio.sleep(pause_s)
        _, *found = await asyncio.gather(*running)
    assert set(found) <= {'stopping not-run', 'no-target not-run'}
    assert not ports.connections


@pytest.mark.parametrize('size', [0, links.LARGE_BODY_BYTES])
async def test_connection_closed_at_once_has_run_nothing(monkeypatch, size):
    """Guards against a request that waits for a reply until its deadline.

    The connection is closed after it opens but before the request is sent.
    """
    async with open_sender(PromptPeer) as (sender, member):
        opening = sender._open

        async def open_and_lose(member, key):
            link = await opening(member, key)
            link.transport.abort()
            return link

        monkeypatch.setattr(sender, '_open', open_and_lose)
        found = await route(
            sender,
            member,
            clocks.read_boot_clock() + 0.3,
            uploads.Upload(bytes(size)),
            repeatable=False,
        )
    assert found == 'no-target not-run'
