"""Answers the questions that other nodes' tasks ask this node."""

import eliot

from sesamejunction import errors
from sesamejunction.model import leasing
from sesamejunction.model import linking
from sesamejunction.model import registry
from sesamejunction.tasks import clock


class Answers:
    """Passes each question to the task that knows the answer.

    ``followers`` are those of the topics that other nodes may copy.
    """

    def __init__(self, lease, terms, scheduler, followers):
        self._lease = lease
        self._terms = terms
        self._scheduler = scheduler
        self._followers = {one.topic_name: one for one in followers}

    async def answer_local(self, message):
        """Return this node's own answer to a question."""
        match message:
            case leasing.AskRelease():
                return await self._lease.ask(message)
            case leasing.AskAllocatorStop():
                return await self._terms.ask(message)
            case leasing.AskKeyLoad():
                return await self._scheduler.ask(message)

    async def answer(self, frame):
        """Return the frame that answers another node, None without one."""
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
                    return await self._copy(frame.id, topic)
                case _:
                    return None
        except errors.SesameError as error:
            eliot.log_message('peer: question failed', reason=str(error))
            return None

    async def _copy(self, number, topic):
        follower = self._followers.get(topic)
        if follower is None:
            return linking.CopyReply(number, None, 0.0)
        # Read first: the copy that comes then is not older.
        age_s = clock.read_boot_clock() - follower.view.as_of
        copy = await follower.ask(registry.GetCopy())
        return linking.CopyReply(number, copy, age_s)
