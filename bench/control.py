"""Measures the cost of leases, evidence and slot tables per node."""

import asyncio
import contextlib
import dataclasses
import math
import os
import time

import uvloop

from sesamejunction.border import packets as codec
from sesamejunction.decisions import ownership
from sesamejunction.decisions import witness
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import datagrams
from sesamejunction.tasks import leases
from sesamejunction.tasks import owners
from sesamejunction.tasks import witnesses

HOST = '127.0.0.1'
SECRET = b'fleet-secret-of-the-benchmark'
BASE = 2**62
IP_UDP_BYTES = 28
NODES = 4
RUN_S = 10.0
REPEATS = 20_000
# The two-year size: slots of a service, members, and slots of one member.
SLOTS = 65_536
MEMBERS = 2_000


class Sink:
    """Takes messages of tasks that are not measured."""

    def tell(self, message) -> None:
        """Ignore the message."""

    publish = tell


def report(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f'{name:<46} {value:>10.2f} {unit}', flush=True)


def time_calls(call, repeats: int) -> float:
    """Return the processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * 1e6


def make_state(ports) -> state.State:
    """Return a state whose members witness each other."""
    ids = [BASE + one for one in range(len(ports))]
    members = {
        one: state.Member(
            one, f'n{one}', 'z', HOST, 1, port, 2, 's', 1, 1, True
        )
        for one, port in zip(ids, ports, strict=True)
    }
    sets = {
        one: state.WitnessSet(1, tuple(o for o in ids if o != one))
        for one in ids
    }
    return state.State(offset=40_000, members=members, witness_sets=sets)


def measure_codec() -> None:
    """Measure the size and the cost of one renewal packet."""
    sender = codec.PacketCodec(SECRET, BASE)
    receiver = codec.PacketCodec(SECRET, BASE + 1)
    renew = messages.RenewLease(BASE, 3, 123456.789, 40_000, 0.1)
    size = len(sender.encode(BASE + 1, renew)) + IP_UDP_BYTES
    report('renewal with IP and UDP headers', size, 'B')
    encode_us = time_calls(lambda: sender.encode(BASE + 1, renew), REPEATS)
    report('encode and tag a renewal', encode_us, 'us')
    packed = iter([sender.encode(BASE + 1, renew) for _ in range(REPEATS)])
    decode_us = time_calls(lambda: receiver.decode(next(packed), 0.0), REPEATS)
    report('verify and decode a renewal', decode_us, 'us')


async def measure_renewals() -> None:
    """Run the lease tasks of some nodes over loopback and divide the cost."""
    ports = [47_300 + one for one in range(NODES)]
    shared = make_state(ports)
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        sockets, running = [], []
        for incarnation, member in shared.members.items():
            socket = datagrams.Datagrams(
                codec.PacketCodec(SECRET, incarnation),
                HOST,
                member.peer_port,
            )
            await stack.enter_async_context(socket)
            made = build_tasks(incarnation, socket)
            sockets.append(socket)
            running += [
                tasks.create_task(one.run()) for one in (socket, *made)
            ]
            for one in (socket, *made):
                one.publish(journaling.StateChanged(shared))
        await asyncio.sleep(1.0)
        sent = sum(one.sent_bytes for one in sockets)
        count = sum(one.sent_packets for one in sockets)
        cpu = time.process_time()
        await asyncio.sleep(RUN_S)
        cpu = time.process_time() - cpu
        sent = sum(one.sent_bytes for one in sockets) - sent
        count = sum(one.sent_packets for one in sockets) - count
        for one in running:
            one.cancel()
    node_s = NODES * RUN_S
    report('lease tasks, processor time per node', cpu / node_s * 1e3, 'ms/s')
    report('renewal exchange, both ends', cpu / (count / 2) * 1e6, 'us')
    report('packets sent per node', count / node_s, '/s')
    wire = sent + count * IP_UDP_BYTES
    report('sent per node with headers', wire / node_s, 'B/s')


def build_tasks(incarnation, socket):
    """Return the lease, witness and owners tasks of one node."""
    ports = leases.Ports(socket, Sink())
    ports = owners.Ports(None, Sink(), Sink(), Sink())
    owner = owners.Owners(incarnation, ports)
    holder = leases.Leases(incarnation, ports, owner)
    watcher = witnesses.Witnesses(incarnation, ports, (holder, owner))
    for one in (holder, watcher):
        one.journal = Sink()
    socket.subscribe(holder, leases.MESSAGE_TYPES)
    socket.subscribe(watcher, witnesses.MESSAGE_TYPES)
    return holder, watcher, owner


def make_large_state() -> state.State:
    """Return a state with one service at the two-year size."""
    orders = tuple(
        state.SlotOrder(
            1, tuple(BASE + (slot + 7 * at) % MEMBERS for at in range(3))
        )
        for slot in range(SLOTS)
    )
    small = make_state([1] * MEMBERS)
    sets = {
        one: state.WitnessSet(
            1, tuple(BASE + (one - BASE + at) % MEMBERS for at in (1, 2, 3))
        )
        for one in small.members
    }
    service = state.Service('s', state.Routing.KEY, SLOTS)
    return dataclasses.replace(
        small,
        witness_sets=sets,
        services={'s': service},
        tables={'s': state.SlotTable(orders)},
    )


async def measure_tables() -> None:
    """Measure slot work and reading of large states."""
    large = make_large_state()
    owner = owners.Owners(BASE, owners.Ports(None, Sink(), Sink(), Sink()))
    await owner.handle(journaling.StateChanged(large))
    end = clock.read_boot_clock() + 3600
    await owner.handle(owning.Lease(end))
    await owner.tick()
    held = await owner.handle(owning.ListHeldSlots())
    report('slots held by the measured node', len(held), '')
    enter = owning.EnterSlot('s', held[0].slot, 'request')
    leave = owning.LeaveSlot('s', held[0].slot, 'request')
    cpu = time.process_time()
    for _ in range(REPEATS):
        await owner.handle(enter)
        await owner.handle(leave)
    cpu = time.process_time() - cpu
    report('enter and leave a slot', cpu / REPEATS * 1e6, 'us')
    await measure_reading(large, owner)


async def measure_reading(large, owner) -> None:
    """Measure what tasks do with a new large state."""
    changes = []
    for number in range(20):
        orders = list(large.tables['s'].orders)
        orders[number] = state.SlotOrder(2, orders[number].order)
        table = state.SlotTable(tuple(orders))
        changed = dataclasses.replace(large, tables={'s': table})
        changes.append(journaling.StateChanged(changed))
    cpu = time.process_time()
    for one in changes:
        await owner.handle(one)
    cpu = time.process_time() - cpu
    report('owners read a record that moves slots', cpu / 20 * 1e3, 'ms')
    watcher = witnesses.Witnesses(
        BASE, leases.Ports(Sink(), Sink()), (Sink(),)
    )
    change = journaling.StateChanged(large)
    cpu = time.process_time()
    for _ in range(100):
        await watcher.handle(change)
    cpu = time.process_time() - cpu
    report('witnesses read any record', cpu / 100 * 1e3, 'ms')
    taken = time_calls(lambda: witness.list_receivers(large, BASE), 5)
    report('list whom an ending is told', taken / 1e3, 'ms')


def measure_takeover() -> None:
    """Measure the decisions of one slot whose owner has ended."""
    arranged = state.SlotOrder(1, (BASE, BASE + 1, BASE + 2))
    slot = ownership.Slot('s', 1, arranged)
    view = ownership.NodeView(BASE + 1, {BASE: 0.0})
    taken = time_calls(
        lambda: ownership.update_ownership(view, slot, math.inf), REPEATS
    )
    report('take over one slot', taken, 'us')


async def measure() -> None:
    """Print all figures."""
    measure_codec()
    await measure_renewals()
    await measure_tables()
    measure_takeover()


if __name__ == '__main__':
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(measure())
