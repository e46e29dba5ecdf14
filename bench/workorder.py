"""Measures one decision of a scheduler with a number of waiting requests.

Run with ``python -m bench.workorder``. The reviews of late requests run
20 times a second while requests wait.
"""

import asyncio
import dataclasses
import random
import time

import fire

from bench import tables
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.tasks import scheduler

SLOTS = 8
ROUTES = 6
RANKS = 3
# Long enough that nothing is refused.
LEFT_S = 1e4
DECISIONS = 2_000
REVIEWS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Processor time of decisions in microseconds.

    ``replace_us`` is the end of one request, the start of the next and the
    admission of a new one; ``check_us`` an admission check; ``review_us`` a
    search for late requests.
    """

    queue: str
    waiting: int
    replace_us: float
    check_us: float
    review_us: float


class Holdings:
    """Key ranges of a target that has none."""

    rows = ()


def make_head(number: int, now: float, rng: random.Random) -> requests.Head:
    """Return the head of a new request."""
    return requests.Head(
        *(f'r{number}', 's', 'GET', '/', None, None, 'one', now + LEFT_S),
        repeatable=True,
        route=f'route-{rng.randrange(ROUTES)}',
        rank=rng.randrange(RANKS),
        objective=now + rng.uniform(-1.0, 1.0),
        standing=requests.Standing(int(rng.random() < 0.1)),
    )


async def measure(waiting: int, is_fair: bool) -> Row:
    """Return the times with ``waiting`` requests in the queue."""
    rng, now = random.Random(3), 1000.0
    made = scheduler.Scheduler('s', Holdings(), lambda: now)
    declared = {'one': state.Organisation('one', 0.0, 0.0)} if is_fair else {}
    await made.handle(
        journaling.StateChanged(state.State(organisations=declared))
    )
    await made.handle(
        leasing.TargetStatus(ranges.Life('node', 'target', 1), SLOTS, 0.0)
    )
    heads = [
        make_head(number, now, rng)
        for number in range(SLOTS + waiting + DECISIONS)
    ]
    replies = {}
    for head in heads[: SLOTS + waiting]:
        replies[head.request_id] = await made.handle(gating.Admit(head))
    running = list(made._running)
    started = time.process_time()
    for head in heads[SLOTS + waiting :]:
        await made.handle(gating.WorkFinished(running.pop(), 0.05))
        running.append(next(reversed(made._running)))
        await made.handle(gating.Admit(head))
    replaced = time.process_time()
    for head in heads[:DECISIONS]:
        await made.handle(gating.CheckAdmission(head))
    checked = time.process_time()
    for _ in range(REVIEWS):
        await made.tick()
    reviewed = time.process_time()
    return Row(
        'organisations' if is_fair else 'order of work',
        made.load.queued,
        (replaced - started) / DECISIONS * 1e6,
        (checked - replaced) / DECISIONS * 1e6,
        (reviewed - checked) / REVIEWS * 1e6,
    )


def main() -> None:
    """Print a table for each number of waiting requests."""
    rows = [
        asyncio.run(measure(waiting, is_fair))
        for is_fair in (False, True)
        for waiting in (0, 10, 100, 1_000)
    ]
    tables.print_rows(rows)


if __name__ == '__main__':
    fire.Fire(main)
