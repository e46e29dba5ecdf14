"""HTTP/1.1 server whose connections run pipelined requests side by side."""

import asyncio
import collections.abc
import dataclasses
import socket

import eliot

from sesamejunction.border import callerinput
from sesamejunction.border import callermessages
from sesamejunction.border import clients
from sesamejunction.border import delivery
from sesamejunction.border import httpclient
from sesamejunction.border import sendqueues
from sesamejunction.decisions import clientbudget
from sesamejunction.decisions import pipelines
from sesamejunction.decisions import timers
from sesamejunction.model import routing

CallerReply = callermessages.CallerReply
CallerRequest = callermessages.CallerRequest

# Bytes of a body that are taken from the caller before its request starts.
MAX_UNSTARTED_BODY_BYTES = 1 << 16
# The rest of a body whose request is already answered is read and dropped if
# it is at most this long and arrives within this time. Otherwise the
# connection closes.
MAX_DROPPED_BYTES = 1 << 20
DROP_TIMEOUT_S = 10.0
# Once the last answer has arrived, a caller that still sends a body is read
# for this time. Closing with unread bytes would reset the connection, and the
# caller could lose the answer.
LINGER_S = 1.0
# Replies of at least this size are written in parts, each when the line has
# room for it; smaller ones take up to 0.05 s at 10 Mbit/s.
LARGE_REPLY_BYTES = 1 << 16
REPLY_PART_BYTES = 1 << 15
# Send buffer of each socket; the kernel doubles it. Without it the kernel took
# 2.8 MB of an answer that a caller did not read, which no limit counted.
SEND_BUFFER_BYTES = 1 << 17


@dataclasses.dataclass(slots=True)
class ServerPorts:
    """Dependencies of the connections.

    ``handle`` is a coroutine that returns the CallerReply to a CallerRequest.
    ``is_repeatable`` returns whether a CallerRequest may run more than once,
    ``is_stopping`` whether the node stops, ``find_head_limit`` the most bytes
    of a request head. ``clock`` is that of request deadlines.
    ``find_limits`` returns the routing.Limits with the times of heads and of
    idle connections. ``clients`` counts what the connections hold. ``line``
    paces large replies (commands/largeanswers.CallerLine); None writes them
    whole.
    """

    handle: collections.abc.Callable
    is_repeatable: collections.abc.Callable
    is_stopping: collections.abc.Callable
    find_head_limit: collections.abc.Callable
    clock: collections.abc.Callable
    find_limits: collections.abc.Callable = routing.Limits
    clients: object = dataclasses.field(default_factory=clients.build_clients)
    connections: set = dataclasses.field(default_factory=set)
    line: object = None


class Connection(callerinput.CallerInput):
    """One connection of a caller.

    ``decisions/pipelines`` decides what starts and what is sent.
    """

    def __init__(self, ports: ServerPorts):
        super().__init__(ports)
        self._pipeline = pipelines.Pipeline()
        self._exchanges = {}
        self._next_number = 0
        self._is_writing_paused = False
        # The task that writes a large reply in parts, and the future that it
        # waits for while the caller does not read.
        self._parts_task = None
        self._writable = None
        # Memory that is counted for answers which the socket has not taken.
        self._unsent_held = 0
        self._delivery = None
        self._send_queue = None
        self._idle_since = 0.0
        self._idle_timer = None
        self._drop_timer = None

    def connection_made(self, transport):
        """Register the connection, so that it is closed on shutdown."""
        self._transport = transport
        self._delivery = delivery.Delivery(transport, self._cut_unread)
        # The protocol is told as soon as bytes wait in this process.
        transport.set_write_buffer_limits(0)
        self._ports.connections.add(self)
        loop = asyncio.get_running_loop()
        self._idle_since = loop.time()
        self._idle_timer = loop.call_later(
            self._ports.find_limits().idle_s, self._check_idle
        )
        self.holder = self._ports.clients.enter(
            self, clientbudget.Kind.CALLER, transport
        )
        self._send_queue = sendqueues.SendQueue(
            transport,
            self._ports.clients,
            self.holder,
            2 * SEND_BUFFER_BYTES,
        )

    def connection_lost(self, exc):
        """Cancel all requests: their answers cannot be sent."""
        self._release()

    @property
    def is_answering(self) -> bool:
        """Return whether a close now could cost the caller an answer.

        An answer counts until the caller's system has acknowledged its last
        byte, and while the rest of an upload behind it is read.
        """
        return (
            bool(self._exchanges)
            or self._parts_task is not None
            or self._drop_timer is not None
            or self._delivery.is_pending
        )

    def cut(self) -> None:
        """Close the connection at once and free what is held for it."""
        clients.reset(self._transport)
        self._release()

    def _release(self) -> None:
        """Free all memory without waiting for a collection of cycles."""
        self._input_ended = True
        parts_task, self._parts_task = self._parts_task, None
        if parts_task is not None:
            parts_task.cancel()
        self._ports.connections.discard(self)
        self._ports.clients.leave(self.holder)
        self.cancel_head_timer()
        self.end_dropping()
        self._delivery.release()
        if self._send_queue is not None:
            self._send_queue.release()
        self._idle_timer.cancel()
        exchanges, self._exchanges = self._exchanges, {}
        for exchange in exchanges.values():
            exchange.request.drop()
            # A cancelled task keeps a traceback that refers to the exchange.
            task, exchange.task = exchange.task, None
            if task is not None:
                task.cancel()
        self._receiving = None
        self._raw_headers = []
        self._path = bytearray()
        # The parser refers to the connection.
        self._parser = None

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def pause_writing(self):
        """Hold further answers: the caller does not read."""
        self._is_writing_paused = True
        self._delivery.watch()

    def resume_writing(self):
        """Send the answers that were held."""
        self._is_writing_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._delivery.unwatch()
        unsent, self._unsent_held = self._unsent_held, 0
        self._ports.clients.hold(self.holder, -unsent)
        if self._parts_task is None:
            # A part that was taken is no progress: only a whole answer is.
            self._note_progress()
        self._advance()
        self.update_reading()

    def add_exchange(self, exchange) -> None:
        """Add a request to the pipeline."""
        request = exchange.request
        request.on_body_wanted = lambda: self._request_body(exchange)
        self._add(exchange, self._ports.is_repeatable(request))
        self._note_progress()
        self._advance()

    def refuse_input(self, status: int, reason: str) -> None:
        """Answer in the place of a request that is not read."""
        reply = CallerReply(status, (), f'{reason}\n'.encode())
        if status == callermessages.BUSY_REPLY.status:
            reply = callermessages.BUSY_REPLY
        request = CallerRequest('', '', (), self._ports.clock())
        request.content_length = 0
        request.complete()
        exchange = callermessages.Exchange(request, True, False)
        number = self._add(exchange, False)
        exchange.reply = reply
        self._pipeline.finish(number, len(reply.body), True)
        self._advance()

    def _add(self, exchange, is_repeatable) -> int:
        number = self._next_number
        self._next_number += 1
        self._exchanges[number] = exchange
        self._pipeline.add(number, is_repeatable)
        return number

    def _note_progress(self) -> None:
        is_busy = (
            bool(self._exchanges)
            or self._is_writing_paused
            or self._parts_task is not None
        )
        self._ports.clients.note_progress(self.holder, is_busy)

    def _advance(self) -> None:
        """Start and send what the pipeline allows."""
        if self._transport.is_closing():
            return
        is_stopping = self._ports.is_stopping()
        while True:
            for number in self._pipeline.take_startable(is_stopping):
                exchange = self._exchanges[number]
                exchange.task = asyncio.ensure_future(
                    self._run(number, exchange)
                )
            if self._is_writing_paused or self._parts_task is not None:
                return
            sendable = self._pipeline.take_sendable(is_stopping)
            if sendable is None or not self._send(sendable):
                return

    async def _run(self, number, exchange) -> None:
        request = exchange.request
        try:
            reply = await self._handle(request)
        except Exception as error:
            # The caller gets an answer in any case; a fault of this process
            # must not look like a lost connection.
            eliot.log_message('caller: internal error', error=repr(error))
            reply = CallerReply(500, (), b'internal error\n')
        if number not in self._exchanges:
            return
        exchange.reply, exchange.task = reply, None
        must_close = not exchange.keeps_alive
        request.drop()
        if not request.is_complete:
            must_close = (
                must_close
                or exchange.awaits_continue
                or request.bytes_left > MAX_DROPPED_BYTES
            )
            if not must_close:
                self._drop_timer = asyncio.get_running_loop().call_later(
                    DROP_TIMEOUT_S, self._give_up_body
                )
        self.hold_for(exchange, len(reply.body))
        if number not in self._exchanges:
            # The answer was more than the process may hold.
            return
        self._pipeline.finish(number, len(reply.body), must_close)
        self._advance()
        self.update_reading()

    async def _handle(self, request) -> CallerReply:
        """Run a request, unless the node holds too much for its caller."""
        # A body that is too large is refused as such by the handler; what has
        # arrived of a body is counted already.
        wanted = min(
            request.bytes_left if request.content_length else 0,
            self._ports.find_limits().body_bytes,
        )
        if self._ports.clients.must_refuse(self.holder, wanted):
            self._ports.clients.record_refusal(self.holder, 'busy')
            return callermessages.BUSY_REPLY
        return callermessages.check_status(await self._ports.handle(request))

    def _send(self, sendable: pipelines.Sendable) -> bool:
        """Write an answer; return whether the next one may follow now."""
        exchange = self._exchanges.pop(sendable.number)
        for number in sendable.dropped:
            dropped = self._exchanges.pop(number)
            dropped.request.drop()
            self.hold_for(dropped, 0)
        reply = exchange.reply
        is_small = (
            len(reply.body) < LARGE_REPLY_BYTES
            or reply.status in callermessages.BODILESS_STATUSES
        )
        if self._ports.line is None or is_small:
            self._write_reply(exchange, sendable.closes)
            return self._finish_answer(exchange, sendable.closes)
        if sendable.closes:
            # The caller sends what follows again, so none of it may run.
            self._input_ended = True
        self._parts_task = asyncio.ensure_future(
            self._send_parts(exchange, sendable.closes)
        )
        return False

    async def _send_parts(self, exchange, closes) -> None:
        """Write a large answer, each part when the line has room for it."""
        line, reply = self._ports.line, exchange.reply
        number = line.begin(len(reply.body), reply.rank, reply.deadline)
        try:
            self._transport.write(self._encode_head(exchange, closes))
            body = memoryview(reply.body)
            for start in range(0, len(body), REPLY_PART_BYTES):
                part = body[start : start + REPLY_PART_BYTES]
                await self._wait_until_writable()
                await line.grant(len(part), reply.rank, reply.deadline, number)
                self._transport.write(part)
                self._send_queue.add(len(part))
            # The body is in memory until the socket has taken its last byte.
            await self._wait_until_writable()
        except BaseException:
            # The caller must not take a part for the whole answer.
            self.abort()
            raise
        finally:
            line.end(number)
        self._parts_task = None
        self._settle_held(exchange)
        if self._finish_answer(exchange, closes):
            self._advance()
            self.update_reading()

    async def _wait_until_writable(self) -> None:
        if self._is_writing_paused:
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable

    def _finish_answer(self, exchange, closes) -> bool:
        """Note a written answer; return whether another may follow."""
        if not self._exchanges:
            self._idle_since = asyncio.get_running_loop().time()
        if closes:
            self._close_gracefully(exchange.request.is_complete)
            return False
        if self._input_ended and not self._exchanges:
            # What follows an early answer cannot be read.
            self._close_gracefully(False)
            return False
        self._send_continue()
        return True

    def _encode_head(self, exchange, closes) -> bytes:
        return callermessages.encode_reply_head(
            exchange.reply, closes, not exchange.is_http_11
        )

    def _write_reply(self, exchange, closes) -> None:
        """Write a whole answer."""
        reply = exchange.reply
        parts = [self._encode_head(exchange, closes)]
        if reply.body and reply.status not in callermessages.BODILESS_STATUSES:
            parts.append(reply.body)
        self._transport.writelines(parts)
        self._settle_held(exchange)
        self._send_queue.add(sum(map(len, parts)))

    def _settle_held(self, exchange) -> None:
        """Stop counting an answer once the socket has taken it."""
        if self._is_writing_paused:
            # The socket's buffer keeps the whole body until its last byte is
            # taken.
            self._unsent_held += exchange.held
        else:
            self.hold_for(exchange, 0)
            self._note_progress()

    def _close_gracefully(self, is_all_read: bool) -> None:
        """Close once the answers have arrived; read what is still sent."""
        is_all_read = is_all_read and not self._receiving
        self._input_ended = True
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()
        self._delivery.end(0.0 if is_all_read else LINGER_S)

    def _request_body(self, exchange) -> None:
        exchange.is_body_wanted = True
        self._send_continue()

    def _send_continue(self) -> None:
        """Ask for the body of the first request, in the order of answers."""
        exchange = next(iter(self._exchanges.values()), None)
        if (
            exchange is not None
            and exchange.awaits_continue
            and exchange.is_body_wanted
            and exchange.reply is None
            and self._parts_task is None
        ):
            exchange.awaits_continue = False
            self._transport.write(callermessages.CONTINUE)

    def update_reading(self) -> None:
        """Pause or resume reading, as the bounds of the connection demand."""
        if self._transport.is_closing() or self._input_ended:
            return
        receiving = self._receiving
        if receiving is None:
            must_pause = (
                self._pipeline.must_pause
                or self._ports.clients.must_pause(self.holder)
            )
        else:
            # The body of a request that runs or is answered must arrive.
            must_pause = (
                receiving.task is None
                and receiving.reply is None
                and receiving.request.buffered_bytes
                >= MAX_UNSTARTED_BODY_BYTES
            )
        if must_pause != self._is_reading_paused:
            self._is_reading_paused = must_pause
            if must_pause:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def end_dropping(self) -> None:
        """Stop waiting for the rest of a body."""
        if self._drop_timer is not None:
            self._drop_timer.cancel()
            self._drop_timer = None

    def _give_up_body(self) -> None:
        """Close the connection if an answered upload does not end in time."""
        self._drop_timer = None
        self._input_ended = True
        if not self._exchanges and self._parts_task is None:
            self._close_gracefully(False)

    def _cut_unread(self) -> None:
        """Close the connection of a caller that reads no answer."""
        self._ports.clients.record_refusal(self.holder, 'unread')
        self.cut()

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        idle_s = self._ports.find_limits().idle_s
        due = self._idle_since + idle_s
        is_open = (
            self._exchanges
            or self._is_writing_paused
            or self._parts_task is not None
        )
        if is_open or self._head_timer is not None:
            due = loop.time() + idle_s
        elif loop.time() >= due:
            self._close_gracefully(True)
            return
        self._idle_timer = loop.call_later(
            timers.round_up(due - loop.time()), self._check_idle
        )


class CallerServer:
    """Listens for callers and owns their connections."""

    def __init__(self, ports: ServerPorts):
        self._ports = ports
        self._listener = None

    async def start(self, host: str, port: int, backlog: int) -> None:
        """Listen at an address."""
        sock = httpclient.bind_listener(host, port)
        # Accepted sockets inherit it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self._ports),
            sock=sock,
            backlog=backlog,
        )

    async def stop(self) -> None:
        """Refuse new connections; the open ones go on."""
        self._listener.close()

    @property
    def is_answering(self) -> bool:
        """Return whether a caller has not received all of its answers."""
        return any(
            connection.is_answering for connection in self._ports.connections
        )

    def count_answering(self) -> int:
        """Return the number of connections with answers on their way."""
        return sum(
            connection.is_answering for connection in self._ports.connections
        )

    async def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for connection in list(self._ports.connections):
            connection.abort()
