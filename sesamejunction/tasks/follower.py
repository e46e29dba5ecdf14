"""Actor that follows a keyed topic and tracks how current its copy is."""

import asyncio
import random

import eliot

from sesamejunction.border import eraview
from sesamejunction.border import logs
from sesamejunction.decisions import polls
from sesamejunction.decisions import readstalls
from sesamejunction.decisions import sources as deciding
from sesamejunction.decisions import topicnews
from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Delay before the next read after one that returned records. When many nodes
# register at once, each record would otherwise end the long polls of all
# nodes.
BATCH_DELAY_S = 0.1
# Longest wait of a peer for news.
NEWS_WAIT_S = 1.0
# A peer is answered before that if the copy is known to be current at a time
# later by this.
NEWS_PROGRESS_S = 0.5
# Delay before a peer is asked again that does not know the era of the store.
OLD_NEWS_PAUSE_S = 0.1
# Longest part by which the clocks of two nodes differ in speed.
CLOCK_DRIFT = 0.02
# Interval of checks on the current read while a peer is ahead.
WATCH_INTERVAL_S = 0.1
# Longest interval of these checks otherwise.
IDLE_S = 0.5
# A check of the copy's age comes this much after the age is reached.
CHECK_MARGIN_S = 0.01
# Number of former ends whose times are kept for actors that have not handled
# the newest copy yet. Few are needed, since each copy is one message.
MAX_FORMER_ENDS = 256


class PositionView:
    """The end offset of a topic's copy and when it was known to be current.

    ``as_of`` is the boot-clock time at which ``end`` was the end of the topic.
    An actor that has not handled the newest copy yet must use the time of the
    copy that it has; see ``find_as_of``.
    """

    def __init__(self):
        self.end = -1
        self.as_of = float('-inf')
        self._former = {}

    def find_as_of(self, end: int) -> float:
        """Return when the copy with this end was known to be current.

        Boot-clock seconds; minus infinity if the end is unknown.
        """
        if end == self.end:
            return self.as_of
        return self._former.get(end, float('-inf'))

    def move_to(self, end: int) -> None:
        """Set the end; its time is unknown until ``as_of`` is set."""
        if end == self.end:
            return
        self._former[self.end] = self.as_of
        while len(self._former) > MAX_FORMER_ENDS:
            del self._former[next(iter(self._former))]
        self._former.pop(end, None)
        self.end = end


@valueclass.define
class Asker:
    """A peer that waits for news.

    ``asked_at`` and ``as_of``, that of this node's copy then, are in
    boot-clock seconds.
    """

    end: int
    asked_at: float
    as_of: float
    answer: asyncio.Future


class Follower(actor.Actor):
    """Keeps a copy of a topic and sends changes to ``subscribers``.

    It reads the log, or gets the changes from the peer that ``sources``
    chooses, if given; and it passes them on to peers that ask for news.

    Other actors read ``view`` directly; only this actor writes it.
    ``count_peers`` returns the number of reachable peers. ``count_dropped``
    is called with metric labels for each read that was dropped because it
    received nothing while a peer was ahead. ``apply_s`` is the time within
    which changes of the topic have to be in force.
    """

    tick_s = IDLE_S

    def __init__(
        self,
        topic,
        subscribers,
        count_peers,
        count_dropped,
        sources=None,
        apply_s=polls.DEFAULT_APPLY_S,
        eras=None,
    ):
        super().__init__()
        self._eras = eras or eraview.EraView()
        # That in which the read in progress was sent.
        self._read_era = 0
        self._renewal_age_s = polls.compute_renewal_age(apply_s)
        self._sources = sources
        # Source of the read in progress, and the source of the next one in
        # place of the one chosen for the zone.
        self._source = deciding.READ_LOG
        self._next_source = None
        # The peer that was last heard to be ahead.
        self._ahead = None
        self._removed = topicnews.RemovedKeys()
        self._askers = []
        # News by the end for which they were built.
        self._news = {}
        self._count_dropped = count_dropped
        self.name = f'follower {topic.name}'
        self.topic_name = topic.name
        self._topic = topic
        self._subscribers = subscribers
        self._count_peers = count_peers
        self._copy = None
        self._read_task = None
        self._connected = None
        self._read_since = 0.0
        self._received_before = 0
        # Wait time of the latest long poll, and whether to skip the next one.
        self._wait_s = 0.0
        self._skip_wait = False
        # Set when the wait for further records is to end.
        self._read_wanted = asyncio.Event()
        # Whether the latest answer of the log left records out.
        self._lacks_records = False
        # When the latest record came.
        self._grown_at = 0.0
        self._stall_detector = readstalls.ReadStallDetector()
        self._logger = logs.ThrottledLogger()
        self.view = PositionView()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.PeerPosition():
                self._compare_position(message)
            case registry.EraChanged(era=era):
                # Other nodes pass the new era on to those that ask them.
                is_peer = isinstance(self._source, deciding.ReadPeer)
                if self._read_era < era and not is_peer:
                    self._restart_read()
            case registry.TakeCopy(copy=copy, as_of=as_of):
                if not self._learn_era(copy.end):
                    return
                if self._copy is None or copy.end > self._copy.end:
                    self._replace_whole(copy)
                    self._advance_as_of(as_of)
                elif copy.end == self._copy.end:
                    self._advance_as_of(as_of)
            case registry.AppendFailed():
                if self._connected:
                    self._renew_read()
            case registry.TopicGrown(offset=offset):
                if offset >= self.view.end:
                    self._read_soon()
            case registry.GetCopy():
                return self._copy
            case registry.AskNews():
                return self._take_question(message)

    @property
    def copy(self) -> registry.TopicCopy | None:
        """Return the present copy."""
        return self._copy

    def _learn_era(self, end: int) -> bool:
        """Learn the era of a peer's position; return False for an old one."""
        return self._eras.learn(registry.find_era(end), 'another node')

    def start_with(self, copy, as_of) -> None:
        """Begin with a copy that was read from the log; before ``run``."""
        self._replace_whole(copy)
        self._advance_as_of(as_of)
        self._set_connected(True, '')

    async def tick(self) -> None:
        """Check the read in progress; restart it if it seems broken."""
        now = clock.read_boot_clock()
        self.tick_s = self._find_check_interval(now)
        if self._read_task is None or self._read_task.done():
            return
        if isinstance(self._source, deciding.ReadPeer):
            self._check_peer_read(now)
        elif self._stall_detector.note_received(now, self._topic.received):
            self._set_connected(True, '')
        elif self._stall_detector.is_silent(now):
            self._drop_read(now)
        elif self._stall_detector.is_doubtful(now):
            self._set_connected(
                False, 'no data received while a peer is ahead'
            )
        elif now - self.view.as_of > self._renewal_age_s:
            self._renew_read()

    def _find_check_interval(self, now) -> float:
        """Return the seconds until the next check of the read in progress."""
        if self._stall_detector.is_behind:
            return WATCH_INTERVAL_S
        left_s = self.view.as_of + self._renewal_age_s - now
        if 0.0 < left_s < IDLE_S:
            return left_s + CHECK_MARGIN_S
        return IDLE_S

    @property
    def is_connected(self) -> bool:
        """Return whether the log answers.

        False after a failed call, and while a read receives nothing although
        a peer is ahead.
        """
        return bool(self._connected)

    async def follow(self) -> None:
        """Read the topic until cancelled."""
        pause_s = polls.FIRST_PAUSE_S
        while True:
            self._source = self._choose_source()
            match self._source:
                case deciding.ReadPeer():
                    reading = self._read_peer(self._source)
                case _:
                    reading = self._read()
            self._read_task = asyncio.ensure_future(reading)
            try:
                await asyncio.wait((self._read_task,))
                if isinstance(self._source, deciding.ReadPeer):
                    self._end_peer_read()
                    continue
                if self._read_task.cancelled():
                    # tick() or AppendFailed cancelled it to restart it; the
                    # connection may be dead.
                    await self._topic.reconnect()
                    continue
                has_grown = self._read_task.result()
                self._stall_detector.note_answer()
                self._set_connected(True, '')
                pause_s = polls.FIRST_PAUSE_S
                if has_grown and not self._lacks_records:
                    await self._wait_for_batch()
            except errors.LogUnavailable as error:
                self._set_connected(False, str(error))
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = polls.find_next_pause(pause_s, self._is_reader())
            finally:
                self._read_task.cancel()

    async def _wait_for_batch(self) -> None:
        """Wait for further records, unless this node needs the next one."""
        self._read_wanted.clear()
        try:
            async with asyncio.timeout(
                BATCH_DELAY_S * random.uniform(0.5, 1.5)
            ):
                await self._read_wanted.wait()
        except TimeoutError:
            pass

    def _read_soon(self) -> None:
        """Read a record on which the next one of this node depends."""
        self._read_wanted.set()
        if isinstance(self._source, deciding.ReadPeer):
            self._renew_read()

    def _choose_source(self) -> deciding.ReadLog | deciding.ReadPeer:
        """Return where to read next.

        A copy whose age or contact with the log is in doubt is read from the
        log, whatever the choice for the zone is. A peer that is known to be
        ahead is the faster source on a slow line.
        """
        if (
            self._sources is None
            or self._copy is None
            or not self._connected
            or self._skip_wait
        ):
            return deciding.READ_LOG
        ahead, self._next_source = self._next_source, None
        if ahead is None and self._is_old():
            if not self._stall_detector.is_behind:
                return deciding.READ_LOG
            ahead = self._sources.find_member(self._ahead)
        return ahead or self._sources.choose(self.topic_name)

    def _is_reader(self) -> bool:
        """Return whether this node reads the log for its zone.

        A node that only replaces readers without contact does not count, as
        the whole zone may be without.
        """
        return self._sources is None or self._sources.is_reader(
            self.topic_name
        )

    async def _read_peer(self, source) -> None:
        """Ask a peer for news once; raises PeerUnavailable without any."""
        asked_at = clock.read_boot_clock()
        self._received_before = self._topic.received
        self._stall_detector.note_sent(asked_at, self._topic.received)
        self._wait_s = NEWS_WAIT_S
        answer = await self._sources.fetch_news(
            source,
            registry.AskNews(self.topic_name, self._copy.end, NEWS_WAIT_S),
        )
        news = answer.news
        if news is not None and not self._learn_era(news.end):
            # The peer will soon have the records of the new era.
            await asyncio.sleep(OLD_NEWS_PAUSE_S)
            return
        if news is None or news.end < self._copy.end:
            raise errors.PeerUnavailable(
                'the peer is behind or cannot reach the log; ask another'
            )
        if news.end > self._copy.end:
            self._take_news(news)
        # The question arrived after it was asked. The peer's clock may have
        # measured the time since then too long.
        drift_s = CLOCK_DRIFT * abs(answer.as_of_s)
        self._advance_as_of(asked_at + answer.as_of_s - drift_s)

    def _end_peer_read(self) -> None:
        """Note whether the read from a peer has failed."""
        if self._read_task.cancelled():
            return
        error = self._read_task.exception()
        if error is None:
            return
        if not isinstance(error, errors.SesameError):
            raise error
        self._logger.log_message(
            'journal: no news from peer',
            topic=self.topic_name,
            member=self._source.member.name,
            reason=str(error),
        )
        self._sources.note_failed(self._source)

    def _check_peer_read(self, now) -> None:
        """Leave a peer that is behind others, or whose copy gets old."""
        if self._stall_detector.is_doubtful(now):
            self._sources.note_failed(self._source)
            self._next_source = self._sources.find_member(self._ahead)
            self._read_task.cancel()
        elif now - self.view.as_of > self._renewal_age_s:
            self._renew_read()

    def _take_question(self, question) -> asyncio.Future:
        """Return the future of the NewsAnswer to a peer."""
        self._learn_era(question.end)
        loop = asyncio.get_running_loop()
        asker = Asker(
            question.end,
            clock.read_boot_clock(),
            self.view.as_of,
            loop.create_future(),
        )
        if self.view.end > question.end or not self._connected:
            self._answer_news(asker)
        else:
            self._askers.append(asker)
            loop.call_later(question.wait_s, self._answer_news, asker)
        return asker.answer

    def _answer_news(self, asker: Asker) -> None:
        if asker in self._askers:
            self._askers.remove(asker)
        if asker.answer.done():
            return
        if self._copy is None or (
            asker.end >= self.view.end and not self._connected
        ):
            # The peer has to find a source that reaches the log.
            asker.answer.set_result(registry.NewsAnswer(None, 0.0))
            return
        news = self._news.get(asker.end)
        if news is None:
            news = self._news[asker.end] = topicnews.build_news(
                self._copy, self._removed, asker.end
            )
        asker.answer.set_result(
            registry.NewsAnswer(news, self.view.as_of - asker.asked_at)
        )

    def _take_news(self, news) -> None:
        if news.is_whole:
            self._removed.forget(news.end)
        for key, offset in news.removed:
            self._removed.add(key, offset)
        self._replace_copy(topicnews.apply_news(self._copy, news))

    async def _read(self) -> bool:
        """Read once; return whether it brought records."""
        self._read_era = self._eras.current
        sent_at = self._read_since = clock.read_boot_clock()
        self._received_before = self._topic.received
        self._stall_detector.note_sent(sent_at, self._topic.received)
        if self._copy is None:
            self._replace_whole(await self._topic.read_newest())
            self._advance_as_of(sent_at)
            return True
        offset = self._copy.end
        wait_s = self._choose_wait()
        self._wait_s, self._skip_wait = wait_s, False
        try:
            batch = await self._topic.read(offset, wait_s)
        except errors.RetentionGap:
            self._wait_s = 0.0
            copy = await self._topic.read_newest()
            if copy.end >= self._copy.end:
                self._replace_whole(copy)
                self._advance_as_of(sent_at)
            return True
        # A peer's copy, adopted in the meantime, may contain some entries.
        already_folded = self._copy.end - offset
        if len(batch.entries) > already_folded:
            self._fold_entries(batch.entries[already_folded:])
            # One answer may hold only a part of what the copy lacks.
            self._lacks_records = self._copy.end < batch.end
            if not self._lacks_records:
                self._advance_as_of(sent_at)
            return True
        if already_folded:
            return False
        if batch.end == offset:
            # The log waited for new records, so the copy was still current
            # at the end of the wait.
            waited = clock.read_boot_clock() - sent_at
            self._advance_as_of(sent_at + min(wait_s, waited))
        return False

    def _fold_entries(self, entries) -> None:
        items = dict(self._copy.items)
        offset = self._copy.end
        for index, entry in enumerate(entries):
            if entry.value:
                items[entry.key] = registry.TopicItem(
                    offset + index, entry.value
                )
            else:
                items.pop(entry.key, None)
                self._removed.add(entry.key, offset + index)
        self._replace_copy(registry.TopicCopy(offset + len(entries), items))

    def _replace_whole(self, copy) -> None:
        """Take a copy that does not tell which keys were removed."""
        self._removed.forget(copy.end)
        self._replace_copy(copy)

    def _replace_copy(self, copy) -> None:
        self._copy = copy
        self._grown_at = clock.read_boot_clock()
        self._news.clear()
        self._stall_detector.note_copy(copy.end)
        self.view.move_to(copy.end)
        for subscriber in self._subscribers:
            subscriber.tell(registry.TopicChanged(self._topic.name, copy))
        self._answer_askers()

    def _advance_as_of(self, as_of) -> None:
        if as_of > self.view.as_of:
            self.view.as_of = as_of
            self._answer_askers()

    def _answer_askers(self) -> None:
        """Answer the peers for which there is something new."""
        loop = asyncio.get_running_loop()
        for asker in self._askers:
            is_current = asker.end == self.view.end
            progress_s = self.view.as_of - asker.as_of
            if asker.end < self.view.end or (
                is_current and progress_s >= NEWS_PROGRESS_S
            ):
                # Later, since the time of a new copy is set after the copy.
                loop.call_soon(self._answer_news, asker)

    def _compare_position(self, position) -> None:
        if self._copy is None:
            return
        self._learn_era(position.end)
        if position.end <= self._copy.end:
            # The peer's copy was current at that time, and this one is not
            # older.
            self._advance_as_of(position.as_of)
        else:
            self._ahead = position.member
            self._stall_detector.note_ahead(
                clock.read_boot_clock(), position.end
            )
            self.tick_s = WATCH_INTERVAL_S
            self.tick_within(WATCH_INTERVAL_S)

    def _choose_wait(self) -> float:
        """Return the seconds that a read of the log waits for a record."""
        at_once = self._must_return_at_once()
        if at_once or self._sources is None:
            return polls.choose_wait(
                self._count_peers(), at_once, random.random
            )
        rank, count = self._sources.find_reader_rank(self.topic_name)
        return polls.choose_reader_wait(
            count, rank, clock.read_boot_clock() - self._grown_at
        )

    def _must_return_at_once(self) -> bool:
        """Return whether the next read must return at once."""
        return not self._connected or self._skip_wait or self._is_old()

    def _is_old(self) -> bool:
        """Return whether the copy has to be confirmed by a read at once."""
        age_s = clock.read_boot_clock() - self.view.as_of
        # Not if the latest read already was one without a wait.
        return age_s > self._renewal_age_s and self._wait_s > 0.0

    def _renew_read(self) -> None:
        """Replace a waiting read by one that returns at once.

        A read continues if its response has begun, or if a peer is ahead: then
        the log has records for it, and its response must be under way.
        """
        received = self._topic.received - self._received_before
        if self._stall_detector.is_behind or self._wait_s == 0.0 or received:
            return
        self._restart_read()

    def _restart_read(self) -> None:
        """Replace the read in progress by one that returns at once."""
        if self._read_task is None or self._read_task.done():
            return
        self._skip_wait = True
        self._read_task.cancel()

    def _drop_read(self, now) -> None:
        """Restart the read: it is silent although a peer has newer records."""
        self._logger.log_message(
            'journal: read dropped',
            topic=self._topic.name,
            end=self.view.end,
            silent_s=round(self._stall_detector.measure_silence(now), 3),
            read_s=round(now - self._read_since, 3),
            received=self._topic.received - self._received_before,
        )
        self._count_dropped({'topic': self._topic.name})
        self._stall_detector.note_dropped()
        self._read_task.cancel()

    def _set_connected(self, connected, reason) -> None:
        if connected == self._connected:
            return
        self._connected = connected
        if not connected:
            for asker in list(self._askers):
                self._answer_news(asker)
        fields = {
            'topic': self._topic.name,
            'end': self.view.end,
            'age_s': round(clock.read_boot_clock() - self.view.as_of, 3),
        }
        if connected:
            eliot.log_message('journal: contact regained', **fields)
        else:
            eliot.log_message('journal: contact lost', reason=reason, **fields)
