"""Plans the records that a state needs: witnesses and slot orders."""

import collections
import collections.abc
import operator

from sesamejunction.decisions import placement
from sesamejunction.decisions import successors
from sesamejunction.decisions import witnessplanning
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass

# Entries in one record, about 150 KB; a log append and a batch can hold more.
MAX_ENTRIES = 4_096


@valueclass.define
class PlannedRecords:
    """Records to append; ``deferred`` if moves for balance were left out."""

    records: tuple[records.Record, ...]
    deferred: bool = False


class PlanCache:
    """Results of the previous plan, to speed up the next one.

    A plan with the cache of any former state is the same as without it.
    """

    def __init__(self):
        self.services = collections.defaultdict(placement.SlotPlanCache)
        self._eligible_inputs = None
        self._eligible = []
        self._complete_inputs = None

    def list_eligible(self, current: state.State) -> list[state.Member]:
        """Return the members that may own slots of some service."""
        inputs = (
            current.members,
            current.witness_sets,
            current.zones,
            current.targets,
        )
        if not _are_identical(inputs, self._eligible_inputs):
            self._eligible_inputs = inputs
            self._eligible = successors.list_eligible(
                current, state.SHARES_SERVICE
            )
        return self._eligible

    def plan_witnesses(self, current: state.State) -> list:
        """Return the entries; skipped if the same inputs needed none."""
        inputs = (current.members, current.witness_sets, current.zones)
        if _are_identical(inputs, self._complete_inputs):
            return []
        entries = witnessplanning.plan_witnesses(current)
        self._complete_inputs = None if entries else inputs
        return entries


def plan_records(
    current: state.State,
    may_balance: collections.abc.Container[str] = frozenset(),
    cache: PlanCache | None = None,
) -> PlannedRecords:
    """Return the records that the state still needs, in append order.

    Moves for balance are only planned for services in ``may_balance``. The
    caller keeps ``cache`` between plans.
    """
    cache = PlanCache() if cache is None else cache
    planned = []
    deferred = False
    entries = cache.plan_witnesses(current)
    for batch in _split_entries(entries):
        planned.append(records.WitnessesNamed(batch))
    all_eligible = cache.list_eligible(current)
    for service in [*current.services, state.SHARES_SERVICE]:
        eligible = successors.filter_eligible(all_eligible, service)
        plan = placement.plan_slots(
            current, service, eligible, cache.services[service]
        )
        for batch in _split_entries(plan.needed):
            planned.append(records.SlotsArranged(service, batch))
        if plan.balance and service in may_balance:
            for batch in _split_entries(plan.balance):
                planned.append(records.SlotsArranged(service, batch, True))
        deferred |= bool(plan.balance) and service not in may_balance
    return PlannedRecords(tuple(planned), deferred)


def _are_identical(inputs, former) -> bool:
    return former is not None and all(map(operator.is_, inputs, former))


def _split_entries(entries):
    for first in range(0, len(entries), MAX_ENTRIES):
        yield tuple(entries[first : first + MAX_ENTRIES])
