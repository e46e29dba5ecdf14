"""HTTP/1.1 client connections to one target, kept open and checked."""

import asyncio
import dataclasses

import httptools

from sesamejunction.border import pools
from sesamejunction import errors

CONNECT_S = 0.3
# Answers larger than this are not held.
MAX_ANSWER_BYTES = 1 << 26
# Connections idle for longer are not used again; a target closes them after
# its own time, which it may state in Keep-Alive.
IDLE_S = 8.0
# A target may forget an idle connection early. A request that may not be
# repeated uses only connections that were busy this recently.
FRESH_S = 1.0


@dataclasses.dataclass(slots=True)
class RawAnswer:
    """An answer as it came; header names are in lower case."""

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    has_length: bool = False

    def find(self, name: str) -> str | None:
        """Return the first value of a header, None without one."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """One connection; parses one answer at a time.

    ``accepts`` tells whether an answer belongs to the present request.
    """

    def __init__(self):
        self.transport = None
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_S
        self._parser = None
        self._answer = None
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
            pools.set_user_timeout(found)

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
        self.transport.writelines(data)
        try:
            return await self._waiter
        except BaseException:
            self.abort()
            raise
        finally:
            self._waiter = None

    def abort(self) -> None:
        """Close at once; a target drops what it runs for the connection."""
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data):
        """Parse what has come; bytes without a request end the connection."""
        if self._waiter is None or self._waiter.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail('unreadable bytes')
        except httptools.HttpParserUpgrade:
            self._fail('an unexpected change of protocol')

    def eof_received(self):
        """Complete an answer that ends with its connection."""
        self._reusable = False
        answer = self._answer
        if (
            self._waiter is not None
            and not self._waiter.done()
            and self._begun
            and answer is not None
            and not answer.has_length
            and answer.status >= 200
        ):
            self._complete()
        return False

    def connection_lost(self, exc):
        """Fail the exchange that runs."""
        self.is_lost = True
        self._fail('the connection was closed')

    def on_message_begin(self):
        """Begin an answer."""
        self._answer = RawAnswer()

    def on_header(self, name: bytes, value: bytes):
        """Add a header."""
        lower = name.decode('latin-1').lower()
        if lower in ('content-length', 'transfer-encoding'):
            self._answer.has_length = True
        self._answer.headers.append((lower, value.decode('latin-1')))

    def on_headers_complete(self):
        """Note that the head is whole."""
        self._answer.status = self._parser.get_status_code()
        self._begun = True

    def on_body(self, body: bytes):
        """Add a piece of the body."""
        self._answer.body += body
        if len(self._answer.body) > MAX_ANSWER_BYTES:
            self._fail('an answer that is too large')

    def on_message_complete(self):
        """Give the answer to its request."""
        if self._answer.status < 200:
            self._begun = False
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._complete()

    def _complete(self) -> None:
        if self._waiter is None or self._waiter.done():
            # A second answer on the wire; nothing more is read here.
            self._reusable = False
            return
        if not self._accepts(self._answer):
            # A late answer to an earlier request; ours may follow, but the
            # connection is not used again.
            self._reusable = False
            self._begun = False
            return
        self._waiter.set_result(self._answer)

    def _fail(self, reason) -> None:
        self._reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                errors.TargetSilent(f'{reason} in place of an answer')
            )


class TargetConnections:
    """Connections to the target beside this node, newest used first."""

    def __init__(self, host: str, port: int):
        self._address = (host, port)
        self._idle = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        self.drop_idle()

    async def take(self, fresh: bool) -> Connection:
        """Return a connection; raises PeerUnavailable without one.

        ``fresh`` asks for one that the target cannot have forgotten.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        while self._idle:
            one = self._idle[-1]
            idle_s = now - one.idle_since
            if not one.is_usable or idle_s > one.idle_limit_s:
                self._idle.pop().abort()
                continue
            if fresh and idle_s > FRESH_S:
                break
            return self._idle.pop()
        try:
            async with asyncio.timeout(CONNECT_S):
                _, made = await loop.create_connection(
                    Connection, *self._address
                )
        except ConnectionRefusedError as error:
            raise errors.TargetGone(
                'the target refuses connections; its process has ended'
            ) from error
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnavailable(
                f'no connection to the target ({error!r})'
            ) from error
        return made

    def give_back(self, one: Connection, idle_limit_s: float | None) -> None:
        """Keep a connection whose answer was read to its end."""
        if not one.is_usable:
            one.abort()
            return
        if idle_limit_s is not None:
            one.idle_limit_s = min(IDLE_S, idle_limit_s * 0.8)
        one.idle_since = asyncio.get_running_loop().time()
        self._idle.append(one)

    def drop_idle(self) -> None:
        """Close the idle connections, which may have gone silent."""
        idle, self._idle = self._idle, []
        for one in idle:
            one.abort()
