"""Measures the processor time that counting one request takes."""

import asyncio
import time

import uvloop

from sesamejunction.border import callermiddleware
from sesamejunction.model import journaling
from sesamejunction.model import state
from sesamejunction.tasks import meter

REQUESTS = 50_000


async def measure() -> float:
    """Return the processor time to count one request, in microseconds."""
    task = meter.Meter()
    running = asyncio.create_task(task.run())
    service = state.Service('s', state.Routing.LOAD, 1)
    task.publish(journaling.StateChanged(state.State(services={'s': service})))
    middleware = callermiddleware.CallerMiddleware(task, time.monotonic)
    started = time.process_time()
    for _ in range(REQUESTS):
        middleware.count_request('s', 'entry', 'answered', 0.003)
        await asyncio.sleep(0)
    middleware.flush()
    await asyncio.sleep(0.01)
    counting_ended = time.process_time()
    # The cost of the loop itself, which is subtracted.
    for _ in range(REQUESTS):
        await asyncio.sleep(0)
    idle_s = time.process_time() - counting_ended
    running.cancel()
    return (counting_ended - started - idle_s) / REQUESTS * 1e6


def main() -> None:
    """Print the results of three runs."""
    for _ in range(3):
        print(f'{uvloop.run(measure()):.2f} us a request')


if __name__ == '__main__':
    main()
