"""Keep-alive HTTP/1.1 client connections to one target."""

import asyncio
import dataclasses
import math
import select

import httptools

from sesamejunction.border import responselimits
from sesamejunction.border import streamends
from sesamejunction import errors

CONNECT_TIMEOUT_S = 0.3
# Bytes parsed in one turn of the event loop. After a full read other
# connections get their turn, since a target that floods this node would
# otherwise hold the loop.
READ_BYTES = 1 << 14
# An attempt that was refused on a connection is not sent on it again, since a
# duplicate of that refusal could be taken for a new one. A connection keeps
# the ids of all attempts refused on it, and is closed after this many; at
# 1,000 refusals a second that makes 16 new connections a second.
MAX_REFUSED_IDS = 64
# Answers to other requests that are skipped while waiting for an answer. A
# connection carries one request at a time, so a correct target sends none.
MAX_OTHER_ANSWERS = 4
# Limits on the body of one answer, and on the bodies being received on all
# connections of a pool. A node has 200 MB of memory in all, and a body is
# copied up to three times on its way.
MAX_ANSWER_BYTES = 1 << 24
MAX_ARRIVING_BYTES = 3 << 24
# Connections that were idle for longer are not reused; a target closes them
# after a timeout of its own, which it may announce in Keep-Alive.
IDLE_TIMEOUT_S = 8.0
# A target may drop an idle connection early. A request that must not be
# repeated only uses connections that were in use this recently.
RECENT_USE_S = 1.0


@dataclasses.dataclass(slots=True)
class RawAnswer:
    """An answer as received; header names are in lower case.

    ``contradicted`` is set when a second answer to the same request, with
    another status, directly follows this one.
    """

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    has_length: bool = False
    announces_close: bool = False
    contradicted: bool = False

    def get_header(self, name: str) -> str | None:
        """Return the first value of a header, None without one."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def find_values(self, name: str) -> set[str]:
        """Return the distinct values of a header."""
        return {
            value for header_name, value in self.headers if header_name == name
        }

    @property
    def is_complete_at_close(self) -> bool:
        """Return whether an orderly close may be the end of the body.

        An answer that does not announce the close, and a success without a
        body, may have lost their length in a truncated head.
        """
        return (
            not self.has_length
            and self.announces_close
            and (bool(self.body) or not 200 <= self.status < 300)
        )


class ReceiveBudget:
    """Read buffer and body limit that connections to one target share."""

    def __init__(self):
        # Filled and parsed without yielding in between, so that one buffer is
        # enough.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._receiving = set()
        self._total_bytes = 0

    def add_connection(self, connection: 'Connection') -> None:
        """Begin to count the body bytes of a connection."""
        self._receiving.add(connection)

    def remove_connection(self, connection: 'Connection') -> None:
        """Stop counting the body bytes of a connection."""
        if connection in self._receiving:
            self._receiving.remove(connection)
            self._total_bytes -= connection.size

    def add_bytes(self, count: int) -> None:
        """Count received bytes; above the limit the largest answer is aborted.

        The largest answer is the most likely to be endless, and small answers
        can continue.
        """
        self._total_bytes += count
        if self._total_bytes > MAX_ARRIVING_BYTES:
            largest = max(
                self._receiving, key=lambda connection: connection.size
            )
            largest.fail('more than all answers may hold together')


class Connection(asyncio.BufferedProtocol):
    """One connection, which receives one answer at a time.

    ``size`` is the number of body bytes received for the current request.
    """

    def __init__(self, budget: ReceiveBudget | None = None):
        self._budget = budget or ReceiveBudget()
        self.size = 0
        self._framing_bytes = 0
        self._header_lines = 0
        self._interim_count = 0
        self._other_count = 0
        self.transport = None
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_TIMEOUT_S
        self._parser = None
        self._answer = None
        self._complete_answer = None
        self._refused_ids = set()
        self._unread_poll = select.poll()
        self._waiter = None
        self._accepts = None
        self._reusable = True
        self._has_head = False
        self._has_bytes = False
        self.is_lost = False

    def connection_made(self, transport):
        """Store the transport and watch the socket for unread bytes.

        The socket has no TCP_USER_TIMEOUT, which would reset the connection
        to a target that reads an upload slowly; requests have deadlines.
        """
        self.transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            self._unread_poll.register(
                sock.fileno(), select.POLLIN | select.POLLRDHUP
            )

    def has_not_refused(self, attempt: str | None) -> bool:
        """Return whether the attempt was not refused on this connection yet.

        After a refusal, a duplicate of it could be taken for a new one.
        """
        return hash(attempt) not in self._refused_ids

    def record_refusal(self, attempt: str | None) -> None:
        """Record a refused attempt by its id, None if it has none."""
        self._refused_ids.add(hash(attempt))
        if len(self._refused_ids) >= MAX_REFUSED_IDS:
            self._reusable = False

    @property
    def has_unread_data(self) -> bool:
        """Return whether the socket holds unread bytes or an unread close.

        They belong to no request and must not be taken for an answer to the
        next one.
        """
        return bool(self._unread_poll.poll(0))

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can carry another request."""
        return (
            self._reusable
            and not self.is_lost
            and not self.transport.is_closing()
        )

    async def exchange(self, data: list[bytes], accepts) -> RawAnswer:
        """Send a request and return its complete answer.

        ``accepts`` returns whether an answer belongs to this request. Raises
        PeerConnectionLost when the answer is missing, truncated or unreadable.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._parser = httptools.HttpResponseParser(self)
        self._has_head = self._has_bytes = False
        self._complete_answer = None
        self.size = self._framing_bytes = self._interim_count = (
            self._other_count
        ) = 0
        self._budget.add_connection(self)
        self.transport.writelines(data)
        try:
            return await self._waiter
        except BaseException:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._budget.remove_connection(self)
            # The connection and its parser refer to each other, so a body
            # that stayed here would be kept until a collection of cycles.
            self._answer = self._complete_answer = self._accepts = None
            self._parser = None

    def abort(self) -> None:
        """Close immediately; the target then cancels the running request."""
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def fail(self, reason: str, kind=errors.TargetAnswerLost) -> None:
        """Fail the current exchange and close the connection."""
        self._reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(kind(f'{reason} in place of an answer'))
            # Release the received bytes now, not when the request ends.
            self._answer = None
            self._budget.remove_connection(self)
            self.abort()

    def get_buffer(self, _sizehint):
        """Return the buffer for the next read."""
        return self._budget.read_buffer

    def buffer_updated(self, nbytes):
        """Parse received bytes; closes the connection if no request waits."""
        if self._waiter is None or self._waiter.done():
            self.abort()
            return
        self._has_bytes = True
        size_before = self.size
        try:
            self._parser.feed_data(self._budget.read_buffer[:nbytes])
        except httptools.HttpParserError:
            # Also after a complete answer, whose length may have been
            # truncated.
            self.fail('unreadable bytes')
        except httptools.HttpParserUpgrade:
            self.fail('an unexpected change of protocol')
        self._framing_bytes += nbytes - (self.size - size_before)
        if self._framing_bytes > responselimits.MAX_FRAMING_BYTES + self.size:
            self.fail('a head or chunk lines that are too large')
        self._deliver_answer()
        if nbytes == READ_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _deliver_answer(self) -> None:
        if self._complete_answer is not None and not self._waiter.done():
            self._waiter.set_result(self._complete_answer)

    def _abort_parsing(self, reason):
        """Fail the exchange and stop the parser."""
        self.fail(reason)
        raise errors.TargetAnswerLost(reason)

    def eof_received(self):
        """Complete an answer whose body ends with the connection."""
        self._reusable = False
        answer = self._answer
        if (
            self._waiter is not None
            and not self._waiter.done()
            and self._has_head
            and answer is not None
            and answer.status >= 200
            and answer.is_complete_at_close
            and streamends.is_orderly(self.transport)
        ):
            self._accept_answer()
            self._deliver_answer()
        return False

    def connection_lost(self, exc):
        """Fail the running exchange, if any."""
        self.is_lost = True
        kind = errors.TargetAnswerLost
        if not self._has_bytes:
            kind = errors.TargetClosedUnanswered
        self.fail('the connection was closed', kind)

    def on_message_begin(self):
        """Begin an answer; one after a complete answer prevents reuse."""
        if self._complete_answer is not None:
            self._reusable = False
        self._answer = RawAnswer()
        self._header_lines = 0

    def on_header(self, name: bytes, value: bytes):
        """Add a header."""
        self._header_lines += 1
        if self._header_lines > responselimits.MAX_HEADER_LINES:
            self._abort_parsing('too many header lines')
        lower_name = name.decode('latin-1').lower()
        if lower_name in ('content-length', 'transfer-encoding'):
            self._answer.has_length = True
        text = value.decode('latin-1')
        if lower_name == 'connection' and 'close' in text.lower():
            self._answer.announces_close = True
        self._answer.headers.append((lower_name, text))

    def on_headers_complete(self):
        """Record the status of a complete head."""
        status = self._parser.get_status_code()
        if status not in responselimits.STATUSES:
            self._abort_parsing('a status that is none')
        self._answer.status = status
        self._has_head = True

    def on_body(self, body: bytes):
        """Append a part of the body."""
        self.size += len(body)
        self._budget.add_bytes(len(body))
        if self.size > MAX_ANSWER_BYTES or self._answer is None:
            self._abort_parsing('an answer that is too large')
        self._answer.body += body

    def on_message_complete(self):
        """Process a complete answer; interim answers are only counted."""
        if self._answer.status < 200:
            self._has_head = False
            self._interim_count += 1
            if self._interim_count > responselimits.MAX_INTERIM_ANSWERS:
                self._abort_parsing('too many interim answers')
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._accept_answer()

    def _accept_answer(self) -> None:
        if not self._accepts(self._answer):
            # A late answer to an earlier request. The expected answer may
            # follow, but the connection is not reused.
            self._reusable = False
            self._has_head = False
            self._other_count += 1
            if self._other_count > MAX_OTHER_ANSWERS:
                self._abort_parsing('too many answers to other requests')
            return
        if self._complete_answer is None:
            self._complete_answer = self._answer
        elif self._answer.status != self._complete_answer.status:
            self._complete_answer.contradicted = True


class TargetConnectionPool:
    """Pool of connections to the target, the most recently used first."""

    def __init__(
        self, host: str, port: int, connect_s: float = CONNECT_TIMEOUT_S
    ):
        self._address = (host, port)
        self._connect_s = connect_s
        self._idle = []
        self._budget = ReceiveBudget()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        self.close_idle()

    async def acquire(
        self,
        fresh: bool,
        attempt: str | None = None,
        connect_by_s: float = math.inf,
    ) -> Connection:
        """Return a connection; raises PeerUnavailable without one.

        With ``fresh``, an idle connection is only used if it was in use within
        RECENT_USE_S, so that the target has probably not dropped it.
        ``attempt`` was not refused on the connection before. A new connection
        is waited for at most for ``connect_by_s``. The request must
        be sent before control returns to the event loop, since the check for
        unread bytes holds no longer than that.
        """
        idle = self._acquire_idle(fresh, attempt)
        return idle or await self._connect(connect_by_s)

    def _acquire_idle(self, fresh, attempt) -> Connection | None:
        now = asyncio.get_running_loop().time()
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            idle_s = now - connection.idle_since
            if (
                not connection.is_usable
                or idle_s > connection.idle_limit_s
                or connection.has_unread_data
            ):
                self._idle.pop(index).abort()
                continue
            if fresh and idle_s > RECENT_USE_S:
                break
            if connection.has_not_refused(attempt):
                return self._idle.pop(index)
        return None

    async def _connect(self, connect_by_s) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            limit_s = max(0.0, min(self._connect_s, connect_by_s))
            async with asyncio.timeout(limit_s):
                _, new_connection = await loop.create_connection(
                    lambda: Connection(self._budget), *self._address
                )
        except ConnectionRefusedError as error:
            raise errors.TargetConnectionRefused(
                'the target refuses connections; its process has ended'
            ) from error
        except TimeoutError as error:
            kind = errors.PeerUnavailable
            if connect_by_s < self._connect_s:
                kind = errors.TargetNotConnectedInTime
            raise kind(f'no connection to the target ({error!r})') from error
        except OSError as error:
            raise errors.PeerUnavailable(
                f'no connection to the target ({error!r})'
            ) from error
        return new_connection

    def release(
        self, connection: Connection, idle_limit_s: float | None
    ) -> None:
        """Return a connection whose answer was read completely to the pool.

        ``idle_limit_s`` is the idle timeout that the target announced, None
        without one. At most 80% of it is used, so that the connection is not
        reused while the target closes it.
        """
        if not connection.is_usable:
            connection.abort()
            return
        if idle_limit_s is not None:
            connection.idle_limit_s = min(IDLE_TIMEOUT_S, idle_limit_s * 0.8)
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def close_idle(self) -> None:
        """Close the idle connections, which may be dead."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()
