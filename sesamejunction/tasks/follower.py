"""Task that follows one keyed topic and knows how current its copy is."""

import asyncio
import random

import eliot

from sesamejunction.border import logs
from sesamejunction.decisions import polls
from sesamejunction.decisions import readstalls
from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# After a read that brought records the next one waits this long: when many
# nodes register at once, each record would otherwise end the reads of all.
GATHER_S = 0.1
# How often a read is looked at while a peer is ahead, and otherwise.
WATCH_S = 0.1
IDLE_S = 0.5
# Ends before the present one whose times are kept for tasks that have not
# taken the newest copy yet; each takes one message.
KEPT_ENDS = 256


class PositionView:
    """How far a topic has been read, and when that was the newest.

    ``as_of`` belongs to ``end``. A task that decides by an older copy, since
    the newest is still on its way to it, asks for the time of that one.
    """

    def __init__(self):
        self.end = -1
        self.as_of = float('-inf')
        self._former = {}

    def find_as_of(self, end: int) -> float:
        """Return when the copy that ends there was known to be the newest.

        Boot-clock seconds, minus infinity for an end that is not kept.
        """
        if end == self.end:
            return self.as_of
        return self._former.get(end, float('-inf'))

    def move_to(self, end: int) -> None:
        """Go on with a copy that ends elsewhere."""
        if end == self.end:
            return
        self._former[self.end] = self.as_of
        while len(self._former) > KEPT_ENDS:
            del self._former[next(iter(self._former))]
        self._former.pop(end, None)
        self.end = end


class Follower(actor.Actor):
    """Keeps a copy of a topic; publishes it to ``subscribers``.

    ``view`` is read by other tasks without a message; only this task
    writes it. ``count_peers`` returns the peers heard of lately;
    ``count_dropped`` is called with the labels of a read that was dropped
    since it had gone silent while a peer was ahead.
    """

    tick_s = IDLE_S

    def __init__(self, topic, subscribers, count_peers, count_dropped):
        super().__init__()
        self._count_dropped = count_dropped
        self.name = f'follower {topic.name}'
        self.topic_name = topic.name
        self._topic = topic
        self._subscribers = subscribers
        self._count_peers = count_peers
        self._copy = None
        self._reading = None
        self._connected = None
        self._read_since = 0.0
        self._received_before = 0
        self._wait_s = 0.0
        self._is_doubted = False
        self._watch = readstalls.ReadStallDetector()
        self._lines = logs.ThrottledLogger()
        self.view = PositionView()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.PeerPosition():
                self._compare(message)
            case registry.TakeCopy(copy=copy, as_of=as_of):
                if self._copy is None or copy.end > self._copy.end:
                    self._replace(copy)
                    self._advance(as_of)
                elif copy.end == self._copy.end:
                    self._advance(as_of)
            case registry.AppendFailed():
                if self._connected:
                    self._renew_read()
            case registry.GetCopy():
                return self._copy

    async def tick(self) -> None:
        """Look after the read that is under way."""
        self.tick_s = WATCH_S if self._watch.is_behind else IDLE_S
        if self._reading is None or self._reading.done():
            return
        now = clock.read_boot_clock()
        if self._watch.note_received(now, self._topic.received):
            self._note_contact(True, '')
        elif self._watch.is_silent(now):
            self._drop_read(now)
        elif self._watch.is_doubtful(now):
            self._note_contact(False, 'nothing comes while a peer is ahead')
        elif now - self.view.as_of > polls.RENEW_S:
            self._renew_read()

    @property
    def is_connected(self) -> bool:
        """Return whether the log answered the latest call."""
        return bool(self._connected)

    async def follow(self) -> None:
        """Read the topic until cancelled."""
        pause_s = polls.FIRST_PAUSE_S
        while True:
            self._reading = asyncio.ensure_future(self._read())
            try:
                await asyncio.wait((self._reading,))
                if self._reading.cancelled():
                    # The connection may have gone silent.
                    await self._topic.reconnect()
                    continue
                has_grown = self._reading.result()
                self._watch.note_answer()
                self._note_contact(True, '')
                pause_s = polls.FIRST_PAUSE_S
                if has_grown:
                    await asyncio.sleep(GATHER_S * random.uniform(0.5, 1.5))
            except errors.LogUnavailable as error:
                self._note_contact(False, str(error))
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = polls.find_next_pause(pause_s)
            finally:
                self._reading.cancel()

    async def _read(self) -> bool:
        """Read once; return whether records came."""
        sent_at = self._read_since = clock.read_boot_clock()
        self._received_before = self._topic.received
        self._watch.note_sent(sent_at, self._topic.received)
        if self._copy is None:
            self._replace(await self._topic.read_newest())
            self._advance(sent_at)
            return True
        offset = self._copy.end
        wait_s = polls.choose_wait(
            self._count_peers(), self._is_doubtful(sent_at), random.random
        )
        self._wait_s, self._is_doubted = wait_s, False
        try:
            batch = await self._topic.read(offset, wait_s)
        except errors.RetentionGap:
            self._wait_s = 0.0
            copy = await self._topic.read_newest()
            if copy.end >= self._copy.end:
                self._replace(copy)
            return True
        # A peer's copy may have come in the meantime.
        known = self._copy.end - offset
        if len(batch.entries) > known:
            self._fold(batch.entries[known:])
            self._advance(sent_at)
            return True
        if known:
            return False
        if batch.end == offset:
            # It was asked to wait, so nothing came in all that time.
            waited = clock.read_boot_clock() - sent_at
            self._advance(sent_at + min(wait_s, waited))
        return False

    def _fold(self, entries) -> None:
        items = dict(self._copy.items)
        offset = self._copy.end
        for place, entry in enumerate(entries):
            if entry.value:
                items[entry.key] = registry.TopicItem(
                    offset + place, entry.value
                )
            else:
                items.pop(entry.key, None)
        self._replace(registry.TopicCopy(offset + len(entries), items))

    def _replace(self, copy) -> None:
        self._copy = copy
        self._watch.note_copy(copy.end)
        self.view.move_to(copy.end)
        for one in self._subscribers:
            one.tell(registry.TopicChanged(self._topic.name, copy))

    def _advance(self, as_of) -> None:
        self.view.as_of = max(self.view.as_of, as_of)

    def _compare(self, position) -> None:
        if self._copy is None:
            return
        if position.end <= self._copy.end:
            # The peer's copy was the newest at that time, and this one is
            # not older.
            self._advance(position.as_of)
        else:
            self._watch.note_ahead(clock.read_boot_clock(), position.end)
            self.tick_s = WATCH_S
            self.tick_within(WATCH_S)

    def _is_doubtful(self, now) -> bool:
        """Return whether the next read must not wait."""
        if not self._connected or self._is_doubted:
            return True
        # One that has just been answered at once is not repeated.
        return now - self.view.as_of > polls.RENEW_S and self._wait_s > 0.0

    def _renew_read(self) -> None:
        """Begin a read that does not wait in place of one that does.

        One whose answer has begun or, since a peer is ahead, must be on its
        way goes on.
        """
        received = self._topic.received - self._received_before
        if self._watch.is_behind or self._wait_s == 0.0 or received:
            return
        if self._reading is None or self._reading.done():
            return
        self._is_doubted = True
        self._reading.cancel()

    def _drop_read(self, now) -> None:
        """Begin a new read, since a peer knows more than this one brought."""
        self._lines.log_message(
            'journal: read dropped',
            topic=self._topic.name,
            end=self.view.end,
            silent_s=round(self._watch.measure_silence(now), 3),
            read_s=round(now - self._read_since, 3),
            received=self._topic.received - self._received_before,
        )
        self._count_dropped({'topic': self._topic.name})
        self._watch.note_dropped()
        self._reading.cancel()

    def _note_contact(self, connected, reason) -> None:
        if connected == self._connected:
            return
        self._connected = connected
        fields = {
            'topic': self._topic.name,
            'end': self.view.end,
            'age_s': round(clock.read_boot_clock() - self.view.as_of, 3),
        }
        if connected:
            eliot.log_message('journal: contact regained', **fields)
        else:
            eliot.log_message('journal: contact lost', reason=reason, **fields)
