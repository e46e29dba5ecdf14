"""Hedged connection attempts, of which the first to succeed is used."""

import asyncio
import math
from unittest import mock

import pytest

from sesamejunction.tasks import connector

ATTEMPT_DELAYS_S = (0.04, 0.08)
NEVER = math.inf


class Network:
    """Makes connections after scripted delays, or fails with an error.

    With ``together`` all attempts end when the last one has started.
    """

    def __init__(self, script, together=False):
        self._script = script
        self._all = asyncio.Event()
        self._together = together
        self.made = 0
        self.cancelled = []
        self.transports = {}

    async def connect(self):
        number, self.made = self.made, self.made + 1
        wait_s, error = self._script[number]
        if self.made == len(self._script):
            self._all.set()
        try:
            if self._together:
                await self._all.wait()
            else:
                await asyncio.sleep(min(wait_s, 60))
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise
        if error is not None:
            raise error
        self.transports[number] = mock.Mock()
        return self.transports[number], number

    def list_aborted(self):
        return [
            number
            for number, one in self.transports.items()
            if one.abort.called
        ]


REFUSED = ConnectionRefusedError()


# Guards against a lost SYN that costs 1 s, and against attempts that stay
# open. Rows: delay and error of each attempt, the attempt used (None if its
# error is raised), number of attempts, and those cancelled.
@pytest.mark.parametrize(
    ('script', 'first', 'made', 'cancelled'),
    [
        pytest.param([(0, None)], 0, 1, [], id='first at once'),
        pytest.param([(NEVER, None), (0.01, None)], 1, 2, [0], id='one lost'),
        pytest.param(
            *([(NEVER, None), (NEVER, None), (0.01, None)], 2, 3, [0, 1]),
            id='two lost',
        ),
        pytest.param([(0.07, None), (NEVER, None)], 0, 2, [1], id='late'),
        pytest.param([(0, REFUSED)], None, 1, [], id='refused'),
        pytest.param(
            [(NEVER, None), (0, REFUSED)], None, 2, [0], id='lost, refused'
        ),
    ],
)
async def test_first_successful_attempt_is_used(
    script, first, made, cancelled
):
    network = Network(script)
    try:
        _, connection = await connector.connect_hedged(
            network.connect, ATTEMPT_DELAYS_S
        )
    except ConnectionRefusedError:
        connection = None
    await asyncio.sleep(0.01)
    assert (connection, network.made) == (first, made)
    assert network.cancelled == cancelled
    assert not network.list_aborted()
    assert len(asyncio.all_tasks()) == 1


# Guards against a leaked connection if two attempts end in the same iteration
# of the loop. Rows: errors, attempts that may be used, number of connections
# closed.
@pytest.mark.parametrize(
    ('errors', 'firsts', 'closed'),
    [
        pytest.param((None, None), {0, 1}, 1, id='both made'),
        pytest.param((REFUSED, None), {1}, 0, id='first refused'),
        pytest.param((None, REFUSED), {0}, 0, id='second refused'),
    ],
)
async def test_simultaneous_attempts_leak_no_connection(
    errors, firsts, closed
):
    network = Network([(0, one) for one in errors], together=True)
    _, connection = await connector.connect_hedged(
        network.connect, ATTEMPT_DELAYS_S
    )
    await asyncio.sleep(0)
    assert connection in firsts
    assert len(network.list_aborted()) == closed
    assert connection not in network.list_aborted()


# Guards against attempts that continue after the caller was cancelled. Rows:
# seconds until the cancellation, number of attempts made until then.
@pytest.mark.parametrize(('after_s', 'made'), [(0.01, 1), (0.06, 2), (0.2, 3)])
async def test_cancellation_cancels_all_attempts(after_s, made):
    network = Network([(NEVER, None)] * 3)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(after_s):
            await connector.connect_hedged(network.connect, ATTEMPT_DELAYS_S)
    await asyncio.sleep(0)
    assert sorted(network.cancelled) == list(range(made))
    assert len(asyncio.all_tasks()) == 1
