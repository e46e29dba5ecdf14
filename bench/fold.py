"""Measures the fold of records, the memory of a state and checkpoints."""

import dataclasses
import gc
import random
import time
import tracemalloc

import fire

from bench import fleets
from bench import tables
from sesamejunction.border import recordcodec
from sesamejunction.decisions import checkpoints
from sesamejunction.decisions import fold
from sesamejunction.model import records
from sesamejunction.model import state

ORGANISATIONS = 200
REPEATS = 20
SEED = 20_241


@dataclasses.dataclass(frozen=True, slots=True)
class FoldRow:
    """Size of one record, and the time to decode and to fold it."""

    members: int
    slots: int
    kind: str
    bytes: int
    decode_us: float
    fold_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class StateRow:
    """Memory of a state, and size and times of its checkpoint."""

    members: int
    slots: int
    state_mb: float
    checkpoint_bytes: int
    parts: int
    encode_ms: float
    decode_ms: float


def build_fleet(members: int, slots: int) -> fleets.Fleet:
    """Return a fleet without pending moves, with organisations and keys."""
    fleet = fleets.Fleet(slots, 2 * members)
    fleet.append(
        records.TicketApplied(
            2,
            'second',
            'ana',
            organisations=tuple(
                state.Organisation(f'organisation-{i}', 100.0, 50.0)
                for i in range(ORGANISATIONS)
            ),
            caller_keys=tuple(
                state.CallerKey(f'{i:064x}', f'organisation-{i}')
                for i in range(ORGANISATIONS)
            ),
        )
    )
    zones = 3 if members < 100 else 22
    # Random incarnations, which do not compress, as in a real fleet.
    generator = random.Random(SEED)
    for number in range(members):
        fleet.join(generator.getrandbits(61) + 1, f'z{number % zones}')
    fleet.plan_until_stable()
    return fleet


def list_records(fleet: fleets.Fleet) -> list[records.Record]:
    """Return records of several kinds, each of which changes the state."""
    current = fleet.state
    first = next(iter(current.members))
    table = current.tables['kv']
    order = table.orders[0].order
    slot_entry = records.SlotEntry(0, table.orders[0].epoch, order[::-1])
    slot_entries = tuple(
        records.SlotEntry(slot, slot_order.epoch, slot_order.order[::-1])
        for slot, slot_order in enumerate(table.orders[:33])
    )
    witness_set = current.witness_sets[first]
    non_witnesses = [
        member_id
        for member_id in current.members
        if member_id not in witness_set.witnesses
    ]
    witnesses = (*witness_set.witnesses[:2], non_witnesses[-1])
    return [
        fleets.make_join_record(1 << 61, 'z1', read_offset=current.offset),
        records.MemberLeaving(first),
        records.MembersEnded((first,)),
        records.WitnessesNamed(
            (records.WitnessEntry(first, witness_set.version + 1, witnesses),)
        ),
        records.SlotsArranged('kv', (slot_entry,)),
        records.SlotsArranged('kv', slot_entries),
        records.HotKeyPlaced(
            'kv', 0, len(table.orders), table.orders[0].epoch, order
        ),
        records.TicketApplied(
            9,
            'ninth',
            'ana',
            organisations=(state.Organisation('new', 1.0, 1.0),),
        ),
        records.CheckpointPart(1, current.offset, 0, 2, b'0' * 1000),
    ]


def measure(function) -> float:
    """Return the median duration of REPEATS calls in seconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        function()
        times.append(time.perf_counter() - started)
    return sorted(times)[REPEATS // 2]


def measure_records(fleet, members, slots) -> list[FoldRow]:
    """Return a row for each kind of record."""
    rows = []
    current = fleet.state
    for record in list_records(fleet):
        data = recordcodec.encode_record('0' * 32, record)
        if not fold.is_needed(current, record):
            raise ValueError(f'{record} does not fit the state')
        decode_s = measure(lambda data=data: recordcodec.decode_records(data))
        fold_s = measure(
            lambda record=record: fold.apply_record(
                current, current.offset, record
            )
        )
        kind = type(record).__name__
        if isinstance(record, records.SlotsArranged):
            kind += f'[{len(record.entries)}]'
        rows.append(
            FoldRow(
                members, slots, kind, len(data), decode_s * 1e6, fold_s * 1e6
            )
        )
    return rows


def measure_state(fleet, members, slots) -> StateRow:
    """Return memory and checkpoint measurements of the fleet's state."""
    data = recordcodec.encode_state(fleet.state)
    gc.collect()
    tracemalloc.start()
    decoded_state = recordcodec.decode_state(data)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    parts = checkpoints.split_state(1, decoded_state.offset, data)
    return StateRow(
        members,
        slots,
        used / 1e6,
        len(data),
        len(parts),
        measure(lambda: recordcodec.encode_state(fleet.state)) * 1e3,
        measure(lambda: recordcodec.decode_state(data)) * 1e3,
    )


def main(sizes='12x256,200x4096,2000x4096,2000x65536') -> None:
    """Run all sizes, each written as MEMBERSxSLOTS."""
    folds = []
    states = []
    for size in sizes.split(','):
        members, slots = (int(count) for count in size.split('x'))
        fleet = build_fleet(members, slots)
        folds += measure_records(fleet, members, slots)
        states.append(measure_state(fleet, members, slots))
    tables.print_rows(folds)
    tables.print_rows(states)


if __name__ == '__main__':
    fire.Fire(main)
