"""Questions for the expected wait at other nodes' targets."""

import asyncio
import collections.abc

from sesamejunction.border import linkcodec
from sesamejunction.model import choosing
from sesamejunction.model import linking
from sesamejunction.tasks import clock

# Answers that come later are not waited for. A round trip takes 0.2 to 2 ms,
# a busy event loop adds some, and a request runs 30 to 270 ms.
ANSWER_LIMIT_S = 0.005


class WaitQuestions:
    """Asks the nodes of targets for the wait that they expect.

    ``links`` are the connections to other nodes, ``scheduler`` is the task of
    the target beside this node, which serves ``service``.
    """

    def __init__(self, links, scheduler, service: str):
        self._links = links
        self._scheduler = scheduler
        self._service = service

    def estimate_own(self, service, route) -> choosing.ExpectedWait | None:
        """Return the expected wait at the own target.

        It is None if the target is of another service or has not reported
        its speed.
        """
        if service != self._service or not self._scheduler.reports_speed:
            return None
        return self._scheduler.estimate_wait(route)

    def ask(
        self,
        members: collections.abc.Iterable,
        service: str,
        route: str,
        on_end: collections.abc.Callable[[dict], None],
    ) -> None:
        """Ask members, and pass on the answers that come in time.

        ``on_end`` gets a dictionary of (ExpectedWait, arrival on the boot
        clock) by incarnation. It is called once, never before this returns.
        """
        round_ = QuestionRound(on_end)
        for member in members:
            exchange = self._links.start_question(
                member, choosing.AskExpectedWait(service, route)
            )
            if exchange is not None:
                round_.add(member.incarnation, *exchange)
        round_.start()


class QuestionRound:
    """The questions of one choice, which share a time limit."""

    def __init__(self, on_end):
        self._on_end = on_end
        self._open = {}
        self._answers = {}
        self._timer = None

    def add(self, incarnation: int, link, number: int, future) -> None:
        """Add a question that was sent on a connection."""
        self._open[incarnation] = link, number
        future.add_done_callback(
            lambda done: self._take_answer(incarnation, done)
        )

    def start(self) -> None:
        """Start the time limit; without a question it ends at once."""
        limit_s = ANSWER_LIMIT_S if self._open else 0.0
        self._timer = asyncio.get_running_loop().call_later(limit_s, self._end)

    def _take_answer(self, incarnation, done) -> None:
        if done.cancelled() or done.exception() is not None:
            reply = None
        else:
            reply = done.result()
        if incarnation not in self._open:
            return
        link, number = self._open.pop(incarnation)
        link.end_exchange(number)
        if isinstance(reply, linking.WaitReply):
            self._answers[incarnation] = (
                linkcodec.decode_question_reply(reply),
                clock.read_boot_clock(),
            )
        if not self._open:
            self._timer.cancel()
            self._end()

    def _end(self) -> None:
        for link, number in self._open.values():
            link.end_exchange(number)
        self._open = {}
        self._on_end(self._answers)
