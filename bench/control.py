"""Measures the cost of leases, witnesses and slot tables per node."""

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
BASE_INCARNATION = 2**62
# Headers of IPv4 and UDP.
IP_UDP_BYTES = 28
NODES = 4
RUN_S = 10.0
REPEATS = 20_000
# Size that the design provides for in two years: slots of one service, and
# members.
SLOTS = 65_536
MEMBERS = 2_000


class MessageSink:
    """Takes the place of a task that is not measured; discards messages."""

    def tell(self, message) -> None:
        """Ignore the message."""

    publish = tell


def report(name: str, value: float, unit: str) -> None:
    """Print one measured value."""
    print(f'{name:<46} {value:>10.2f} {unit}', flush=True)


def time_calls(call, repeats: int) -> float:
    """Return the processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * 1e6


def build_state(ports) -> state.State:
    """Return a state in which all members are witnesses of each other.

    ``ports`` holds the peer port of each member.
    """
    ids = [BASE_INCARNATION + index for index in range(len(ports))]
    members = {
        member_id: state.Member(
            member_id, f'n{member_id}', 'z', HOST, 1, port, 2, 's', 1, 1, True
        )
        for member_id, port in zip(ids, ports, strict=True)
    }
    sets = {
        member_id: state.WitnessSet(
            1,
            tuple(witness_id for witness_id in ids if witness_id != member_id),
        )
        for member_id in ids
    }
    return state.State(offset=40_000, members=members, witness_sets=sets)


def measure_codec() -> None:
    """Measure the size and the cost of one renewal packet."""
    sender = codec.PacketCodec(SECRET, BASE_INCARNATION)
    receiver = codec.PacketCodec(SECRET, BASE_INCARNATION + 1)
    renew = messages.RenewLease(BASE_INCARNATION, 3, 123456.789, 40_000, 0.1)
    size = len(sender.encode(BASE_INCARNATION + 1, renew)) + IP_UDP_BYTES
    report('renewal with IP and UDP headers', size, 'B')
    encode_us = time_calls(
        lambda: sender.encode(BASE_INCARNATION + 1, renew), REPEATS
    )
    report('encode and tag a renewal', encode_us, 'us')
    packed = iter(
        [sender.encode(BASE_INCARNATION + 1, renew) for _ in range(REPEATS)]
    )
    decode_us = time_calls(lambda: receiver.decode(next(packed), 0.0), REPEATS)
    report('verify and decode a renewal', decode_us, 'us')


async def measure_renewals() -> None:
    """Run the lease tasks of NODES nodes on loopback; print mean costs."""
    ports = [47_300 + index for index in range(NODES)]
    shared_state = build_state(ports)
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        sockets, running = [], []
        for incarnation, member in shared_state.members.items():
            socket = datagrams.Datagrams(
                codec.PacketCodec(SECRET, incarnation),
                HOST,
                member.peer_port,
            )
            await stack.enter_async_context(socket)
            actors = build_tasks(incarnation, socket)
            sockets.append(socket)
            running += [
                tasks.create_task(actor.run()) for actor in (socket, *actors)
            ]
            for actor in (socket, *actors):
                actor.publish(journaling.StateChanged(shared_state))
        await asyncio.sleep(1.0)
        sent = sum(udp.sent_bytes for udp in sockets)
        count = sum(udp.sent_packets for udp in sockets)
        cpu = time.process_time()
        await asyncio.sleep(RUN_S)
        cpu = time.process_time() - cpu
        sent = sum(udp.sent_bytes for udp in sockets) - sent
        count = sum(udp.sent_packets for udp in sockets) - count
        for running_task in running:
            running_task.cancel()
    node_s = NODES * RUN_S
    report('lease tasks, processor time per node', cpu / node_s * 1e3, 'ms/s')
    report('renewal exchange, both ends', cpu / (count / 2) * 1e6, 'us')
    report('packets sent per node', count / node_s, '/s')
    wire = sent + count * IP_UDP_BYTES
    report('sent per node with headers', wire / node_s, 'B/s')


def build_tasks(incarnation, socket):
    """Return the lease, witness and owners tasks of one node."""
    lease_ports = leases.Ports(socket, MessageSink())
    owner_ports = owners.Ports(
        None, MessageSink(), MessageSink(), MessageSink()
    )
    owner = owners.Owners(incarnation, owner_ports)
    holder = leases.Leases(incarnation, lease_ports, owner)
    watcher = witnesses.Witnesses(incarnation, lease_ports, (holder, owner))
    for task in (holder, watcher):
        task.journal = MessageSink()
    socket.subscribe(holder, leases.MESSAGE_TYPES)
    socket.subscribe(watcher, witnesses.MESSAGE_TYPES)
    return holder, watcher, owner


def build_two_year_state() -> state.State:
    """Return a state with one service at the two-year design size."""
    orders = tuple(
        state.SlotOrder(
            1,
            tuple(
                BASE_INCARNATION + (slot + 7 * position) % MEMBERS
                for position in range(3)
            ),
        )
        for slot in range(SLOTS)
    )
    small = build_state([1] * MEMBERS)
    sets = {
        member_id: state.WitnessSet(
            1,
            tuple(
                BASE_INCARNATION
                + (member_id - BASE_INCARNATION + distance) % MEMBERS
                for distance in (1, 2, 3)
            ),
        )
        for member_id in small.members
    }
    service = state.Service('s', state.Routing.KEY, SLOTS)
    return dataclasses.replace(
        small,
        witness_sets=sets,
        services={'s': service},
        tables={'s': state.SlotTable(orders)},
    )


async def measure_slot_tables() -> None:
    """Measure slot operations and how tasks handle a large state."""
    large = build_two_year_state()
    owner = owners.Owners(
        BASE_INCARNATION,
        owners.Ports(None, MessageSink(), MessageSink(), MessageSink()),
    )
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
    await measure_state_updates(large, owner)


async def measure_state_updates(large, owner) -> None:
    """Measure how long tasks take to handle a new large state."""
    changes = []
    for number in range(20):
        orders = list(large.tables['s'].orders)
        orders[number] = state.SlotOrder(2, orders[number].order)
        table = state.SlotTable(tuple(orders))
        changed = dataclasses.replace(large, tables={'s': table})
        changes.append(journaling.StateChanged(changed))
    cpu = time.process_time()
    for state_change in changes:
        await owner.handle(state_change)
    cpu = time.process_time() - cpu
    report('owners read a record that moves slots', cpu / 20 * 1e3, 'ms')
    watcher = witnesses.Witnesses(
        BASE_INCARNATION,
        leases.Ports(MessageSink(), MessageSink()),
        (MessageSink(),),
    )
    change = journaling.StateChanged(large)
    cpu = time.process_time()
    for _ in range(100):
        await watcher.handle(change)
    cpu = time.process_time() - cpu
    report('witnesses read any record', cpu / 100 * 1e3, 'ms')
    taken_us = time_calls(
        lambda: witness.list_receivers(large, BASE_INCARNATION), 5
    )
    report('list whom an ending is told', taken_us / 1e3, 'ms')


def measure_takeover() -> None:
    """Measure the decisions to take over one slot of an ended owner."""
    log_order = state.SlotOrder(
        1, (BASE_INCARNATION, BASE_INCARNATION + 1, BASE_INCARNATION + 2)
    )
    slot = ownership.Slot('s', 1, log_order)
    view = ownership.NodeView(BASE_INCARNATION + 1, {BASE_INCARNATION: 0.0})
    taken_us = time_calls(
        lambda: ownership.update_ownership(view, slot, math.inf), REPEATS
    )
    report('take over one slot', taken_us, 'us')


async def measure() -> None:
    """Run all measurements and print them."""
    measure_codec()
    await measure_renewals()
    await measure_slot_tables()
    measure_takeover()


if __name__ == '__main__':
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(measure())
