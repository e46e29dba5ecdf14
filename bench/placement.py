"""Measures placement over a day's restarts and failures.

Restarts are planned: the member leaves, ends once its slots have moved, and
joins again after 20 s. A failed member ends without notice; another joins
after 60 s. Needed moves are planned at once, moves for balance once a
minute, as the planner task does. Moves settle at once.
"""

import collections
import dataclasses
import gc
import random
import time
import tracemalloc

import fire

from bench import fleets
from bench import tables
from sesamejunction.border import recordcodec
from sesamejunction.decisions import planning
from sesamejunction.decisions import successors
from sesamejunction.model import records

DAY_S = 86_400.0
RESTARTS = 680
FAILURES = 5
RESTART_S = 20.0
REPLACE_S = 60.0
BALANCE_S = 60.0
SEED = 20_241


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Result for one size.

    ``moved`` and ``least`` are slots that changed owner and the fewest that
    the events allow; ``part_moved`` is the part of all keys. ``high`` is the
    fullest member's slots over the mean, averaged and at most. Bytes are of
    records appended, a second of the part of the day that was run.
    ``first_plan_ms`` is a plan of a planner that has not planned before, and
    ``memory_mb`` what it then keeps.
    """

    targets: int
    slots: int
    restarts: int
    failures: int
    moved: int
    least: int
    ratio: float
    part_moved: float
    high_mean: float
    high_max: float
    over_share_max: float
    plans: int
    plan_ms_mean: float
    plan_ms_max: float
    plan_ms_per_s: float
    first_plan_ms: float
    memory_mb: float
    record_bytes: int
    bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A member stops or a new one starts in its place."""

    at: float
    kind: str


class Day:
    """Runs the events and counts."""

    def __init__(self, targets: int, slots: int, zones: int):
        self._random = random.Random(SEED)
        self._fleet = fleets.Fleet(slots, 2 * targets + 8)
        self._zones = zones
        self._slots = slots
        self._next = 1
        for _ in range(targets):
            self._join(f'z{self._next % zones}')
        self._memory = planning.PlanCache()
        self._plan_times = []
        self._balance_at = float('-inf')
        self._fleet.plan_until_stable()
        self._start_offset = len(self._fleet.log)
        self._owners = self._list_owners()
        self.moved = 0
        self.least = 0
        self._high = []
        self._over = 0.0

    def run(self, events) -> None:
        """Run the events in order of time."""
        waiting = collections.deque()
        pending = sorted(events, key=lambda one: one.at)
        while pending or waiting:
            if waiting and (not pending or waiting[0][0] <= pending[0].at):
                at, zone = waiting.popleft()
                self._balance_until(at)
                self._join(zone)
                # The joiner is not eligible before it has witnesses.
                share = self._slots / (len(self._eligible()) + 1)
                self.least += max(0, -int(-(share - 1) // 1))
            else:
                event = pending.pop(0)
                at = event.at
                self._balance_until(at)
                zone, wait = self._stop(event.kind)
                waiting.append((at + wait, zone))
                waiting = collections.deque(sorted(waiting))
            self._settle(at)

    def _join(self, zone) -> None:
        self._fleet.join(self._next, zone)
        self._next += 1

    def _stop(self, kind):
        gone = self._random.choice(self._eligible())
        self.least += self._owners.count(gone.incarnation)
        if kind == 'restart':
            self._fleet.append(records.MemberLeaving(gone.incarnation))
            self._plan(frozenset())
        self._fleet.append(records.MembersEnded((gone.incarnation,)))
        return gone.zone, RESTART_S if kind == 'restart' else REPLACE_S

    def _settle(self, at) -> None:
        self._count_moves()
        while self._plan(frozenset()):
            pass
        self._balance(at)
        self._measure()

    def _balance(self, at) -> bool:
        if at - self._balance_at < BALANCE_S:
            return False
        balanced = self._plan(fleets.ALL_SERVICES)
        if balanced:
            self._balance_at = at
        return balanced

    def _balance_until(self, at) -> None:
        due = self._balance_at + BALANCE_S
        while due <= at and self._balance(due):
            due += BALANCE_S

    def _plan(self, may_balance) -> bool:
        started = time.perf_counter()
        planned = planning.plan_records(
            self._fleet.state, may_balance, self._memory
        )
        self._plan_times.append(time.perf_counter() - started)
        for record in planned.records:
            self._fleet.append(record)
        self._fleet.complete_moves()
        self._count_moves()
        return bool(planned.records)

    def _count_moves(self) -> None:
        owners = self._list_owners()
        self.moved += sum(
            a != b for a, b in zip(self._owners, owners, strict=True)
        )
        self._owners = owners

    def _measure(self) -> None:
        eligible = self._eligible()
        mean = self._slots / len(eligible)
        most = max(collections.Counter(self._owners).values())
        self._high.append(most / mean)
        self._over = max(self._over, most - mean)

    def _eligible(self):
        return successors.list_eligible(self._fleet.state, 'kv')

    def _list_owners(self):
        current = self._fleet.state
        table = current.tables['kv']
        return [successors.find_owner(current, one) for one in table.orders]

    def _measure_first_plan(self) -> float:
        started = time.perf_counter()
        planning.plan_records(self._fleet.state, frozenset())
        return time.perf_counter() - started

    def _measure_memory(self) -> float:
        gc.collect()
        tracemalloc.start()
        memory = planning.PlanCache()
        planning.plan_records(self._fleet.state, frozenset(), memory)
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used / 1e6

    def report(self, targets, restarts, failures) -> Row:
        """Return the figures."""
        size = sum(
            len(recordcodec.encode_record('0' * 32, one))
            for one in self._fleet.log[self._start_offset :]
        )
        seconds = DAY_S * restarts / RESTARTS
        times = self._plan_times
        return Row(
            targets,
            self._slots,
            restarts,
            failures,
            self.moved,
            self.least,
            self.moved / max(1, self.least),
            self.moved / self._slots,
            sum(self._high) / len(self._high),
            max(self._high),
            self._over,
            len(times),
            1000 * sum(times) / len(times),
            1000 * max(times),
            1000 * sum(times) / seconds,
            1000 * self._measure_first_plan(),
            self._measure_memory(),
            size,
            size / seconds,
        )


def run_day(targets: int, slots: int, part: float) -> Row:
    """Return the figures of a part of a day for one size."""
    restarts = round(RESTARTS * part)
    failures = max(1, round(FAILURES * part))
    draw = random.Random(SEED)
    events = [
        Event(draw.uniform(0, DAY_S * part), kind)
        for kind, count in (('restart', restarts), ('failure', failures))
        for _ in range(count)
    ]
    day = Day(targets, slots, 3 if targets < 100 else 22)
    day.run(events)
    return day.report(targets, restarts, failures)


def main(targets='12,200,2000', slots='256,4096,65536', part='1') -> None:
    """Run all sizes; ``part`` is the part of the day to run."""
    rows = [
        run_day(int(count), int(size), float(part))
        for count in _split(targets)
        for size in _split(slots)
    ]
    tables.print_rows(rows)


def _split(text) -> list[str]:
    # fire reads one number as an int and several as a tuple.
    return str(text).strip('()').split(',')


if __name__ == '__main__':
    fire.Fire(main)
