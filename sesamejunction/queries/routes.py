"""Finds the members that may run a request, by key or by load."""

from sesamejunction.decisions import hashing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.model import state

KEYED_ROUTINGS = frozenset((state.Routing.KEY, state.Routing.RANGE))


def needs_owner(service: state.Service, head: requests.Head) -> bool:
    """Return whether the request must run at the owner of its key.

    Once-only requests need the owner that keeps the record of their
    idempotency key. One without such a key is never repeated, so any target
    may run it.
    """
    if service.routing in KEYED_ROUTINGS:
        return True
    return not head.repeatable and head.idempotency_key is not None


def find_placement_key(
    service: state.Service, head: requests.Head
) -> str | None:
    """Return the key that the request is routed by, None if missing."""
    if service.routing in KEYED_ROUTINGS:
        return head.route_key
    return head.idempotency_key


def is_repeatable(service: state.Service, method: str, path: str) -> bool:
    """Return whether the service's rules declare the request repeatable."""
    for rule in service.rules:
        if rule.method in ('*', method) and path.startswith(rule.prefix):
            return rule.repeatable
    return method in ('GET', 'HEAD')


def format_address(member: state.Member) -> str:
    """Return the ``host:port`` at which the member serves callers."""
    return f'{member.host}:{member.caller_port}'


def find_slot(
    current: state.State, service: state.Service, key: str
) -> int | None:
    """Return the slot of a key, None if the service has no slots yet."""
    table = current.tables.get(service.name)
    return None if table is None else hashing.find_slot(service, table, key)


def list_owners(
    current: state.State, service: state.Service, key: str
) -> list[requests.Candidate]:
    """Return the live members of the key's slot, in order.

    While the slot moves, the members of the old order come first: the old
    owner serves until it releases the slot, and then refers to the new one,
    which may not be reachable yet.
    """
    if service.routing is state.Routing.RANGE:
        return list_range_owners(current, service, key)
    table = current.tables.get(service.name)
    if table is None:
        return []
    slot = hashing.find_slot(service, table, key)
    slot_order = table.orders[slot]
    if slot_order is None:
        return []
    epoch_orders = [(slot_order.epoch, slot_order.order)]
    if slot_order.previous is not None:
        epoch_orders.insert(
            0, (slot_order.previous_epoch, slot_order.previous)
        )
    candidates = {}
    for epoch, order in epoch_orders:
        for place, incarnation in enumerate(order):
            if (
                incarnation in current.members
                and incarnation not in candidates
            ):
                candidates[incarnation] = requests.Candidate(
                    current.members[incarnation],
                    slot,
                    requests.Token(epoch, place),
                )
    return list(candidates.values())


def list_range_owners(
    current: state.State, service: state.Service, key: str
) -> list[requests.Candidate]:
    """Return the member whose target owns the range of a numeric key.

    The former owner of a moving range is not a candidate: it serves only
    until its target has released the keys, and the new owner is waiting for
    that release.
    """
    plan, number = current.ranges.get(service.name), ranges.parse_key(key)
    key_range = plan and number is not None and plan.find(number)
    if not key_range:
        return []
    return [
        requests.Candidate(member, token=requests.Token(key_range.epoch, 0))
        for member in current.members.values()
        if member.name == key_range.owner.member
    ]


def list_targets(
    current: state.State, service: state.Service
) -> list[requests.Candidate]:
    """Return the members that accept new work for the service."""
    return [
        requests.Candidate(member)
        for member in current.members.values()
        if member.service == service.name and accepts_work(current, member)
    ]


def accepts_work(current: state.State, member: state.Member) -> bool:
    """Return whether the member, its zone and its target accept new work."""
    out = state.Standing.OUT
    return not (
        member.leaving
        or member.stopping
        or current.zones.get(member.zone) is out
        or current.targets.get(member.name) is out
    )


def find_owner(
    current: state.State, service: str, key: str
) -> state.Member | None:
    """Return the member to ask first, the first of ``list_owners``.

    Returns None if the service is unknown or not routed by key, or if the
    slot has no owner.
    """
    declared = current.services.get(service)
    if declared is None or declared.routing is not state.Routing.KEY:
        return None
    owners = list_owners(current, declared, key)
    return owners[0].member if owners else None
