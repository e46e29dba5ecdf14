"""Measures answers of 90 KB over two nodes whose lines are paced.

Loopback is not slower than the line speed that the nodes are told, so this
shows processor time, memory and what is refused, not delays on a slow line.
"""

import asyncio
import os
import tracemalloc

import uvloop

from bench import hop
from sesamejunction.border import hostedmetrics
from sesamejunction.model import outgoinganswers
from sesamejunction.tasks import line
from sesamejunction.ui import invocation

SMALL, *_, LARGE = hop.LOADS
MB = 1e6


def read_memory(pid: int, field: str) -> float:
    """Return a size in /proc/PID/status, such as VmRSS, in MB."""
    with open(f'/proc/{pid}/status', encoding='ascii') as file:
        for row in file:
            if row.startswith(field):
                return int(row.split()[1]) * 1024 / MB
    raise ValueError(f'/proc/{pid}/status has no {field}')


def describe_memory(fleet) -> str:
    """Return present and highest memory of the nodes."""
    return ', '.join(
        f'{name} {read_memory(process.pid, "VmRSS"):.1f} MB'
        f' (highest {read_memory(process.pid, "VmHWM"):.1f})'
        for name, process in fleet.processes.items()
    )


async def measure_burst(fleet, count: int) -> None:
    """Send ``count`` large requests at once, and small ones beside them."""
    loop = asyncio.get_running_loop()
    print(f'before the burst: {describe_memory(fleet)}')
    burst = asyncio.ensure_future(fleet.send_many(LARGE, count, count))
    times, started = [], loop.time()
    while not burst.done():
        began = loop.time()
        await fleet.send(SMALL)
        times.append(loop.time() - began)
        await asyncio.sleep(0.01)
    times.sort()
    print(
        f'burst of {count}: {burst.result()} in'
        f' {loop.time() - started:.2f} s, small beside it: median'
        f' {times[len(times) // 2] * 1e3:.1f} ms, longest'
        f' {times[-1] * 1e3:.1f} ms'
    )
    print(f'after the burst: {describe_memory(fleet)}')


async def measure_held(count: int) -> None:
    """Print the memory of one answer that is held for another node."""
    task = line.Line(10.0, hostedmetrics.HostedMetrics(), 1 << 30)
    size = len(hop.LARGE_RESPONSE_BODY)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        answer = outgoinganswers.ExpectedAnswer(number, size, 1, 9e9)
        await task.handle(
            outgoinganswers.HoldAnswer(answer, 1, bytes(bytearray(size)))
        )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'held answer of {size} bytes: {(after - before) / count:.0f} bytes')


async def measure_idle(fleet) -> dict[str, float]:
    """Return the share of a processor that each idle node uses."""
    before = fleet.read_cpu()
    await asyncio.sleep(hop.IDLE_S)
    after = fleet.read_cpu()
    return {name: (after[name] - before[name]) / hop.IDLE_S for name in after}


async def measure(line_mbps: str, count: int, burst: int) -> None:
    """Print processor time for each MB, then the result of a burst."""
    await measure_held(100)
    os.environ['SESAMEJUNCTION_LINE_MBPS'] = line_mbps
    async with hop.Fleet(False) as fleet:
        await fleet.send_many(LARGE, 100, 2)
        await asyncio.sleep(hop.SETTLE_S)
        idle = await measure_idle(fleet)
        loop = asyncio.get_running_loop()
        started, before = loop.time(), fleet.read_cpu()
        statuses = await fleet.send_many(LARGE, count, 2)
        span_s, after = loop.time() - started, fleet.read_cpu()
        moved = statuses.get(200, 0) * len(hop.LARGE_RESPONSE_BODY) / MB
        costs = {
            name: round(
                (after[name] - before[name] - idle[name] * span_s)
                / moved
                * 1e3,
                2,
            )
            for name in hop.NODES
        }
        print(f'line {line_mbps} Mbit/s: {statuses}, ms a MB: {costs}')
        await measure_burst(fleet, burst)


def start(line_mbps=1000, count=1000, burst=60) -> None:
    """Measure; a line speed of 0 sends answers whole."""
    uvloop.run(measure(str(line_mbps), int(count), int(burst)))


if __name__ == '__main__':
    invocation.run_command(start)
