"""Questions for the expected wait over real connections between nodes."""

import asyncio
import math

import pytest

from sesamejunction.model import choosing
from sesamejunction.model import linking
from sesamejunction.tasks import linkserver
from sesamejunction.tasks import waitquestions
from sesamejunction.ui import hostedqueries
from test import requestfakes
from test import test_links as linktests

EXPECTED = choosing.ExpectedWait(0.2, 0.05, 5)
REFUSED = choosing.ExpectedWait(math.inf, 0.0, 0)
# Beside load a timer or an answer may be late by this much.
LATE_S = 0.2


class Scheduler:
    """Fake scheduler with a fixed estimate."""

    def estimate_wait(self, _route):
        return EXPECTED


def make_server():
    handler = hostedqueries.QueryHandler(
        None, None, Scheduler(), (), None, 'orders'
    )
    return linkserver.LinkServer(
        linkserver.ServerPorts(
            requestfakes.MEMBERS[2].incarnation, b'', None, handler.answer
        )
    )


class Silent(linktests.MutePeer):
    """Answers no question."""

    def handle_frame(self, frame) -> None:
        pass


# Guards against a choice that waits for a node that is cut off, and against
# an exchange that stays open. Columns: peer, service asked for, answer.
ROWS = {
    'answers': (make_server, 'orders', EXPECTED),
    'of another service': (make_server, 'stock', REFUSED),
    'silent': (Silent, 'orders', None),
}


@pytest.mark.parametrize('row', ROWS)
async def test_question_ends_in_time(row):
    peer, service, expected = ROWS[row]
    loop = asyncio.get_running_loop()
    async with linktests.open_sender(peer) as (sender, member):
        questions = waitquestions.WaitQuestions(sender, None, 'stock')

        async def ask():
            ended = loop.create_future()
            questions.ask([member], service, 'r', ended.set_result)
            async with asyncio.timeout(waitquestions.ANSWER_LIMIT_S + LATE_S):
                return await ended

        # Without a connection nothing is known; the next question has one.
        assert await ask() == {}
        link = await sender._connect(member, False, 1.0)
        answers = {}
        for _ in range(20):
            answers = answers or await ask()
        found = answers.get(member.incarnation)
        assert (found and found[0]) == expected
        assert not link._exchanges


def test_question_has_tags_of_its_own():
    """Earlier versions must not take it for another frame."""
    tags = [
        frame.__struct_config__.tag
        for frame in (linking.WaitQuestion, linking.WaitReply)
    ]
    assert tags == [20, 21]
