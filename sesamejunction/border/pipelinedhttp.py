"""HTTP/1.1 server whose connections run pipelined requests side by side."""

import asyncio
import collections.abc
import dataclasses
import http

import eliot
import httptools
import multidict

from sesamejunction.border import httpclient
from sesamejunction.decisions import pipelines
from sesamejunction import errors

# A connection without an open request is closed after this time. Callers
# reuse connections that were idle for up to 12 s.
IDLE_TIMEOUT_S = 75.0
# Bytes of a body that are taken from the caller before its request starts.
MAX_UNSTARTED_BODY_BYTES = 1 << 16
# The rest of a body whose request is already answered is read and dropped if
# it is at most this long and arrives within this time. Otherwise the
# connection closes.
MAX_DROPPED_BYTES = 1 << 20
DROP_TIMEOUT_S = 10.0
# After the last answer, bytes of the caller are read for this time. Closing
# with unread bytes would reset the connection and could destroy the answer.
LINGER_S = 1.0
# Replies of at least this size are written in parts, each when the line has
# room for it; smaller ones take up to 0.05 s at 10 Mbit/s.
LARGE_REPLY_BYTES = 1 << 16
REPLY_PART_BYTES = 1 << 15
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
VERSIONS = ('1.1', '1.0')
BODILESS_STATUSES = frozenset((204, 304))
PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReply:
    """An answer to a caller; lengths and connection fields are added.

    ``rank`` and ``deadline`` order the parts of large replies on the line.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    rank: int = 0
    deadline: float = float('inf')


@dataclasses.dataclass(slots=True)
class ServerPorts:
    """Dependencies of the connections.

    ``handle`` is a coroutine that returns the CallerReply to a CallerRequest.
    ``is_repeatable`` returns whether a CallerRequest may run more than once,
    ``is_stopping`` whether the node stops, ``find_head_limit`` the most bytes
    of a request head. ``clock`` is that of request deadlines. ``line`` paces
    large replies (commands/largeanswers.CallerLine); None writes them whole.
    """

    handle: collections.abc.Callable
    is_repeatable: collections.abc.Callable
    is_stopping: collections.abc.Callable
    find_head_limit: collections.abc.Callable
    clock: collections.abc.Callable
    connections: set = dataclasses.field(default_factory=set)
    line: object = None


class CallerRequest:
    """A request whose head has arrived.

    ``headers`` maps names, in any case, to values; ``raw_headers`` has the
    fields as they were sent. ``arrived_at`` is the time of the head.
    """

    def __init__(self, method, raw_path, raw_headers, arrived_at):
        self.method = method
        self.raw_path = raw_path
        self.raw_headers = raw_headers
        self.headers = multidict.CIMultiDict(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in raw_headers
        )
        self.arrived_at = arrived_at
        self.content_length = None
        self.is_complete = False
        # Called when the body is wanted, to ask the caller for it.
        self.on_body_wanted = None
        self._chunks = []
        self.buffered_bytes = 0
        self._limit = None
        self._is_dropped = False
        self._error = None
        self._arrived = None

    @property
    def body_exists(self) -> bool:
        """Return whether the head announces a body."""
        return self.content_length != 0

    @property
    def bytes_left(self) -> float:
        """Return how many bytes of the body are still to come."""
        if self.is_complete:
            return 0
        if self.content_length is None:
            return float('inf')
        return self.content_length - self.buffered_bytes

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises UploadTooLarge beyond ``limit`` bytes, and UploadAborted if the
        caller sends something that is no body.
        """
        self._limit = limit
        if not self.is_complete and self.buffered_bytes <= limit:
            self._arrived = asyncio.get_running_loop().create_future()
            if self.on_body_wanted is not None:
                self.on_body_wanted()
            if self._error is None:
                await self._arrived
        if self._error is not None:
            raise self._error
        if self.buffered_bytes > limit:
            raise errors.UploadTooLarge(
                f'the body has more than {limit} bytes; send less'
            )
        return b''.join(self._chunks)

    def add_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self.buffered_bytes += len(data)
        if self._is_dropped:
            return
        self._chunks.append(data)
        if self._limit is not None and self.buffered_bytes > self._limit:
            self._release()

    def complete(self) -> None:
        """Record that the body has ended."""
        self.is_complete = True
        self._release()

    def fail(self, error: errors.UploadAborted) -> None:
        """Record that the rest of the body cannot be read."""
        self._error = error
        self._release()

    def drop_body(self) -> None:
        """Keep nothing of the body, which is no longer needed."""
        self._is_dropped = True
        self._chunks.clear()

    def _release(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request with its handler's task, and its reply once there is one."""

    request: CallerRequest
    is_http_11: bool
    keeps_alive: bool
    # The caller sends the body only when asked for it.
    awaits_continue: bool = False
    is_body_wanted: bool = False
    task: asyncio.Task | None = None
    reply: CallerReply | None = None


class Connection(asyncio.Protocol):
    """One connection of a caller.

    ``decisions/pipelines`` decides what starts and what is sent.
    """

    def __init__(self, ports: ServerPorts):
        self._ports = ports
        self._parser = httptools.HttpRequestParser(self)
        self._pipeline = pipelines.Pipeline()
        self._exchanges = {}
        self._next_number = 0
        self._transport = None
        # The exchange whose message is being received.
        self._receiving = None
        self._path = bytearray()
        self._raw_headers = []
        self._head_bytes = 0
        # Bytes since the latest complete head, part of a body or message.
        self._unparsed_bytes = 0
        self._input_ended = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        # The task that writes a large reply in parts, and the future that it
        # waits for while the caller does not read.
        self._parts_task = None
        self._writable = None
        self._idle_since = 0.0
        self._idle_timer = None
        self._drop_timer = None

    def connection_made(self, transport):
        """Register the connection, so that it is closed on shutdown."""
        self._transport = transport
        self._ports.connections.add(self)
        loop = asyncio.get_running_loop()
        self._idle_since = loop.time()
        self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self._check_idle)

    def connection_lost(self, exc):
        """Cancel all requests: their answers cannot be sent."""
        self._input_ended = True
        if self._parts_task is not None:
            self._parts_task.cancel()
        self._ports.connections.discard(self)
        self._idle_timer.cancel()
        if self._drop_timer is not None:
            self._drop_timer.cancel()
        for exchange in self._exchanges.values():
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def pause_writing(self):
        """Hold further answers: the caller does not read."""
        self._is_writing_paused = True

    def resume_writing(self):
        """Send the answers that were held."""
        self._is_writing_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._advance()
        self._update_reading()

    def data_received(self, data):
        """Parse the bytes of a caller."""
        if self._input_ended:
            return
        self._unparsed_bytes += len(data)
        while data and not self._input_ended:
            try:
                self._parser.feed_data(data)
                break
            except httptools.HttpParserUpgrade as upgrade:
                # No other protocol is spoken here, so the request is one of
                # HTTP/1.1 and others may follow it.
                self._parser = httptools.HttpRequestParser(self)
                data = data[upgrade.args[0] :]
            except httptools.HttpParserError as error:
                # After a request that ends the input, the parser rejects
                # whatever follows.
                if not self._input_ended:
                    self._fail_input(400, f'the request is malformed: {error}')
                break
        limit = self._ports.find_head_limit() + MAX_UNSTARTED_BODY_BYTES
        if not self._input_ended and self._unparsed_bytes > limit:
            self._fail_input(431, 'the head or trailer is too long')
        self._update_reading()

    def on_message_begin(self):
        """Begin a message; called by the parser, as the following ones."""
        self._path.clear()
        self._raw_headers = []
        self._head_bytes = 0

    def on_url(self, url):
        """Add a part of the request target."""
        self._path += url
        self._head_bytes += len(url)

    def on_header(self, name, value):
        """Add a header field; fields behind the body are ignored."""
        if self._receiving is None and not self._input_ended:
            self._raw_headers.append((name, value.rstrip(b' \t')))
            self._head_bytes += len(name) + len(value)

    def on_headers_complete(self):
        """Add the request to the pipeline."""
        if self._input_ended:
            return
        parser = self._parser
        self._unparsed_bytes = 0
        version = parser.get_http_version()
        request = CallerRequest(
            parser.get_method().decode('latin-1'),
            self._path.decode('latin-1'),
            self._raw_headers,
            self._ports.clock(),
        )
        refusal = self._find_head_refusal(request, version)
        if refusal is not None:
            self._fail_input(*refusal)
            return
        headers = request.headers
        if 'Transfer-Encoding' not in headers:
            request.content_length = int(headers.get('Content-Length', 0))
        exchange = Exchange(
            request,
            version == '1.1',
            parser.should_keep_alive(),
            headers.get('Expect', '').lower() == '100-continue',
        )
        request.on_body_wanted = lambda: self._request_body(exchange)
        self._receiving = exchange
        self._add_exchange(exchange, self._ports.is_repeatable(request))
        self._advance()

    def on_body(self, data):
        """Add a part of the body."""
        self._unparsed_bytes = 0
        if self._receiving is not None:
            self._receiving.awaits_continue = False
            self._receiving.request.add_data(data)

    def on_message_complete(self):
        """Complete the body of the request."""
        exchange, self._receiving = self._receiving, None
        self._unparsed_bytes = 0
        if exchange is None:
            return
        exchange.request.complete()
        if self._drop_timer is not None:
            self._drop_timer.cancel()
            self._drop_timer = None
        if not exchange.keeps_alive:
            self._input_ended = True

    def _find_head_refusal(self, request, version):
        """Return status and reason if the head is invalid, otherwise None."""
        if version not in VERSIONS:
            return 400, f'the version {version} of HTTP is not supported'
        if len(request.headers.getall('Host', ())) > 1:
            return 400, 'the request has several hosts'
        if self._head_bytes > self._ports.find_head_limit():
            return 431, 'the head is too long'
        return None

    def _add_exchange(self, exchange, is_repeatable) -> int:
        number = self._next_number
        self._next_number += 1
        self._exchanges[number] = exchange
        self._pipeline.add(number, is_repeatable)
        return number

    def _fail_input(self, status, reason) -> None:
        """Read no further requests.

        A request whose body is being received fails. Otherwise the refusal
        takes the place of the request that cannot be read.
        """
        self._input_ended = True
        receiving, self._receiving = self._receiving, None
        if receiving is not None:
            receiving.keeps_alive = False
            receiving.request.fail(errors.UploadAborted(reason))
            return
        eliot.log_message('caller: input refused', status=status, why=reason)
        request = CallerRequest('', '', (), self._ports.clock())
        request.content_length = 0
        request.complete()
        exchange = Exchange(request, True, False)
        number = self._add_exchange(exchange, False)
        exchange.reply = CallerReply(status, (), f'{reason}\n'.encode())
        self._pipeline.finish(number, len(exchange.reply.body), True)
        self._advance()

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
            reply = await self._ports.handle(request)
        except Exception as error:
            # The caller gets an answer in any case; a fault of this process
            # must not look like a lost connection.
            eliot.log_message('caller: internal error', error=repr(error))
            reply = CallerReply(500, (), b'internal error\n')
        if number not in self._exchanges:
            return
        exchange.reply, exchange.task = reply, None
        must_close = not exchange.keeps_alive
        if not request.is_complete:
            request.drop_body()
            must_close = (
                must_close
                or exchange.awaits_continue
                or request.bytes_left > MAX_DROPPED_BYTES
            )
            if not must_close:
                self._drop_timer = asyncio.get_running_loop().call_later(
                    DROP_TIMEOUT_S, self.abort
                )
        self._pipeline.finish(number, len(reply.body), must_close)
        self._advance()
        self._update_reading()

    def _send(self, sendable: pipelines.Sendable) -> bool:
        """Write an answer; return whether the next one may follow now."""
        exchange = self._exchanges.pop(sendable.number)
        for number in sendable.dropped:
            del self._exchanges[number]
        data = encode_reply(
            exchange.reply, sendable.closes, not exchange.is_http_11
        )
        if self._ports.line is None or len(data) < LARGE_REPLY_BYTES:
            self._transport.write(data)
            return self._finish_answer(exchange, sendable.closes)
        self._parts_task = asyncio.ensure_future(
            self._send_parts(memoryview(data), exchange, sendable.closes)
        )
        return False

    async def _send_parts(self, data, exchange, closes) -> None:
        """Write a large answer, each part when the line has room for it."""
        line = self._ports.line
        rank, deadline = exchange.reply.rank, exchange.reply.deadline
        # ``data`` contains the body, which is not kept twice.
        exchange.reply = None
        number = line.begin(len(data), rank, deadline)
        try:
            for start in range(0, len(data), REPLY_PART_BYTES):
                part = data[start : start + REPLY_PART_BYTES]
                if self._is_writing_paused:
                    loop = asyncio.get_running_loop()
                    self._writable = loop.create_future()
                    await self._writable
                await line.grant(len(part), rank, deadline, number)
                self._transport.write(part)
        except BaseException:
            # The caller must not take a part for the whole answer.
            self.abort()
            raise
        finally:
            line.end(number)
        self._parts_task = None
        if self._finish_answer(exchange, closes):
            self._advance()
            self._update_reading()

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

    def _close_gracefully(self, is_all_read: bool) -> None:
        """Close after the answer; wait for a caller that still sends."""
        is_all_read = is_all_read and not self._receiving
        self._input_ended = True
        if is_all_read:
            self._transport.close()
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.abort)

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
            self._transport.write(CONTINUE)

    def _update_reading(self) -> None:
        """Pause or resume reading, as the bounds of the connection demand."""
        if self._transport.is_closing() or self._input_ended:
            return
        receiving = self._receiving
        if receiving is None:
            must_pause = self._pipeline.must_pause
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

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        due = self._idle_since + IDLE_TIMEOUT_S
        if self._exchanges or self._parts_task is not None:
            due = loop.time() + IDLE_TIMEOUT_S
        elif loop.time() >= due:
            self._transport.close()
            return
        self._idle_timer = loop.call_at(due, self._check_idle)


class CallerServer:
    """Listens for callers and owns their connections."""

    def __init__(self, ports: ServerPorts):
        self._ports = ports
        self._listener = None

    async def start(self, host: str, port: int, backlog: int) -> None:
        """Listen at an address."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self._ports),
            sock=httpclient.bind_listener(host, port),
            backlog=backlog,
        )

    async def stop(self) -> None:
        """Refuse new connections; the open ones go on."""
        self._listener.close()

    async def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for connection in list(self._ports.connections):
            connection.abort()


def encode_reply(
    reply: CallerReply, closes: bool, is_http_10: bool = False
) -> bytes:
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {reply.status} {PHRASES.get(reply.status, "")}']
    has_type = False
    for name, value in reply.headers:
        has_type = has_type or name.lower() == 'content-type'
        lines.append(f'{name}: {value}')
    body = reply.body
    if reply.status in BODILESS_STATUSES:
        body = b''
    else:
        if body and not has_type:
            lines.append('Content-Type: application/octet-stream')
        lines.append(f'Content-Length: {len(body)}')
    if closes:
        lines.append('Connection: close')
    elif is_http_10:
        lines.append('Connection: keep-alive')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + body
