"""Builds the states of fleets for benchmarks and tests."""

from sesamejunction.decisions import fold
from sesamejunction.decisions import planning
from sesamejunction.model import records
from sesamejunction.model import state

ALL_SERVICES = frozenset(('kv', state.SHARES_SERVICE))


def make_join_record(number, zone, slots=12, read_offset=0, replaces=0):
    """Return the join of a member of service kv with its own address."""
    # Addresses are distinct, also for incarnations of full length.
    place = number % 16_777_213
    member = state.Member(
        number,
        f'node-{number}',
        zone,
        f'10.{place >> 16}.{place >> 8 & 255}.{place & 255}',
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
    """Folds records as they are appended; keeps the whole log."""

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
        """Append and fold a record."""
        self.state = fold.apply_record(self.state, len(self.log), record)
        self.log.append(record)

    def join(self, number, zone, slots=12):
        """Join a member."""
        self.append(make_join_record(number, zone, slots, len(self.log)))

    def complete_moves(self):
        """Complete all moves, as claimants would."""
        for service, table in self.state.tables.items():
            moving = tuple(
                records.SettledEntry(slot, one.epoch)
                for slot, one in enumerate(table.orders)
                if one is not None and one.previous is not None
            )
            if moving:
                self.append(records.SlotsSettled(service, moving))
        for holder, named in list(self.state.witness_sets.items()):
            if named.previous is not None:
                self.append(records.WitnessesSettled(holder, named.version))

    def plan_until_stable(self, may_balance=ALL_SERVICES, limit=200):
        """Plan and settle until nothing is needed; return the records."""
        made = []
        for _ in range(limit):
            planned = planning.plan_records(self.state, may_balance)
            if not planned.records:
                return made
            for record in planned.records:
                made.append(record)
                self.append(record)
            self.complete_moves()
        raise AssertionError('the planner does not come to rest')


def build_fleet(slot_count, size, planned=False) -> Fleet:
    """Return a fleet of ``size`` members in three zones."""
    fleet = Fleet(slot_count)
    for number in range(1, size + 1):
        fleet.join(number, 'abc'[number % 3])
    if planned:
        fleet.plan_until_stable()
    return fleet
