"""Answers queries from other nodes with the tasks of this node."""

import math

import eliot

from sesamejunction.border import linkcodec
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import leasing
from sesamejunction.model import linking
from sesamejunction.model import registry
from sesamejunction.tasks import clock


class QueryHandler:
    """Passes each query to the task that can answer it.

    ``followers`` read the topics that other nodes may copy from this one.
    ``recovery`` knows the facts of earlier eras of the store. ``service`` is
    the one of the target beside this node.
    """

    def __init__(
        self, lease, terms, scheduler, followers, recovery, service=''
    ):
        self._service = service
        self._recovery = recovery
        self._lease = lease
        self._terms = terms
        self._scheduler = scheduler
        self._news_encoder = linkcodec.NewsEncoder()
        self._followers = {
            topic_follower.topic_name: topic_follower
            for topic_follower in followers
        }

    async def answer_local(self, message):
        """Return this node's own answer to a query."""
        match message:
            case leasing.AskRelease():
                return await self._lease.ask(message)
            case leasing.AskAllocatorStop():
                return await self._terms.ask(message)
            case leasing.AskKeyLoad():
                return await self._scheduler.ask(message)

    async def answer(self, frame):
        """Return the reply frame for another node, None if there is none."""
        try:
            match frame:
                case (
                    linking.ReleaseQuestion(body=body)
                    | linking.AllocatorStopQuestion(body=body)
                ):
                    released = await self.answer_local(body)
                    return linking.ReleaseReply(frame.id, released)
                case linking.LoadQuestion():
                    report = await self.answer_local(leasing.AskKeyLoad())
                    return linking.LoadReply(frame.id, report)
                case linking.CopyQuestion(topic=topic):
                    return await self._copy_topic(frame.id, topic)
                case linking.FloorQuestion(era=era, end=end):
                    answer = await self._recovery.ask(
                        registry.AskFloor(era, end)
                    )
                    return linking.FloorReply(frame.id, answer)
                case linking.NewsQuestion():
                    return await self._answer_news(frame)
                case linking.WaitQuestion():
                    return self._answer_wait(frame)
                case _:
                    return None
        except errors.SesameError as error:
            eliot.log_message('peer: question failed', reason=str(error))
            return None

    def _answer_wait(self, frame) -> linking.WaitReply:
        expected = choosing.ExpectedWait(math.inf, 0.0, 0)
        if frame.service == self._service:
            expected = self._scheduler.estimate_wait(frame.route)
        return linking.WaitReply(
            frame.id, expected.wait_s, expected.run_s, expected.slots
        )

    async def _copy_topic(self, frame_id, topic):
        follower = self._followers.get(topic)
        if follower is None:
            return linking.CopyReply(frame_id, None, 0.0)
        # Computed before the copy is taken, so the copy is not older.
        age_s = clock.read_boot_clock() - follower.view.as_of
        copy = await follower.ask(registry.GetCopy())
        return linking.CopyReply(frame_id, copy, age_s)

    async def _answer_news(self, frame):
        follower = self._followers.get(frame.topic)
        answer = registry.NewsAnswer(None, 0.0)
        if follower is not None:
            answer = await follower.ask(
                registry.AskNews(frame.topic, frame.end, frame.wait_ms / 1e3)
            )
        return self._news_encoder.encode(frame.id, frame.topic, answer)
