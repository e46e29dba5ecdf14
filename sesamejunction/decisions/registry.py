"""Folds the fleet's records and the operator's declarations into a State."""

import collections
import collections.abc

from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state


class StateBuilder:
    """Builds states; what has not changed is the same object in the next.

    Nodes register one by one at a start, and each change of a member used to
    group the routes anew. Tasks also skip work for parts that are the same.
    """

    def __init__(self):
        self._declared = None
        self._declared_parts = {}
        self._members = {}
        self._plans = {}
        self._last = state.State()

    def build_state(
        self,
        records: collections.abc.Iterable[registry.Record],
        declared: registry.DeclaredConfig | None,
        evacuated: collections.abc.Set[str],
        offset: int,
        declared_end: int = -1,
    ) -> state.State:
        """Return the state that the newest records and declarations describe.

        ``evacuated`` names the availability zones that take no new work;
        ``offset`` is the end of the fleet's topic that the records are from,
        ``declared_end`` that of the topic of the declarations.
        """
        members = {}
        plans = {}
        allocators = None
        for record in records:
            match record:
                case registry.MemberRecord(incarnation=incarnation):
                    members[incarnation] = record
                case registry.PlanRecord(service=service):
                    plans[service] = record
                case state.Allocators():
                    allocators = record
        self._members = build_changed(self._members, members, build_member)
        self._plans = build_changed(self._plans, plans, build_plan)
        before = self._last
        fleet = before.fleet
        if declared is not None:
            fleet = state.FleetSettings(max_nodes=max(1, len(members)))
        found = {
            'members': {one: made for one, (_, made) in self._members.items()},
            'ranges': {one: made for one, (_, made) in self._plans.items()},
            'tables': self._build_tables(allocators),
            'zones': dict.fromkeys(evacuated, state.Standing.OUT),
            'fleet': fleet,
        }
        for name, part in found.items():
            former = getattr(before, name)
            if part == former:
                found[name] = former
        self._last = state.State(
            offset=offset,
            declared_end=declared_end,
            allocators=allocators,
            **found,
            **self._build_declared(declared),
        )
        return self._last

    def _build_tables(self, allocators) -> dict[str, state.SlotTable]:
        if allocators is None:
            return {}
        if allocators is self._last.allocators:
            return self._last.tables
        return {state.SHARES_SERVICE: build_share_table(allocators)}

    def _build_declared(self, declared) -> dict:
        if declared is not None and declared is not self._declared:
            self._declared = declared
            self._declared_parts = build_declared(declared)
        return self._declared_parts


def build_changed(former, records, build) -> dict:
    """Return the records with what is built from them, by key.

    ``former`` is the result for earlier records; what was built from a record
    that is still the same object is kept.
    """
    found = {}
    for key, record in records.items():
        kept = former.get(key)
        if kept is None or kept[0] is not record:
            kept = record, build(record)
        found[key] = kept
    return found


def build_declared(declared: registry.DeclaredConfig) -> dict:
    """Return the parts of a state that come from the declarations."""
    return {
        'services': {one.name: one for one in declared.services},
        'organisations': {one.name: one for one in declared.organisations},
        'caller_keys': {one.digest: one for one in declared.caller_keys},
        'routes': group_routes(declared.routes),
        'limits': declared.limits,
        'declared_version': declared.version,
    }


def build_plan(record: registry.PlanRecord) -> ranges.RangePlan:
    """Return the plan of a record."""
    return ranges.RangePlan(record.ranges)


def build_member(record) -> state.Member:
    """Return the member of a record."""
    return state.Member(
        record.incarnation,
        record.name,
        record.zone,
        record.host,
        record.peer_port,
        record.peer_port,
        record.peer_port,
        record.service,
        record.slots,
        record.slots,
        checks_grants=True,
        leaving=record.leaving or record.life is None,
        life=record.life,
        stopping=record.stopping,
    )


def build_share_table(record: state.Allocators) -> state.SlotTable:
    """Return the slots of the shares service, spread over the places."""
    count = len(record.places)
    orders = []
    for slot in range(state.SHARES_SLOTS):
        place = record.places[slot % count]
        orders.append(state.SlotOrder(place.epoch, (place.member,)))
    return state.SlotTable(tuple(orders))


def group_routes(routes) -> dict:
    """Return the routes of each host, longest prefix first."""
    hosts = collections.defaultdict(list)
    for one in routes:
        hosts[one.host].append(one)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.prefix)))
        for host, found in hosts.items()
    }
