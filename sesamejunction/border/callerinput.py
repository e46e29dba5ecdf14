"""Reads the requests on one connection of a caller."""

import asyncio

import httptools

from sesamejunction.border import callermessages
from sesamejunction.border import clients

VERSIONS = ('1.1', '1.0')
# Bytes beyond the limit of a head that a message may have outside of bodies:
# line ends and spaces, which do not count as parts of the head.
HEAD_SLACK_BYTES = 1 << 12
# Bytes of chunk lines in one body. The size of the body is added 16 times,
# since a chunk of one byte has five bytes besides it.
MAX_FRAMING_BYTES = 1 << 16
FRAMING_RATIO = 16
# The colon and the shortest line end, which the parser does not report. With
# more, a head of legal size would be refused.
LINE_END_BYTES = 2


class CallerInput(asyncio.Protocol):
    """Turns bytes into requests; the subclass runs and answers them.

    ``holder`` counts the memory that the connection takes.
    """

    def __init__(self, ports):
        self._ports = ports
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self.holder = None
        # The exchange whose message is being received.
        self._receiving = None
        self._path = bytearray()
        self._raw_headers = []
        self._is_in_head = False
        self._head_bytes = 0
        # Memory that is counted for the head being received.
        self._head_held = 0
        # Bytes since the latest complete head, part of a body or message.
        self._unparsed_bytes = 0
        # Bytes of the present body's chunk lines.
        self._framing_bytes = 0
        self._input_ended = False
        self._is_reading_paused = False
        self._head_timer = None

    def add_exchange(self, exchange) -> None:
        """Take a request whose head is complete."""
        raise NotImplementedError

    def refuse_input(self, status: int, reason: str) -> None:
        """Answer in the place of a request that is not read."""
        raise NotImplementedError

    def update_reading(self) -> None:
        """Pause or resume reading."""
        raise NotImplementedError

    def data_received(self, data):
        """Parse the bytes of a caller."""
        if self._input_ended:
            return
        self._unparsed_bytes += len(data)
        self._framing_bytes += len(data)
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
                self._fail_input(400, f'the request is malformed: {error}')
                break
        self._check_input()
        self.update_reading()

    def on_message_begin(self):
        """Begin a message; called by the parser, as the following ones."""
        self._path.clear()
        self._raw_headers = []
        self._head_bytes = 0
        self._is_in_head = True

    def on_url(self, url):
        """Add a part of the request target."""
        self._path += url
        self._head_bytes += len(url)

    def on_header(self, name, value):
        """Add a header field; fields behind the body are ignored."""
        if self._receiving is None and not self._input_ended:
            self._raw_headers.append((name, value.rstrip(b' \t')))
            self._head_bytes += len(name) + len(value) + LINE_END_BYTES

    def on_headers_complete(self):
        """Begin an exchange, unless the head is refused."""
        self._is_in_head = False
        self._unparsed_bytes = self._framing_bytes = 0
        if self._input_ended:
            return
        parser, held = self._parser, self._estimate_head(complete=True)
        if self._ports.clients.must_refuse(self.holder, held):
            self._fail_input(503, 'the node is busy; nothing has run')
            return
        version = parser.get_http_version()
        request = callermessages.CallerRequest(
            parser.get_method().decode('latin-1'),
            self._path.decode('latin-1'),
            self._raw_headers,
            self._ports.clock(),
        )
        self._raw_headers = []
        refusal = self._find_head_refusal(request, version)
        if refusal is not None:
            self._fail_input(*refusal)
            return
        headers = request.headers
        if 'Transfer-Encoding' not in headers:
            request.content_length = int(headers.get('Content-Length', 0))
        self._receiving = callermessages.Exchange(
            request,
            version == '1.1',
            parser.should_keep_alive(),
            headers.get('Expect', '').lower() == '100-continue',
        )
        self.hold_for(self._receiving, held)
        if not self._input_ended:
            self.add_exchange(self._receiving)

    def on_body(self, data):
        """Add a part of the body."""
        self._unparsed_bytes = 0
        self._framing_bytes -= len(data)
        exchange = self._receiving
        if exchange is not None:
            exchange.awaits_continue = False
            kept = exchange.request.add_data(data)
            if kept:
                self.hold_for(exchange, exchange.held + kept)

    def on_message_complete(self):
        """Complete the body of the request."""
        exchange, self._receiving = self._receiving, None
        self._unparsed_bytes = 0
        if exchange is None:
            return
        exchange.request.complete()
        self.end_dropping()
        if not exchange.keeps_alive:
            self._input_ended = True

    def end_dropping(self) -> None:
        """Stop waiting for the rest of a body."""
        raise NotImplementedError

    def hold_for(self, exchange, count: int) -> None:
        """Count the memory that an exchange takes now."""
        change, exchange.held = count - exchange.held, count
        self._ports.clients.hold(self.holder, change)

    def _estimate_head(self, complete=False) -> int:
        """Return the memory that the head being received takes."""
        line_bytes = clients.LINE_BYTES
        if complete:
            line_bytes = clients.PARSED_LINE_BYTES
        return len(self._raw_headers) * line_bytes + 2 * self._head_bytes

    def _find_head_refusal(self, request, version):
        """Return status and reason if the head is invalid, otherwise None."""
        if version not in VERSIONS:
            return 400, f'the version {version} of HTTP is not supported'
        if len(request.headers.getall('Host', ())) > 1:
            return 400, 'the request has several hosts'
        if self._head_bytes > self._ports.find_head_limit():
            return 431, 'the head is too long'
        return None

    def _check_input(self) -> None:
        """Apply the limits to what was received of a message."""
        if not self._input_ended:
            limit = self._ports.find_head_limit()
            receiving = self._receiving
            if self._unparsed_bytes > limit + HEAD_SLACK_BYTES or (
                self._is_in_head and self._head_bytes > limit
            ):
                self._fail_input(431, 'the head or trailer is too long')
            elif (
                receiving is not None
                and self._framing_bytes
                > MAX_FRAMING_BYTES
                + FRAMING_RATIO * receiving.request.buffered_bytes
            ):
                self._fail_input(400, 'the chunk lines are too long')
        is_partial = not self._input_ended and (
            self._is_in_head
            or (self._receiving is None and self._unparsed_bytes > 0)
        )
        held = 0
        if is_partial:
            held = self._estimate_head() + self._unparsed_bytes
        if held != self._head_held:
            change, self._head_held = held - self._head_held, held
            self._ports.clients.hold(self.holder, change)
        if not is_partial:
            self.cancel_head_timer()
        elif self._head_timer is None:
            self._start_head_timer()

    def _start_head_timer(self) -> None:
        self._head_timer = asyncio.get_running_loop().call_later(
            self._ports.find_limits().head_s, self._end_head
        )

    def cancel_head_timer(self) -> None:
        """End the time limit of the head being received."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_head(self) -> None:
        """Refuse a head that has not arrived within its time."""
        self._head_timer = None
        if self._input_ended or self._transport.is_closing():
            return
        if not self._is_reading_paused:
            self._fail_input(408, 'the head did not arrive in time')
        elif self._ports.clients.must_pause(self.holder):
            self._fail_input(503, 'the node is busy; nothing has run')
        else:
            # The caller could not send it behind unanswered requests.
            self._start_head_timer()
            self.update_reading()
            return
        self._check_input()

    def _fail_input(self, status, reason) -> None:
        """Read no further requests.

        A request whose body is being received fails. Otherwise the refusal
        takes the place of the request that cannot be read.
        """
        if self._input_ended:
            return
        self._input_ended = True
        self._raw_headers = []
        self._path.clear()
        receiving, self._receiving = self._receiving, None
        self._ports.clients.record_refusal(self.holder, str(status), reason)
        if receiving is not None:
            receiving.keeps_alive = False
            receiving.request.fail(reason)
            return
        self.refuse_input(status, reason)
