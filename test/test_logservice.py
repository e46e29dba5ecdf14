"""Tests log client, journal and appender with the stand-in over HTTP."""

import asyncio
import contextlib
import dataclasses
import os
import socket
import subprocess
import sys

import aiohttp
import pytest

from sesamejunction.border import loghttp
from sesamejunction.model import journaling
from sesamejunction.tasks import appender
from sesamejunction.tasks import journal
from test import logs

HOST = '127.0.0.1'


@pytest.fixture(scope='module')
def log_url():
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        port = bound.getsockname()[1]
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.log', f'--port={port}'],
        env=os.environ | {'UV_USE_IO_URING': '0'},
    )
    yield f'http://{HOST}:{port}'
    process.terminate()
    process.wait(10)


async def post_fault(url, **fault):
    """Set a fault, after waiting for the stand-in to start."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(10):
        while True:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                async with session.post(f'{url}/-/fault', json=fault) as reply:
                    return await reply.json()
            await asyncio.sleep(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the log while a ticket is appended, and its effects.

    ``heal`` ends the fault, ``least_copies`` is the minimum number of copies
    of the ticket afterwards. ``readable`` tells whether the reader still gets
    pages during the fault.
    """

    body: dict
    heal: dict
    least_copies: int
    readable: bool


FAULTS = {
    'up': Fault({}, {}, 1, True),
    'down': Fault({'down': True}, {'down': False}, 1, False),
    'slow': Fault({'delay_s': 0.1}, {'delay_s': 0.0}, 1, True),
    'late replies': Fault(
        {'reply_delay_s': 0.1}, {'reply_delay_s': 0.0}, 1, True
    ),
    'lost replies': Fault({'lose_replies': 2}, {}, 3, True),
    'partition': Fault({'partition': True}, {'partition': False}, 1, False),
    'restart of retention': Fault({'drop_before': 1}, {}, 1, True),
}


# Guards against a log fault that blocks the reader or other tasks, loses an
# acknowledged record, or needs a restart after it has ended.
@pytest.mark.parametrize('name', FAULTS)
async def test_fault(name, log_url, monkeypatch):
    fault = FAULTS[name]
    monkeypatch.setattr(loghttp, 'APPEND_TIMEOUT_S', 0.4)
    monkeypatch.setattr(journal, 'MIN_READ_MARGIN_S', 0.5)
    monkeypatch.setattr(journal, 'READ_WAIT_S', 0.1)
    await post_fault(log_url, reset=True)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(loghttp.LogClient(log_url))
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        sender = appender.Appender(client)
        reader = journal.Journal(client, (sender,))
        for coroutine in (sender.run(), reader.run(), reader.follow()):
            stack.callback(tasks.create_task(coroutine).cancel)
        await sender.ask(journaling.Append(logs.make_ticket(1)))
        await wait_for_ticket(reader, 1)
        await post_fault(log_url, **fault.body)
        # A read that began before the fault may still be answered.
        await asyncio.sleep(0.3)
        contact = await reader.ask(journaling.GetLogContactTime())
        waiting = tasks.create_task(
            sender.ask(journaling.Append(logs.make_ticket(2)))
        )
        for _ in range(25):
            # Any other task would be blocked for as long as this loop.
            async with asyncio.timeout(0.25):
                await reader.ask(journaling.GetState())
            await asyncio.sleep(0.02)
        later = await reader.ask(journaling.GetLogContactTime())
        assert (later > contact + 0.1) is fault.readable
        await post_fault(log_url, **fault.heal)
        offset = await waiting
        await wait_for_ticket(reader, 2)
        following = (await post_fault(log_url))['next']
        assert following > offset
        assert following - 1 >= fault.least_copies


async def wait_for_ticket(reader, number):
    async with asyncio.timeout(5):
        while True:
            current = await reader.ask(journaling.GetState())
            if current.last_ticket == number:
                return
            await asyncio.sleep(0.01)
