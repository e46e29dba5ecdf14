"""Finds the members that may run a request."""

from sesamejunction.decisions import hashing
from sesamejunction.model import requests
from sesamejunction.model import state

KEYED = frozenset((state.Routing.KEY, state.Routing.RANGE))


def needs_owner(service: state.Service, head: requests.Head) -> bool:
    """Return whether the request must run at the owner of its key.

    Requests that run once need the owner that remembers their idempotency
    key; one without such a key is never repeated, so any target may run it.
    """
    if service.routing in KEYED:
        return True
    return not head.repeatable and head.idempotency_key is not None


def find_placement_key(
    service: state.Service, head: requests.Head
) -> str | None:
    """Return the key that places the request, None when it is missing."""
    if service.routing in KEYED:
        return head.route_key
    return head.idempotency_key


def is_repeatable(service: state.Service, method: str, path: str) -> bool:
    """Return whether the service declares the request repeatable."""
    for rule in service.rules:
        if rule.method in ('*', method) and path.startswith(rule.prefix):
            return rule.repeatable
    return method in ('GET', 'HEAD')


def format_address(member: state.Member) -> str:
    """Return ``host:port`` at which the member serves callers."""
    return f'{member.host}:{member.caller_port}'


def find_slot(
    current: state.State, service: state.Service, key: str
) -> int | None:
    """Return the slot of a key, None while the service has no slots."""
    table = current.tables.get(service.name)
    return None if table is None else hashing.find_slot(service, table, key)


def list_owners(
    current: state.State, service: state.Service, key: str
) -> list[requests.Candidate]:
    """Return the members of the key's slot in order, ended ones left out.

    While the slot moves, the members of the old order come first: their
    owner serves until it releases the slot, and then names the new one. The
    new owner may be a member that nobody can reach yet.
    """
    if service.routing is state.Routing.RANGE:
        return list_range_owners(current, service, key)
    table = current.tables.get(service.name)
    if table is None:
        return []
    slot = hashing.find_slot(service, table, key)
    arranged = table.orders[slot]
    if arranged is None:
        return []
    terms = [(arranged.epoch, arranged.order)]
    if arranged.previous is not None:
        terms.insert(0, (arranged.previous_epoch, arranged.previous))
    found = {}
    for epoch, order in terms:
        for place, one in enumerate(order):
            if one in current.members and one not in found:
                found[one] = requests.Candidate(
                    current.members[one], slot, requests.Token(epoch, place)
                )
    return list(found.values())


def list_range_owners(
    current: state.State, service: state.Service, key: str
) -> list[requests.Candidate]:
    """Return the member whose target owns the range of a numeric key.

    While the range moves, the former owner is not asked: it serves until
    its target has released the keys, and the new owner waits just for that.
    """
    plan = current.ranges.get(service.name)
    found = plan and plan.find(int(key))
    if not found:
        return []
    return [
        requests.Candidate(member, token=requests.Token(found.epoch, 0))
        for member in current.members.values()
        if member.name == found.owner.member
    ]


def list_targets(
    current: state.State, service: state.Service
) -> list[requests.Candidate]:
    """Return the members that may take new work for the service."""
    return [
        requests.Candidate(member)
        for member in current.members.values()
        if member.service == service.name and takes_work(current, member)
    ]


def takes_work(current: state.State, member: state.Member) -> bool:
    """Return whether the member, its zone and its target take new work."""
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
    """Return the first member in the order of the key's slot.

    Returns None for a service that is unknown, not divided by key, or has
    no owner now.
    """
    found = current.services.get(service)
    if found is None or found.routing is not state.Routing.KEY:
        return None
    owners = list_owners(current, found, key)
    return owners[0].member if owners else None
