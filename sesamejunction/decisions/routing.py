"""Finds the route, service and rank of a request."""

from sesamejunction.model import routing
from sesamejunction.model import state

# Rank of the requests that are served first.
FIRST_RANK = 0
# Fractional part; its multiples are the most evenly spread.
GOLDEN_RATIO = 0.6180339887498949
# Sequences that a node keeps; routes that were removed leave theirs behind.
MAX_SEQUENCES = 4096


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


class SplitSequence:
    """Points at which one node chooses the parts of split routes.

    The points of a route are a golden-ratio sequence from a random start.
    Any few of them in a row are spread evenly over [0, 1), so that the shares
    of a fleet stay close to the weights also in short windows, in which a
    node has only a few requests. ``draw`` returns a random number in [0, 1).
    """

    def __init__(self, draw):
        self._draw = draw
        self._points = {}

    def choose_part(self, route: routing.Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        point = self._points.get(route.name)
        if point is None:
            if len(self._points) >= MAX_SEQUENCES:
                self._points.clear()
            point = self._draw()
        self._points[route.name] = (point + GOLDEN_RATIO) % 1.0
        return choose_part(route, point)


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
