"""Measures the appender and the journal against the stand-in log."""

import asyncio
import contextlib
import dataclasses
import os
import socket
import subprocess
import sys
import time

import aiohttp
import fire

from bench import tables
from sesamejunction.border import loghttp
from sesamejunction.model import journaling
from sesamejunction.model import records
from sesamejunction.tasks import appender
from sesamejunction.tasks import journal

HOST = '127.0.0.1'
START_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Cost of a burst of records; ``cpu_us`` is the mean for one record.

    ``folded_ms`` is the time from the first proposal until the journal has
    folded the last record.
    """

    proposed: int
    appends: int
    log_bytes: int
    folded_ms: float
    records_per_s: float
    cpu_us: float


async def read_counts(url: str) -> dict:
    """Return the counters of the stand-in; waits for it to start."""
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientConnectorError):
                    async with session.get(f'{url}/-/counts') as reply:
                        return await reply.json()
                await asyncio.sleep(0.05)


async def run_burst(url: str, count: int) -> Row:
    """Propose all tickets at once and wait until they are folded."""
    before = await read_counts(url)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(loghttp.LogClient(url))
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        sender = appender.Appender(client)
        reader = journal.Journal(client, (sender,))
        for one in (sender.run(), reader.run(), reader.follow()):
            stack.callback(tasks.create_task(one).cancel)
        current = await reader.ask(journaling.GetState())
        while current.offset < before['next']:
            await asyncio.sleep(0.01)
            current = await reader.ask(journaling.GetState())
        first = current.last_ticket + 1
        started, used = time.perf_counter(), time.process_time()
        for number in range(first, first + count):
            record = records.TicketApplied(number, 'x' * 64, 'ana')
            sender.tell(journaling.Propose(record))
        while current.last_ticket < first + count - 1:
            await asyncio.sleep(0.001)
            current = await reader.ask(journaling.GetState())
        elapsed_s = time.perf_counter() - started
        used = time.process_time() - used
    after = await read_counts(url)
    return Row(
        count,
        after['appends'] - before['appends'],
        after['bytes'] - before['bytes'],
        1000 * elapsed_s,
        count / elapsed_s,
        1e6 * used / count,
    )


async def run_bursts(url: str, counts) -> list[Row]:
    """Run bursts one after the other; return a row for each."""
    return [await run_burst(url, count) for count in counts]


def main(counts='1,10,100,1000') -> None:
    """Run the bursts; an inbox holds at most 1,024 records."""
    with socket.socket() as port_probe:
        port_probe.bind((HOST, 0))
        port = port_probe.getsockname()[1]
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.log', f'--port={port}'],
        env=os.environ | {'UV_USE_IO_URING': '0'},
    )
    try:
        sizes = [int(one) for one in str(counts).strip('()').split(',')]
        rows = asyncio.run(run_bursts(f'http://{HOST}:{port}', sizes))
        tables.print_rows(rows)
    finally:
        process.terminate()
        process.wait(START_TIMEOUT_S)


if __name__ == '__main__':
    fire.Fire(main)
