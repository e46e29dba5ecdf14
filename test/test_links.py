"""Connections between nodes: which ones are taken for silent."""

import asyncio

import pytest
import uvloop

from sesamejunction.border import framing
from sesamejunction.border import hostedmetrics
from sesamejunction import errors
from sesamejunction.model import linking
from sesamejunction.tasks import links
from sesamejunction.tasks import vitals

# Connections of one run, begun at different parts of the loop's clock tick.
CONNECTIONS = 60
TICK_PART_S = 0.00317
WORK_S = 1.3


class Peer(framing.FrameProtocol):
    """Answers signs of life and, after a while, the work."""

    answers_pings = True

    def take_frame(self, frame) -> None:
        if isinstance(frame, linking.Ping):
            if self.answers_pings:
                self.send_frame(linking.Pong(0))
            return
        asyncio.get_running_loop().call_later(
            WORK_S, self.send_frame, linking.Done(frame.id, 200, (), b'', None)
        )


class SilentPeer(Peer):
    """Takes work and says nothing until it is done."""

    answers_pings = False


async def count_lost(peer) -> int:
    """Return how many exchanges got no reply from the peer."""
    loop = asyncio.get_running_loop()
    watch = vitals.Vitals(vitals.Traffic(), hostedmetrics.HostedMetrics())
    server = await loop.create_server(peer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]

    async def exchange():
        _, link = await loop.create_connection(
            lambda: links.Link(watch), '127.0.0.1', port
        )
        number, reply = link.start_exchange(True)
        link.send_frame(linking.LoadQuestion(number))
        try:
            await reply
        except errors.PeerLost:
            return 1
        finally:
            link.end_exchange(number)
            link.transport.abort()
        return 0

    running = []
    for _ in range(CONNECTIONS):
        running.append(asyncio.ensure_future(exchange()))
        await asyncio.sleep(TICK_PART_S)
    lost = sum(await asyncio.gather(*running))
    server.close()
    return lost


@pytest.mark.parametrize(
    ('peer', 'lost'),
    [
        pytest.param(Peer, 0, id='signs of life are answered'),
        pytest.param(SilentPeer, CONNECTIONS, id='signs of life are not'),
    ],
)
def test_only_peers_that_were_asked_are_taken_for_silent(peer, lost):
    # Guards against a connection that is given up without having been asked
    # for a sign of life, because a timer fired a rounding error early.
    assert uvloop.run(count_lost(peer)) == lost
