"""Plays requests for keys against the placement by load, without processes.

Prints the requests refused and the keys moved for fleets of several sizes.
"""

import bisect
import dataclasses
import random

from sesamejunction.decisions import keyload
from sesamejunction.decisions import rangeplanning
from sesamejunction.model import ranges
from sesamejunction.ui import invocation

STEP_S = 0.05
LOAD_INTERVAL_S = 0.5
MOVE_INTERVAL_S = 1.2
# Requests are refused if they would end later than this.
DEADLINE_S = 2.5


@dataclasses.dataclass(frozen=True)
class Site:
    """Targets, their slots and seconds of work, and requests a second."""

    targets: int
    slots: int
    work_s: float
    rate: float


# Large fleets whose targets get few requests each, and a small one.
LARGE = Site(105, 3, 0.336, 513.0)
MIDDLE = Site(33, 7, 0.388, 201.0)
SMALL = Site(5, 12, 0.06, 457.0)


class Model:
    """Targets of unequal speed; half of the requests are for few keys.

    The busy keys are close to one another in four places. Each target works
    off its queue at a constant speed.
    """

    def __init__(self, site, seed):
        self._site = site
        self._draw = random.Random(seed)
        self._centres = [self._draw.randrange(65536) for _ in range(4)]
        lives = [
            ranges.Life(f'm{number:03}', 't', 1)
            for number in range(site.targets)
        ]
        self._capacities = {
            life: site.slots / site.work_s * self._draw.uniform(0.7, 1.3)
            for life in lives
        }
        self._counters = {life: keyload.KeyLoad() for life in lives}
        self._queues = dict.fromkeys(lives, 0.0)
        self._owned = rangeplanning.plan_initial(lives, 1)
        self.moved_keys = 0

    def play(self, seconds):
        """Return the fractions refused in the first 5 s and after them."""
        asked, refused = [0, 0], [0, 0]
        load_at = move_at = 0.0
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            late = int(now >= 5.0)
            firsts = [owned.first for owned in self._owned]
            for _ in range(round(self._site.rate * STEP_S)):
                key = self._draw_key()
                place = bisect.bisect_right(firsts, key) - 1
                asked[late] += 1
                refused[late] += not self._run(key, self._owned[place], now)
            for life, capacity in self._capacities.items():
                left = self._queues[life] - capacity * STEP_S
                self._queues[life] = max(0.0, left)
            if now >= max(load_at, move_at):
                load_at = now + LOAD_INTERVAL_S
                if self._move_keys(now):
                    move_at = now + MOVE_INTERVAL_S
        return [
            count / total for count, total in zip(refused, asked, strict=True)
        ]

    def _draw_key(self):
        if self._draw.random() < 0.5:
            return self._draw.randrange(65536)
        centre = self._centres[min(3, int(self._draw.expovariate(1.0)))]
        return int(centre + self._draw.gauss(0, 400)) % 65536

    def _run(self, key, owned, now):
        life, capacity = owned.owner, self._capacities[owned.owner]
        self._counters[life].add(key, now)
        wait_s = self._queues[life] / capacity
        if wait_s + self._site.slots / capacity > DEADLINE_S:
            return False
        self._queues[life] += 1
        return True

    def _move_keys(self, now):
        held = {life: [] for life in self._capacities}
        for owned in self._owned:
            held[owned.owner].append(owned)
        moves = rangeplanning.choose_moves(
            [
                rangeplanning.OwnerLoad(
                    life,
                    capacity,
                    list(self._counters[life].list_segments(held[life], now)),
                )
                for life, capacity in self._capacities.items()
            ]
        )
        self.moved_keys += sum(move.last - move.first + 1 for move in moves)
        self._owned = rangeplanning.join_ranges(
            rangeplanning.apply_moves(
                self._owned, moves, int(now * 1000) + 2, lambda _: False
            )
        )
        return bool(moves)


SITES = (LARGE, MIDDLE, SMALL)


def start(seconds='12', seed='1') -> None:
    """Play each site for some seconds."""
    for site in SITES:
        model = Model(site, int(seed))
        first, later = model.play(float(seconds))
        print(
            f'{site.targets} targets: refused {first:.1%} in the first 5 s,'
            f' {later:.1%} later, moved {model.moved_keys / 65536:.1%} of the'
            ' keys'
        )


if __name__ == '__main__':
    invocation.run_command(start)
