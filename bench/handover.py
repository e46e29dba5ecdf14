"""Measures the size and time of handing over idempotency records.

A node that stops hands the records of its slots to the next owners.
"""

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
# Period from which a stopping node holds records of orders.
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


def make_key(created_at: float, number: int) -> str:
    """Return an idempotency key (UUIDv7) for a wall-clock time in seconds."""
    fields = int(created_at * 1000) << 80 | 7 << 76 | 2 << 62 | number
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
    slot_handovers = handovers.Handovers(task)
    slot_order = state.SlotOrder(1, (1, 2))
    started, releases = time.perf_counter(), []
    for number in range(count):
        token = requests.Token(1, 0)
        before = ownership.Slot(
            'orders', number, slot_order, token=token, known_since=0.0
        )
        after = ownership.Slot('orders', number, slot_order, released=1)
        slot_release = owning.SlotRelease('orders', number, 1, 2**62)
        releases.append(
            await slot_handovers.add_records(slot_release, before, after)
        )
    return releases, time.perf_counter() - started


def measure_reply_bytes(releases) -> int:
    """Return the size in bytes of the reply that carries the releases."""
    wire = releasecodec.encode_releases(releases)
    return peers_pb2.ReleaseReply(given=wire).ByteSize()


async def run() -> None:
    """Print bytes and time for a node with and without recent orders."""
    for name, slots, has_orders in (
        ('no records', TWO_YEAR_SLOTS, False),
        (f'{ORDERS_PER_S} orders/s', SLOTS, True),
    ):
        task = records.Once()
        running_task = asyncio.create_task(task.run())
        if has_orders:
            await record_orders(task)
        releases, taken_s = await release_slots(task, slots)
        running_task.cancel()
        count = sum(len(release.entries) for release in releases)
        control.report(f'{name}, records in {slots} slots', count, '')
        control.report(
            f'{name}, a release',
            measure_reply_bytes(releases) / slots,
            'bytes',
        )
        control.report(
            f'{name}, all releases', measure_reply_bytes(releases), 'bytes'
        )
        control.report(f'{name}, time of all', taken_s * 1e3, 'ms')


if __name__ == '__main__':
    uvloop.run(run())
