"""A node without the log fetches copies from peers, one at a time."""

import asyncio
import types

import pytest

from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.tasks import copyfetcher

COPY = registry.TopicCopy(9, {})


def make_member(name):
    return types.SimpleNamespace(name=name)


class Links:
    """Answers when released, and records the questions."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []
        self.released = asyncio.Event()

    async def ask(self, member, message):
        """Return or raise the member's answer."""
        self.asked.append((member.name, message.end))
        await self.released.wait()
        answer = self.answers[member.name]
        if isinstance(answer, Exception):
            raise answer
        return answer


class Follower:
    """Replaces the follower that receives the copies."""

    topic_name = 'routes'

    def __init__(self, end):
        self.view = types.SimpleNamespace(end=end)
        self.told = []

    def tell(self, message):
        """Record a copy."""
        self.told.append(message.copy)


SILENT = errors.PeerUnavailable('b gave no answer; ask another peer')
WHOLE = types.SimpleNamespace(body=COPY, age=0.0)
NO_NEWER = types.SimpleNamespace(body=None, age=0.0)


# Guards against a node that asks all peers that are ahead at the same time,
# that asks a silent one forever, or that fails with a peer.
@pytest.mark.parametrize(
    ('end', 'ahead', 'asked', 'told'),
    [
        pytest.param(5, [('a', 9)], ['a'], [COPY], id='one peer'),
        pytest.param(9, [('a', 9)], [], [], id='not ahead any more'),
        pytest.param(5, [('c', 9)], ['c'], [], id='peer has no newer copy'),
        pytest.param(
            5, [('b', 9), ('a', 9)], ['b', 'a'], [COPY], id='first is silent'
        ),
        pytest.param(
            *(5, [('b', 9), ('c', 9), ('b', 9), ('a', 9)], ['b', 'a']),
            [COPY],
            id='newest of those found meanwhile',
        ),
    ],
)
@pytest.mark.asyncio
async def test_newest_copy_is_fetched_from_one_peer_at_a_time(
    end, ahead, asked, told
):
    links = Links({'a': WHOLE, 'b': SILENT, 'c': NO_NEWER})
    follower = Follower(end)
    fetcher = copyfetcher.CopyFetcher(follower, links)
    running = asyncio.ensure_future(fetcher.run())
    try:
        for name, at in ahead:
            fetcher.publish(registry.PeerAhead(make_member(name), at))
            await asyncio.sleep(0.01)
        links.released.set()
        await asyncio.sleep(0.01)
        assert [name for name, _ in links.asked] == asked
        assert follower.told == told
        assert not running.done()
    finally:
        running.cancel()
        await asyncio.wait((running,))
