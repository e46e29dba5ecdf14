"""HTTP/1.1 client connections to one target, kept open and checked."""

import asyncio
import dataclasses
import select

import httptools

from sesamejunction.border import httpclient
from sesamejunction.border import responselimits
from sesamejunction import errors

CONNECT_S = 0.3
# Read at once. After a full read other connections have their turn, since a
# flood would otherwise be parsed for as long as it comes.
READ_BYTES = 1 << 14
# A connection on which an id was refused does not carry it again, since a copy
# of the refusal could not be told from a new one. A connection is closed
# after so many refusals, so that none is forgotten; at 1,000 refusals a
# second that is 16 new connections.
MAX_REFUSED_IDS = 64
# Answers to other requests in place of one's own. A connection carries one
# request at a time, so that a sound target sends none.
MAX_OTHER_ANSWERS = 4
# Body of one answer, and bodies that are arriving on all connections. A node
# has 200 MB in all, and a body is copied up to three times on its way.
MAX_ANSWER_BYTES = 1 << 24
MAX_ARRIVING_BYTES = 3 << 24
# Connections idle for longer are not used again; a target closes them after
# its own time, which it may state in Keep-Alive.
IDLE_S = 8.0
# A target may forget an idle connection early. A request that may not be
# repeated uses only connections that were busy this recently.
FRESH_S = 1.0


@dataclasses.dataclass(slots=True)
class RawAnswer:
    """An answer as it came; header names are in lower case.

    ``contradicted`` says that another answer to the same request, with
    another status, came right behind it.
    """

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    has_length: bool = False
    announces_close: bool = False
    contradicted: bool = False

    def find(self, name: str) -> str | None:
        """Return the first value of a header, None without one."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    def find_all(self, name: str) -> set[str]:
        """Return the different values of a header."""
        return {value for known, value in self.headers if known == name}

    @property
    def is_whole_at_close(self) -> bool:
        """Return whether an orderly close may be the end of the body.

        Without the announcement, or without a body, a success is taken for
        one whose head was cut before its length.
        """
        return (
            not self.has_length
            and self.announces_close
            and (bool(self.body) or not 200 <= self.status < 300)
        )


class Intake:
    """What the connections to one target share while answers arrive."""

    def __init__(self):
        # Filled and parsed without a pause between, so one is enough.
        self.view = memoryview(bytearray(READ_BYTES))
        self._arriving = set()
        self._size = 0

    def begin(self, one: 'Connection') -> None:
        """Count the bodies of a connection."""
        self._arriving.add(one)

    def end(self, one: 'Connection') -> None:
        """Count them no more."""
        if one in self._arriving:
            self._arriving.remove(one)
            self._size -= one.size

    def grow(self, count: int) -> None:
        """Count more bytes; over the limit the largest answer is ended.

        The largest is the most likely not to end, and small answers go on.
        """
        self._size += count
        if self._size > MAX_ARRIVING_BYTES:
            largest = max(self._arriving, key=lambda one: one.size)
            largest.fail('more than all answers may hold together')


class Connection(asyncio.BufferedProtocol):
    """One connection; parses one answer at a time.

    ``accepts`` tells whether an answer belongs to the present request.
    ``size`` is how many bytes of bodies have come for it.
    """

    def __init__(self, intake: Intake | None = None):
        self._intake = intake or Intake()
        self.size = 0
        self._framing = 0
        self._lines = 0
        self._interim = 0
        self._others = 0
        self.transport = None
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_S
        self._parser = None
        self._answer = None
        self._whole = None
        self._refused = set()
        self._unread = select.poll()
        self._waiter = None
        self._accepts = None
        self._reusable = True
        self._begun = False
        self.is_lost = False

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        found = transport.get_extra_info('socket')
        if found is not None:
            httpclient.set_user_timeout(found)
            self._unread.register(
                found.fileno(), select.POLLIN | select.POLLRDHUP
            )

    def may_carry(self, attempt: str | None) -> bool:
        """Return whether a refusal of the attempt could not be a copy."""
        return hash(attempt) not in self._refused

    def note_refused(self, attempt: str | None) -> None:
        """Remember the id of a refused attempt, None for one without."""
        self._refused.add(hash(attempt))
        if len(self._refused) >= MAX_REFUSED_IDS:
            self._reusable = False

    @property
    def has_unread(self) -> bool:
        """Return whether bytes or a close wait that the loop has not read.

        They belong to no request, and the next one must not meet them.
        """
        return bool(self._unread.poll(0))

    @property
    def is_usable(self) -> bool:
        """Return whether another request may be sent."""
        return (
            self._reusable
            and not self.is_lost
            and not self.transport.is_closing()
        )

    async def exchange(self, data: list[bytes], accepts) -> RawAnswer:
        """Send a request and return its whole answer.

        Raises PeerLost when the answer is missing, cut or unreadable.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._parser = httptools.HttpResponseParser(self)
        self._begun = False
        self._whole = None
        self.size = self._framing = self._interim = self._others = 0
        self._intake.begin(self)
        self.transport.writelines(data)
        try:
            return await self._waiter
        except BaseException:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._intake.end(self)

    def abort(self) -> None:
        """Close at once; a target drops what it runs for the connection."""
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def fail(self, reason: str) -> None:
        """End the exchange without an answer, and the connection."""
        self._reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                errors.TargetAnswerLost(f'{reason} in place of an answer')
            )
            # What has come is released now, not when the request ends.
            self._answer = None
            self._intake.end(self)
            self.abort()

    def get_buffer(self, _sizehint):
        """Return where the next bytes go."""
        return self._intake.view

    def buffer_updated(self, nbytes):
        """Parse what has come; bytes without a request end the connection."""
        if self._waiter is None or self._waiter.done():
            self.abort()
            return
        before = self.size
        try:
            self._parser.feed_data(self._intake.view[:nbytes])
        except httptools.HttpParserError:
            # Also behind a whole answer: its length may have been cut.
            self.fail('unreadable bytes')
        except httptools.HttpParserUpgrade:
            self.fail('an unexpected change of protocol')
        self._framing += nbytes - (self.size - before)
        if self._framing > responselimits.MAX_FRAMING_BYTES + self.size:
            self.fail('a head or chunk lines that are too large')
        self._deliver()
        if nbytes == READ_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._read_on)

    def _read_on(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _deliver(self) -> None:
        if self._whole is not None and not self._waiter.done():
            self._waiter.set_result(self._whole)

    def _give_up(self, reason):
        """Fail, and end the parser's work on what has come."""
        self.fail(reason)
        raise errors.TargetAnswerLost(reason)

    def eof_received(self):
        """Complete an answer that ends with its connection."""
        self._reusable = False
        answer = self._answer
        if (
            self._waiter is not None
            and not self._waiter.done()
            and self._begun
            and answer is not None
            and answer.status >= 200
            and answer.is_whole_at_close
        ):
            self._complete()
            self._deliver()
        return False

    def connection_lost(self, exc):
        """Fail the exchange that runs."""
        self.is_lost = True
        self.fail('the connection was closed')

    def on_message_begin(self):
        """Begin an answer; behind a whole one it ends the connection."""
        if self._whole is not None:
            self._reusable = False
        self._answer = RawAnswer()
        self._lines = 0

    def on_header(self, name: bytes, value: bytes):
        """Add a header."""
        self._lines += 1
        if self._lines > responselimits.MAX_HEADER_LINES:
            self._give_up('too many header lines')
        lower = name.decode('latin-1').lower()
        if lower in ('content-length', 'transfer-encoding'):
            self._answer.has_length = True
        text = value.decode('latin-1')
        if lower == 'connection' and 'close' in text.lower():
            self._answer.announces_close = True
        self._answer.headers.append((lower, text))

    def on_headers_complete(self):
        """Note that the head is whole."""
        self._answer.status = self._parser.get_status_code()
        self._begun = True

    def on_body(self, body: bytes):
        """Add a piece of the body."""
        self.size += len(body)
        self._intake.grow(len(body))
        if self.size > MAX_ANSWER_BYTES or self._answer is None:
            self._give_up('an answer that is too large')
        self._answer.body += body

    def on_message_complete(self):
        """Give the answer to its request."""
        if self._answer.status < 200:
            self._begun = False
            self._interim += 1
            if self._interim > responselimits.MAX_INTERIM_ANSWERS:
                self._give_up('too many interim answers')
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._complete()

    def _complete(self) -> None:
        if not self._accepts(self._answer):
            # A late answer to an earlier request; ours may follow, but the
            # connection is not used again.
            self._reusable = False
            self._begun = False
            self._others += 1
            if self._others > MAX_OTHER_ANSWERS:
                self._give_up('too many answers to other requests')
            return
        if self._whole is None:
            self._whole = self._answer
        elif self._answer.status != self._whole.status:
            self._whole.contradicted = True


class TargetConnectionPool:
    """Connections to the target beside this node, newest used first."""

    def __init__(self, host: str, port: int, connect_s: float = CONNECT_S):
        self._address = (host, port)
        self._connect_s = connect_s
        self._idle = []
        self._intake = Intake()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        self.close_idle()

    async def acquire(
        self, fresh: bool, attempt: str | None = None
    ) -> Connection:
        """Return a connection; raises PeerUnavailable without one.

        ``fresh`` asks for one that the target cannot have forgotten. The
        connection has carried no refusal of ``attempt``. A request must be
        sent on it before the loop runs again.
        """
        return self._take_idle(fresh, attempt) or await self._connect()

    def _take_idle(self, fresh, attempt) -> Connection | None:
        now = asyncio.get_running_loop().time()
        for place in reversed(range(len(self._idle))):
            one = self._idle[place]
            idle_s = now - one.idle_since
            if (
                not one.is_usable
                or idle_s > one.idle_limit_s
                or one.has_unread
            ):
                self._idle.pop(place).abort()
                continue
            if fresh and idle_s > FRESH_S:
                break
            if one.may_carry(attempt):
                return self._idle.pop(place)
        return None

    async def _connect(self) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_s):
                _, made = await loop.create_connection(
                    lambda: Connection(self._intake), *self._address
                )
        except ConnectionRefusedError as error:
            raise errors.TargetConnectionRefused(
                'the target refuses connections; its process has ended'
            ) from error
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnavailable(
                f'no connection to the target ({error!r})'
            ) from error
        return made

    def release(self, one: Connection, idle_limit_s: float | None) -> None:
        """Keep a connection whose answer was read to its end."""
        if not one.is_usable:
            one.abort()
            return
        if idle_limit_s is not None:
            one.idle_limit_s = min(IDLE_S, idle_limit_s * 0.8)
        one.idle_since = asyncio.get_running_loop().time()
        self._idle.append(one)

    def close_idle(self) -> None:
        """Close the idle connections, which may have gone silent."""
        idle, self._idle = self._idle, []
        for one in idle:
            one.abort()
