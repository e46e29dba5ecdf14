"""Base of all tasks: one bounded inbox, typed messages, typed replies."""

import asyncio
import collections
import dataclasses
import math
import typing

from sesamejunction import errors
from sesamejunction.model import operating

INBOX_LIMIT = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and, for a question, the future of its reply."""

    message: typing.Any
    reply: asyncio.Future | None


class Inbox:
    """Messages in order of arrival, taken by one task.

    asyncio.Queue also serves several takers, a size limit and join(), which
    every message pays for, and a request takes seven messages.
    """

    def __init__(self):
        self._envelopes = collections.deque()
        self._arrival = None

    def __len__(self):
        return len(self._envelopes)

    def put(self, envelope: Envelope) -> None:
        """Add a message and wake the task that waits for one."""
        self._envelopes.append(envelope)
        arrival, self._arrival = self._arrival, None
        if arrival is not None and not arrival.done():
            arrival.set_result(None)

    def take(self) -> Envelope:
        """Remove and return the oldest message."""
        return self._envelopes.popleft()

    async def wait(self) -> None:
        """Return when there is a message."""
        while not self._envelopes:
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival


class Actor:
    """Runs one message at a time from its inbox.

    Subclasses implement ``handle``; its result answers ``ask``. Setting
    ``tick_s`` makes ``tick`` run about that often between messages; a tick
    may set another ``tick_s`` for the next one, and ``tick_within`` brings
    it forward.
    """

    name = 'actor'
    tick_s: float | None = None

    def __init__(self):
        self._inbox = Inbox()
        self._latest = {}
        self._stopped = False
        self._due = 0.0
        self._timer = None
        self.dropped = 0

    def publish(self, message) -> None:
        """Hand over a message that replaces older ones of its type.

        It is kept apart from the inbox, so it is never dropped; only the
        newest of each type is handled.
        """
        if not self._latest:
            # A full inbox is being drained, and each message handled takes
            # the published ones with it.
            self.tell(None)
        self._latest[type(message)] = message

    def tell(self, message) -> None:
        """Queue a message without reply; drops and counts it when full."""
        if len(self._inbox) >= INBOX_LIMIT:
            self.dropped += 1
        else:
            self._inbox.put(Envelope(message, None))

    def tell_reliably(self, message) -> None:
        """Queue a message that ends what an earlier reply handed out.

        It is never dropped: a dropped one would leak a place for good. At
        most one follows each reply, so the inbox stays bounded.
        """
        self._inbox.put(Envelope(message, None))

    async def ask(self, message):
        """Queue a question and return its reply.

        Raises InboxFull when the inbox is full and TaskStopped when the
        task has ended.
        """
        if self._stopped:
            raise errors.TaskStopped(
                f'{self.name} has stopped; retry at another node'
            )
        if len(self._inbox) >= INBOX_LIMIT:
            raise errors.InboxFull(f'{self.name} is overloaded; retry later')
        reply = asyncio.get_running_loop().create_future()
        self._inbox.put(Envelope(message, reply))
        return await reply

    async def handle(self, message):
        """Handle one message and return the reply, if any.

        A returned future gives the reply later, when it is done.
        """
        raise NotImplementedError

    async def tick(self) -> None:
        """Do periodic work."""

    def dump(self):
        """Return a data class with the task's state, None for nothing.

        Numbers in it also appear in the metrics. It must not hold keys or
        other secrets.
        """
        return None

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            if self.tick_s is None:
                while True:
                    if not self._inbox:
                        await self._inbox.wait()
                    await self._dispatch(self._inbox.take())
            await self._run_with_ticks()
        finally:
            self._stopped = True
            self._reject_queued()

    def tick_within(self, seconds: float) -> None:
        """Let the next tick run within the given time."""
        if self._timer is None:
            # The first tick runs as soon as the task does.
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if due < self._due:
            self._set_timer(loop, due)

    def _set_timer(self, loop, due) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = loop.call_at(due, self._wake)

    def _wake(self) -> None:
        # The loop rounds times, so the clock may still be before the due time.
        self._due = -math.inf
        if not self._inbox:
            self.tell(None)

    async def _run_with_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        self._set_timer(loop, loop.time())
        try:
            while True:
                if not self._inbox:
                    await self._inbox.wait()
                await self._dispatch(self._inbox.take())
                if loop.time() >= self._due:
                    await self.tick()
                    self._set_timer(loop, loop.time() + self.tick_s)
        finally:
            self._timer.cancel()

    async def _dispatch(self, envelope: Envelope) -> None:
        while self._latest:
            await self.handle(self._latest.pop(next(iter(self._latest))))
        if envelope.message is None:
            return
        try:
            if isinstance(envelope.message, operating.GetDump):
                result = self._describe_dump()
            else:
                result = await self.handle(envelope.message)
        except errors.SesameError as error:
            if envelope.reply is None:
                raise
            if not envelope.reply.done():
                envelope.reply.set_exception(error)
            return
        if envelope.reply is None:
            return
        if isinstance(result, asyncio.Future):
            _connect_reply(result, envelope.reply)
        elif not envelope.reply.done():
            envelope.reply.set_result(result)

    def _describe_dump(self) -> operating.TaskDump:
        return operating.TaskDump(
            self.name, len(self._inbox), self.dropped, self.dump()
        )

    def _reject_queued(self) -> None:
        while self._inbox:
            reply = self._inbox.take().reply
            if reply is not None and not reply.done():
                reply.set_exception(
                    errors.TaskStopped(
                        f'{self.name} has stopped; retry at another node'
                    )
                )


def _connect_reply(later: asyncio.Future, reply: asyncio.Future) -> None:
    """Pass the result on, and the cancellation by the asker back."""
    later.add_done_callback(lambda done: _copy_result(done, reply))
    reply.add_done_callback(
        lambda done: later.cancel() if done.cancelled() else None
    )


def _copy_result(later: asyncio.Future, reply: asyncio.Future) -> None:
    if later.cancelled():
        reply.cancel()
    elif reply.done():
        # Reading the exception tells the loop that it is not lost.
        later.exception()
    elif later.exception() is not None:
        reply.set_exception(later.exception())
    else:
        reply.set_result(later.result())
