"""Builds the states of fleets for benchmarks and tests."""

from sesamejunction.decisions import fold
from sesamejunction.decisions import planning
from sesamejunction.model import records
from sesamejunction.model import state

ALL_SERVICES = frozenset(('kv', state.SHARES_SERVICE))


def make_join_record(number, zone, slots=12, read_offset=0, replaces=0):
    """Return the record with which a member of the service kv joins."""
    # A prime below 2**24 gives distinct addresses for long incarnations too.
    address = number % 16_777_213
    member = state.Member(
        number,
        f'node-{number}',
        zone,
        f'10.{address >> 16}.{address >> 8 & 255}.{address & 255}',
        80,
        81,
        82,
        'kv',
        slots,
        2,
        True,
    )
    return records.MemberJoined(member, replaces, read_offset)


class Fleet:
    """A log that is folded into a state as records are appended."""

    def __init__(self, slot_count, max_nodes=4_000):
        self.log = []
        self.state = state.State()
        self.append(
            records.TicketApplied(
                1,
                'first',
                'ana',
                services=(state.Service('kv', state.Routing.KEY, slot_count),),
                fleet=state.FleetSettings(max_nodes),
            )
        )

    def append(self, record):
        """Append a record and fold it into the state."""
        self.state = fold.apply_record(self.state, len(self.log), record)
        self.log.append(record)

    def join(self, number, zone, slots=12):
        """Append the join of a member."""
        self.append(make_join_record(number, zone, slots, len(self.log)))

    def complete_moves(self):
        """Complete all moves of slots and witnesses, as the nodes would."""
        for service, table in self.state.tables.items():
            settled_entries = tuple(
                records.SettledEntry(slot, slot_order.epoch)
                for slot, slot_order in enumerate(table.orders)
                if slot_order is not None and slot_order.previous is not None
            )
            if settled_entries:
                self.append(records.SlotsSettled(service, settled_entries))
        for holder, witness_set in list(self.state.witness_sets.items()):
            if witness_set.previous is not None:
                self.append(
                    records.WitnessesSettled(holder, witness_set.version)
                )

    def plan_until_stable(self, may_balance=ALL_SERVICES, limit=200):
        """Plan and complete moves until none is needed; return the records."""
        planned_records = []
        for _ in range(limit):
            planned = planning.plan_records(self.state, may_balance)
            if not planned.records:
                return planned_records
            for record in planned.records:
                planned_records.append(record)
                self.append(record)
            self.complete_moves()
        raise AssertionError('the planner has new records in every round')


def build_fleet(slot_count, size, planned=False) -> Fleet:
    """Return a fleet of ``size`` members, spread over three zones."""
    fleet = Fleet(slot_count)
    for number in range(1, size + 1):
        fleet.join(number, 'abc'[number % 3])
    if planned:
        fleet.plan_until_stable()
    return fleet
