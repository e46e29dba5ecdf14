"""Base class of the actors: a bounded inbox and typed messages."""

import asyncio
import collections
import math
import time
import typing

from sesamejunction.decisions import timers
from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.model import valueclass
from sesamejunction.tasks import activity

# Messages that an inbox holds; further ones are dropped or refused.
INBOX_LIMIT = 1024


@valueclass.define
class Envelope:
    """A message and, if the sender awaits a reply, the reply's future."""

    message: typing.Any
    reply: asyncio.Future | None


class Inbox:
    """A FIFO queue of messages with a single consumer.

    asyncio.Queue also supports several consumers, a size limit and join(),
    which costs time for every message, and a request takes seven messages.
    """

    def __init__(self):
        self._envelopes = collections.deque()
        self._arrival = None

    def __len__(self):
        return len(self._envelopes)

    def put(self, envelope: Envelope) -> None:
        """Append a message and wake the consumer."""
        self._envelopes.append(envelope)
        arrival, self._arrival = self._arrival, None
        if arrival is not None and not arrival.done():
            arrival.set_result(None)

    def take(self) -> Envelope:
        """Remove and return the oldest message."""
        return self._envelopes.popleft()

    async def wait(self) -> None:
        """Wait until the inbox is not empty."""
        while not self._envelopes:
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival


class Actor:
    """Handles the messages of its inbox one at a time.

    Subclasses implement ``handle``; ``ask`` returns its result. If ``tick_s``
    is set, ``tick`` runs about every ``tick_s`` seconds between messages. A
    tick may change ``tick_s`` to set the delay until the next one, and
    ``tick_within`` makes the next tick run earlier.
    """

    name = 'actor'
    tick_s: float | None = None

    def __init__(self):
        self._inbox = Inbox()
        self._latest = {}
        self._stopped = False
        self._due = 0.0
        self._timer = None
        self._activity = activity.Activity()
        self.dropped = 0

    def publish(self, message) -> None:
        """Send a message that replaces unhandled ones of its type.

        Published messages are stored outside of the inbox and are never
        dropped; only the newest of each type is handled.
        """
        if not self._latest:
            # Wakes the task. If the inbox is full, this message is dropped,
            # but the published messages are handled before the next queued
            # one.
            self.tell(None)
        self._latest[type(message)] = message

    def tell(self, message) -> None:
        """Queue a message without reply.

        If the inbox is full, the message is dropped and counted.
        """
        if len(self._inbox) >= INBOX_LIMIT:
            self.dropped += 1
        else:
            self._inbox.put(Envelope(message, None))

    def tell_reliably(self, message) -> None:
        """Queue a message that must not be dropped, such as a release.

        Use it for messages that release what an earlier reply granted: a
        dropped one would leak the resource permanently. The inbox stays
        bounded since at most one such message follows each reply.
        """
        self._inbox.put(Envelope(message, None))

    async def ask(self, message):
        """Queue a message and return its reply.

        Raises InboxFull if the inbox is full and TaskStopped if the task has
        ended.
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

        If it returns a future, the reply is sent when the future is done. A
        SesameError is passed to a sender that awaits a reply. If none does,
        it ends the task, as other exceptions do.
        """
        raise NotImplementedError

    async def tick(self) -> None:
        """Do periodic work."""

    def dump(self):
        """Return a data class that describes the task's state, or None.

        Its numbers are also exported as metrics. It must not contain keys
        or other secrets.
        """
        return None

    def take_activity(self) -> activity.Activity:
        """Return what the actor has done since the last call."""
        taken, self._activity = self._activity, activity.Activity()
        return taken

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
        """Make the next tick run within the given time."""
        if self._timer is None:
            # The task has not started; its first tick runs at once.
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + timers.round_up(seconds)
        if due < self._due:
            self._set_timer(loop, due)

    def _set_timer(self, loop, due) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = loop.call_at(due, self._wake)

    def _wake(self) -> None:
        # The loop rounds times, so the timer may fire before ``_due``.
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
                    started = time.perf_counter()
                    await self.tick()
                    self._activity.add_tick(started)
                    self._set_timer(
                        loop, loop.time() + timers.round_up(self.tick_s)
                    )
        finally:
            self._timer.cancel()

    async def _dispatch(self, envelope: Envelope) -> None:
        while self._latest:
            started = time.perf_counter()
            newest = self._latest.pop(next(iter(self._latest)))
            await self.handle(newest)
            self._activity.add_message(newest, started)
        if envelope.message is None:
            return
        started = time.perf_counter()
        try:
            if isinstance(envelope.message, operating.GetDump):
                result = self._build_dump()
            else:
                result = await self.handle(envelope.message)
        except errors.SesameError as error:
            if envelope.reply is None:
                raise
            if not envelope.reply.done():
                envelope.reply.set_exception(error)
            return
        finally:
            self._activity.add_message(envelope.message, started)
        if envelope.reply is None:
            return
        if isinstance(result, asyncio.Future):
            _connect_reply(result, envelope.reply)
        elif not envelope.reply.done():
            envelope.reply.set_result(result)

    def _build_dump(self) -> operating.TaskDump:
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


def _connect_reply(source: asyncio.Future, reply: asyncio.Future) -> None:
    """Forward the result to the reply and its cancellation to ``source``."""
    source.add_done_callback(lambda done: _copy_result(done, reply))
    reply.add_done_callback(
        lambda done: source.cancel() if done.cancelled() else None
    )


def _copy_result(source: asyncio.Future, reply: asyncio.Future) -> None:
    if source.cancelled():
        reply.cancel()
    elif reply.done():
        # Retrieving the exception keeps asyncio from logging it.
        source.exception()
    elif source.exception() is not None:
        reply.set_exception(source.exception())
    else:
        reply.set_result(source.result())
