"""Finds the route, service and rank of a request."""

from sesamejunction.model import routing
from sesamejunction.model import state

# Rank of the requests that are served first.
FIRST_RANK = 0


def find_route(
    current: state.State, host: str, path: str
) -> routing.Route | None:
    """Return the route with the longest matching path prefix."""
    for route in current.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_part(route: routing.Route, point: float) -> str:
    """Return one of the route's services by weight.

    ``point`` is a random number in [0, 1).
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    left = point * sum(part.weight for part in route.parts)
    for part in route.parts:
        left -= part.weight
        if left < 0:
            return part.service
    return route.parts[-1].service


def find_rank(current: state.State, route, organisation: str) -> int:
    """Return the rank of a request.

    The organisation's rank, if it has one, overrides the route's.
    """
    if route.is_open and not organisation and current.organisations:
        # A call made on behalf of a running request, whose work would be lost
        # if this one were refused. Without organisations, callers use open
        # routes too.
        return FIRST_RANK
    declared = current.organisations.get(organisation)
    if declared is not None and declared.rank is not None:
        return declared.rank
    return route.rank
