"""Measures the idempotency records that move when a node stops."""

import asyncio
import time
import uuid

import uvloop

from bench import control
from sesamejunction.border.proto import peers_pb2
from sesamejunction.border import releasecodec
from sesamejunction.decisions import ownership
from sesamejunction.model import once
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.tasks import handovers
from sesamejunction.tasks import once as records

ORDERS_PER_S = 60
RECORDED_S = 60
SLOTS = 64
# Slots of one node at the two-year design size.
TWO_YEAR_SLOTS = 2_000
HEADERS = (
    ('Content-Type', 'application/json'),
    ('Content-Length', '200'),
    ('SJ-Request-Id', '0' * 34),
)
KEPT_ANSWER = once.KeptAnswer(200, HEADERS, b'x' * 200)


def make_key(made_at: float, number: int) -> str:
    """Return an idempotency key (UUIDv7) for a wall-clock time in seconds."""
    fields = int(made_at * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=fields))


async def record_orders(task) -> None:
    """Record RECORDED_S seconds of answered orders, spread over slots."""
    started = time.time() - RECORDED_S
    for number in range(ORDERS_PER_S * RECORDED_S):
        key = make_key(started + number / ORDERS_PER_S, number)
        identity = once.Identity('organisation', None, key)
        slot = number % SLOTS
        await task.ask(once.Begin(identity, 'r', 'orders', slot, started))
        task.tell(
            once.RecordResult(
                identity, 'r', once.Progress.ANSWERED, KEPT_ANSWER
            )
        )


async def release_slots(task, count: int):
    """Return the releases of all slots and the time taken in seconds."""
    moving = handovers.Handovers(task)
    arranged = state.SlotOrder(1, (1, 2))
    started, given = time.perf_counter(), []
    for number in range(count):
        token = requests.Token(1, 0)
        before = ownership.Slot(
            'orders', number, arranged, token=token, known_since=0.0
        )
        after = ownership.Slot('orders', number, arranged, released=1)
        plain = owning.SlotRelease('orders', number, 1, 2**62)
        given.append(await moving.add_records(plain, before, after))
    return given, time.perf_counter() - started


def measure_reply_bytes(given) -> int:
    """Return the size of the reply that carries the releases."""
    wire = releasecodec.encode_releases(given)
    return peers_pb2.ReleaseReply(given=wire).ByteSize()


async def run() -> None:
    """Print bytes and time for a node with and without recent orders."""
    for name, slots, filled in (
        ('no records', TWO_YEAR_SLOTS, False),
        (f'{ORDERS_PER_S} orders/s', SLOTS, True),
    ):
        task = records.Once()
        running = asyncio.create_task(task.run())
        if filled:
            await record_orders(task)
        given, taken_s = await release_slots(task, slots)
        running.cancel()
        count = sum(len(one.entries) for one in given)
        control.report(f'{name}, records in {slots} slots', count, '')
        control.report(
            f'{name}, a release', measure_reply_bytes(given) / slots, 'bytes'
        )
        control.report(
            f'{name}, all releases', measure_reply_bytes(given), 'bytes'
        )
        control.report(f'{name}, time of all', taken_s * 1e3, 'ms')


if __name__ == '__main__':
    uvloop.run(run())
