"""Plans all records that a state still needs."""

import collections
import collections.abc
import dataclasses
import operator

from sesamejunction.decisions import placement
from sesamejunction.decisions import successors
from sesamejunction.decisions import witnessplanning
from sesamejunction.model import records
from sesamejunction.model import state

# About 150 KB; a log append and a batch hold more.
MAX_ENTRIES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """Records to append; ``deferred`` when balance moves must wait."""

    records: tuple[records.Record, ...]
    deferred: bool = False


class PlanCache:
    """What the previous plan has found, so that the next one is quicker.

    It only saves work: a plan with the memory of any former state is the
    same as one without.
    """

    def __init__(self):
        self.services = collections.defaultdict(placement.SlotPlanCache)
        self._eligible_for = None
        self._eligible = []
        self._witnessed_for = None

    def list_eligible(self, current: state.State) -> list[state.Member]:
        """Return the members that may own slots of some service."""
        inputs = (
            current.members,
            current.witness_sets,
            current.zones,
            current.targets,
        )
        if not _are_same(inputs, self._eligible_for):
            self._eligible_for = inputs
            self._eligible = successors.list_eligible(
                current, state.SHARES_SERVICE
            )
        return self._eligible

    def plan_witnesses(self, current: state.State) -> list:
        """Return the entries, at once when there were none before."""
        inputs = (current.members, current.witness_sets, current.zones)
        if _are_same(inputs, self._witnessed_for):
            return []
        entries = witnessplanning.plan_witnesses(current)
        self._witnessed_for = None if entries else inputs
        return entries


def plan_records(
    current: state.State,
    may_balance: collections.abc.Container[str] = frozenset(),
    memory: PlanCache | None = None,
) -> Planned:
    """Return the records that the state still needs, in append order.

    Balance moves are left out for services that ``may_balance`` does not
    hold. ``memory`` is kept by the caller between plans.
    """
    memory = PlanCache() if memory is None else memory
    planned = []
    deferred = False
    entries = memory.plan_witnesses(current)
    for part in _cut(entries):
        planned.append(records.WitnessesNamed(part))
    everyone = memory.list_eligible(current)
    for service in [*current.services, state.SHARES_SERVICE]:
        eligible = successors.filter_eligible(everyone, service)
        plan = placement.plan_slots(
            current, service, eligible, memory.services[service]
        )
        for part in _cut(plan.needed):
            planned.append(records.SlotsArranged(service, part))
        if plan.balance and service in may_balance:
            for part in _cut(plan.balance):
                planned.append(records.SlotsArranged(service, part, True))
        deferred |= bool(plan.balance) and service not in may_balance
    return Planned(tuple(planned), deferred)


def _are_same(inputs, former) -> bool:
    return former is not None and all(map(operator.is_, inputs, former))


def _cut(entries):
    for first in range(0, len(entries), MAX_ENTRIES):
        yield tuple(entries[first : first + MAX_ENTRIES])
