"""Folds the fleet's records and the operator's declarations into a State."""

import collections
import collections.abc

from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state


def fold_records(
    records: collections.abc.Iterable[registry.Record],
    declared: registry.Declared | None,
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
                members[incarnation] = build_member(record)
            case registry.PlanRecord(service=service, ranges=owned):
                plans[service] = ranges.RangePlan(owned)
            case state.Allocators():
                allocators = record
    tables = {}
    if allocators is not None:
        tables[state.SHARES_SERVICE] = build_share_table(allocators)
    found = {
        'offset': offset,
        'declared_end': declared_end,
        'members': members,
        'ranges': plans,
        'tables': tables,
        'allocators': allocators,
        'zones': dict.fromkeys(evacuated, state.Standing.OUT),
    }
    if declared is None:
        return state.State(**found)
    return state.State(
        services={one.name: one for one in declared.services},
        organisations={one.name: one for one in declared.organisations},
        caller_keys={one.digest: one for one in declared.caller_keys},
        routes=group_routes(declared.routes),
        limits=declared.limits,
        declared_version=declared.version,
        fleet=state.Fleet(max_nodes=max(1, len(members))),
        **found,
    )


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


def build_share_table(record: state.Allocators) -> state.Table:
    """Return the slots of the shares service, spread over the places."""
    count = len(record.places)
    orders = []
    for slot in range(state.SHARES_SLOTS):
        place = record.places[slot % count]
        orders.append(state.SlotOrder(place.epoch, (place.member,)))
    return state.Table(tuple(orders))


def group_routes(routes) -> dict:
    """Return the routes of each host, longest prefix first."""
    hosts = collections.defaultdict(list)
    for one in routes:
        hosts[one.host].append(one)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.prefix)))
        for host, found in hosts.items()
    }
