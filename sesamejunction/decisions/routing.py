"""Finds the route of a request and the service of a split route."""

from sesamejunction.model import routing
from sesamejunction.model import state

FIRST_RANK = 0


def find_route(
    current: state.State, host: str, path: str
) -> routing.Route | None:
    """Return the route with the longest prefix that begins the path."""
    for route in current.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_part(route: routing.Route, point: float) -> str:
    """Return the service at ``point``, a number in [0, 1), of the weights."""
    if len(route.parts) == 1:
        return route.parts[0].service
    left = point * sum(one.weight for one in route.parts)
    for one in route.parts:
        left -= one.weight
        if left < 0:
            return one.service
    return route.parts[-1].service


def find_rank(current: state.State, route, organisation: str) -> int:
    """Return the rank of a request; an organisation's goes first."""
    if route.is_open and not organisation:
        # Part of a request that runs already: its work would be lost.
        return FIRST_RANK
    found = current.organisations.get(organisation)
    if found is not None and found.rank is not None:
        return found.rank
    return route.rank
