"""Builds a State from the fleet's records and the operator's declarations."""

import collections
import collections.abc

from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state


class StateBuilder:
    """Builds states; unchanged parts are the same objects as before.

    Nodes register one by one at a start, and without this each change of a
    member would group the routes again. Tasks also skip work for parts that
    are the same object.
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
        unreadable: collections.abc.Set[str] = frozenset(),
        era_phase: state.EraPhase = state.EraPhase.OPEN,
    ) -> state.State:
        """Return the state described by the newest records and declarations.

        ``evacuated`` holds the availability zones that get no new work.
        ``offset`` is the end offset of the fleet's topic with the records,
        ``declared_end`` that of the topic with the declarations.
        ``unreadable`` holds the keys whose newest record cannot be read.
        """
        members = {}
        plans = {}
        allocators = planner = None
        for record in records:
            match record:
                case registry.MemberRecord(incarnation=incarnation):
                    members[incarnation] = record
                case registry.PlanRecord(service=service):
                    plans[service] = record
                case state.Allocators():
                    allocators = record
                case state.ActivePlanner():
                    planner = record
        self._members = rebuild_changed(self._members, members, build_member)
        self._plans = rebuild_changed(self._plans, plans, build_plan)
        last_state = self._last
        fleet = last_state.fleet
        if declared is not None:
            fleet = state.FleetSettings(max_nodes=max(1, len(members)))
        built = {
            'members': {
                member_id: built_member
                for member_id, (_, built_member) in self._members.items()
            },
            'ranges': {
                service_name: built_plan
                for service_name, (_, built_plan) in self._plans.items()
            },
            'tables': self._build_tables(allocators),
            'zones': dict.fromkeys(evacuated, state.Standing.OUT),
            'fleet': fleet,
        }
        for name, part in built.items():
            former = getattr(last_state, name)
            if part == former:
                built[name] = former
        self._last = state.State(
            offset=offset,
            declared_end=declared_end,
            allocators=allocators,
            planner=planner,
            unreadable=unreadable,
            era_phase=era_phase,
            **built,
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


def rebuild_changed(former, records, build) -> dict:
    """Return (record, built object) pairs by key.

    ``former`` is the result for earlier records; an object is reused if its
    record is still the same object.
    """
    built = {}
    for key, record in records.items():
        entry = former.get(key)
        if entry is None or entry[0] is not record:
            entry = record, build(record)
        built[key] = entry
    return built


def build_declared(declared: registry.DeclaredConfig) -> dict:
    """Return the parts of a state that come from the declarations."""
    return {
        'services': {
            declared_service.name: declared_service
            for declared_service in declared.services
        },
        'organisations': {
            organisation.name: organisation
            for organisation in declared.organisations
        },
        'caller_keys': {
            caller_key.digest: caller_key
            for caller_key in declared.caller_keys
        },
        'routes': group_routes(declared.routes),
        'limits': declared.limits,
        'declared_version': declared.version,
    }


def build_plan(record: registry.PlanRecord) -> ranges.RangePlan:
    """Return the range plan in a record."""
    return ranges.RangePlan(record.ranges)


def build_member(record) -> state.Member:
    """Return the member described by a record."""
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
    """Return the slot table of the shares service.

    The slots are spread over the allocators' places.
    """
    count = len(record.places)
    orders = []
    for slot in range(state.SHARES_SLOTS):
        place = record.places[slot % count]
        orders.append(state.SlotOrder(place.epoch, (place.member,)))
    return state.SlotTable(tuple(orders))


def group_routes(routes) -> dict:
    """Return the routes of each host, longest prefix first."""
    hosts = collections.defaultdict(list)
    for route in routes:
        hosts[route.host].append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
        for host, host_routes in hosts.items()
    }
