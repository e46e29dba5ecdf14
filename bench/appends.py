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
    """Return the counters of the stand-in log; waits for it to start."""
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientConnectorError):
                    async with session.get(f'{url}/-/counts') as reply:
                        return await reply.json()
                await asyncio.sleep(0.05)


async def run_burst(url: str, count: int) -> Row:
    """Propose ``count`` tickets at once and wait until all are folded."""
    before = await read_counts(url)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(loghttp.LogClient(url))
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        appender_task = appender.Appender(client)
        journal_task = journal.Journal(client, (appender_task,))
        for coroutine in (
            appender_task.run(),
            journal_task.run(),
            journal_task.follow(),
        ):
            stack.callback(tasks.create_task(coroutine).cancel)
        current = await journal_task.ask(journaling.GetState())
        while current.offset < before['next']:
            await asyncio.sleep(0.01)
            current = await journal_task.ask(journaling.GetState())
        first = current.last_ticket + 1
        started, cpu_s = time.perf_counter(), time.process_time()
        for number in range(first, first + count):
            record = records.TicketApplied(number, 'x' * 64, 'ana')
            appender_task.tell(journaling.Propose(record))
        while current.last_ticket < first + count - 1:
            await asyncio.sleep(0.001)
            current = await journal_task.ask(journaling.GetState())
        elapsed_s = time.perf_counter() - started
        cpu_s = time.process_time() - cpu_s
    after = await read_counts(url)
    return Row(
        count,
        after['appends'] - before['appends'],
        after['bytes'] - before['bytes'],
        1000 * elapsed_s,
        count / elapsed_s,
        1e6 * cpu_s / count,
    )


async def run_bursts(url: str, counts) -> list[Row]:
    """Run bursts of ``counts`` records one after the other; return rows."""
    return [await run_burst(url, count) for count in counts]


def main(counts='1,10,100,1000') -> None:
    """Run bursts of these sizes; an inbox holds at most 1,024 messages."""
    with socket.socket() as port_probe:
        port_probe.bind((HOST, 0))
        port = port_probe.getsockname()[1]
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.log', f'--port={port}'],
        env=os.environ | {'UV_USE_IO_URING': '0'},
    )
    try:
        sizes = [int(size) for size in str(counts).strip('()').split(',')]
        rows = asyncio.run(run_bursts(f'http://{HOST}:{port}', sizes))
        tables.print_rows(rows)
    finally:
        process.terminate()
        process.wait(START_TIMEOUT_S)


if __name__ == '__main__':
    fire.Fire(main)
