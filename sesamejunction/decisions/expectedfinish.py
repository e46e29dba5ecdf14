"""Choice of a target by when it would answer one more request.

It is used where targets report their present speed; see
docs/design/uneven-servers.md.
"""

import dataclasses
import math

from sesamejunction.model import valueclass

# A target of another availability zone is used only if it answers this much
# earlier, in seconds, as bytes between zones cost money. It is about the
# shortest usual run time, so a short queue does not make requests leave.
CROSS_ZONE_GAIN_S = 0.025
# A target beside this node saves two hops of about this time in all.
HOP_S = 0.001
# Estimates that are older are asked for again. A machine is slow for 0.4 s at
# a time, and a target answers several requests in 50 ms.
FRESH_S = 0.05
# Targets of the own zone that are drawn beside the one next to this node. With
# two the longest queues are avoided; each further one costs two frames.
DRAWN = 2


@valueclass.define
class Estimate:
    """Expected wait and run time in seconds of one route at a target.

    ``slots`` is how many requests run there at once. ``at`` is the boot-clock
    time of the estimate, ``sent`` counts this node's later attempts there.
    """

    wait_s: float
    run_s: float
    slots: int
    at: float
    sent: int = 0

    @property
    def finish_s(self) -> float:
        """Return the seconds until one more request would be answered."""
        later_s = self.sent * self.run_s / max(1, self.slots)
        return self.wait_s + later_s + self.run_s

    def is_fresh(self, now: float) -> bool:
        """Return whether a choice may rest on the estimate."""
        return now - self.at <= FRESH_S

    def add_attempt(self) -> 'Estimate':
        """Return the estimate after an attempt was sent to the target."""
        return dataclasses.replace(self, sent=self.sent + 1)


def draw_candidates(
    members: list[int],
    zones: dict[int, str],
    own_zone: str,
    own: int,
    is_zone_busy: bool,
    draw,
) -> list[int]:
    """Return the members to compare, drawn at random.

    ``own`` is the member of this node, whose estimate costs nothing. Another
    zone is asked if ``is_zone_busy``, the own targets having made requests
    wait, or if the own zone has no second target.
    """
    near, far = [], []
    for member in members:
        if member != own:
            (near if zones[member] == own_zone else far).append(member)
    drawn = _draw_some(near, DRAWN, draw)
    own_count = len(drawn) + (own in members)
    if own_count < DRAWN or is_zone_busy:
        drawn += _draw_some(far, max(1, DRAWN - own_count), draw)
    if own in members:
        drawn.append(own)
    return drawn


def _draw_some(members: list[int], count: int, draw) -> list[int]:
    return [
        members.pop(draw(len(members)))
        for _ in range(min(count, len(members)))
    ]


def choose_earliest(
    estimates: dict[int, Estimate],
    zones: dict[int, str],
    own_zone: str,
    own: int,
) -> int | None:
    """Return the member that would answer first, None if none would.

    Among equals the own zone comes first, and in it the own target.
    """
    best, best_cost_s = None, math.inf
    for member, estimate in estimates.items():
        cost_s = estimate.finish_s
        if member != own:
            cost_s += HOP_S
        if zones[member] != own_zone:
            cost_s += CROSS_ZONE_GAIN_S
        if cost_s < best_cost_s:
            best, best_cost_s = member, cost_s
    return best
