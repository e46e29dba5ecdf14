"""Measures slot placement over a day of restarts and failures.

Restarts are planned: the member leaves, ends once its slots have moved, and
joins again after 20 s. A failed member ends without notice; a replacement
joins after 60 s. As in the planner task, necessary moves are planned at once
and moves for balance once a minute. Moves complete at once.
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
# Events in one simulated day.
RESTARTS = 680
FAILURES = 5
RESTART_S = 20.0
REPLACEMENT_S = 60.0
BALANCE_INTERVAL_S = 60.0
SEED = 20_241


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Result for one number of targets and slots.

    ``moved`` counts slots that changed owner, ``least`` the fewest that the
    events allow; ``part_moved`` is the fraction of all keys that moved.
    ``ratio`` is ``moved`` divided by ``least``.

    ``high_mean`` and ``high_max`` are the average and the maximum over time
    of the fullest member's slots divided by the mean of the eligible ones;
    ``over_share_max`` is the maximum of the difference, in slots.

    ``plan_ms_mean`` and ``plan_ms_max`` are times of one plan;
    ``plan_ms_per_s`` is the planning time per second of simulated time.
    ``first_plan_ms`` is the time of a plan without a cache, ``memory_mb`` the
    memory that a plan's cache takes. ``record_bytes`` is the size of the
    appended records, ``bytes_per_s`` the same per second of simulated time.
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
    """A planned restart or a failure of a member."""

    at: float
    kind: str


class DaySimulation:
    """Runs events on a fleet and measures moves, balance and planning."""

    def __init__(self, targets: int, slots: int, zones: int):
        self._random = random.Random(SEED)
        self._fleet = fleets.Fleet(slots, 2 * targets + 8)
        self._zones = zones
        self._slots = slots
        self._next_number = 1
        for _ in range(targets):
            self._join(f'z{self._next_number % zones}')
        self._plan_cache = planning.PlanCache()
        self._plan_times = []
        self._balance_at = float('-inf')
        self._fleet.plan_until_stable()
        self._start_offset = len(self._fleet.log)
        self._owners = self._list_owners()
        self.moved = 0
        self.least = 0
        self._peak_ratios = []
        self._max_excess = 0.0

    def run(self, events) -> None:
        """Run the events in order of time."""
        pending_joins = collections.deque()
        pending_events = sorted(events, key=lambda upcoming: upcoming.at)
        while pending_events or pending_joins:
            if pending_joins and (
                not pending_events
                or pending_joins[0][0] <= pending_events[0].at
            ):
                at, zone = pending_joins.popleft()
                self._balance_until(at)
                self._join(zone)
                # The new member becomes eligible once it has witnesses. It
                # must get at least the mean less one slot, rounded up.
                mean_share = self._slots / (len(self._list_eligible()) + 1)
                self.least += max(0, -int(-(mean_share - 1) // 1))
            else:
                event = pending_events.pop(0)
                at = event.at
                self._balance_until(at)
                zone, delay_s = self._stop(event.kind)
                pending_joins.append((at + delay_s, zone))
                pending_joins = collections.deque(sorted(pending_joins))
            self._settle(at)

    def _join(self, zone) -> None:
        self._fleet.join(self._next_number, zone)
        self._next_number += 1

    def _stop(self, kind):
        """Stop a random member; return its zone and the seconds to a join."""
        stopped_member = self._random.choice(self._list_eligible())
        self.least += self._owners.count(stopped_member.incarnation)
        if kind == 'restart':
            self._fleet.append(
                records.MemberLeaving(stopped_member.incarnation)
            )
            self._plan(frozenset())
        self._fleet.append(records.MembersEnded((stopped_member.incarnation,)))
        return (
            stopped_member.zone,
            RESTART_S if kind == 'restart' else REPLACEMENT_S,
        )

    def _settle(self, at) -> None:
        self._count_moves()
        while self._plan(frozenset()):
            pass
        self._balance(at)
        self._measure()

    def _balance(self, at) -> bool:
        """Plan moves for balance if due; return whether there were any."""
        if at - self._balance_at < BALANCE_INTERVAL_S:
            return False
        balanced = self._plan(fleets.ALL_SERVICES)
        if balanced:
            self._balance_at = at
        return balanced

    def _balance_until(self, at) -> None:
        due = self._balance_at + BALANCE_INTERVAL_S
        while due <= at and self._balance(due):
            due += BALANCE_INTERVAL_S

    def _plan(self, may_balance) -> bool:
        """Plan and complete the moves; return whether there were any."""
        started = time.perf_counter()
        planned = planning.plan_records(
            self._fleet.state, may_balance, self._plan_cache
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
            before != after
            for before, after in zip(self._owners, owners, strict=True)
        )
        self._owners = owners

    def _measure(self) -> None:
        eligible = self._list_eligible()
        mean = self._slots / len(eligible)
        most_slots = max(collections.Counter(self._owners).values())
        self._peak_ratios.append(most_slots / mean)
        self._max_excess = max(self._max_excess, most_slots - mean)

    def _list_eligible(self):
        return successors.list_eligible(self._fleet.state, 'kv')

    def _list_owners(self):
        current = self._fleet.state
        table = current.tables['kv']
        return [
            successors.find_owner(current, slot_order)
            for slot_order in table.orders
        ]

    def _measure_first_plan(self) -> float:
        started = time.perf_counter()
        planning.plan_records(self._fleet.state, frozenset())
        return time.perf_counter() - started

    def _measure_memory(self) -> float:
        gc.collect()
        tracemalloc.start()
        plan_cache = planning.PlanCache()
        planning.plan_records(self._fleet.state, frozenset(), plan_cache)
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used / 1e6

    def report(self, targets, restarts, failures) -> Row:
        """Return the measurements of the run."""
        appended_bytes = sum(
            len(recordcodec.encode_record('0' * 32, appended_record))
            for appended_record in self._fleet.log[self._start_offset :]
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
            sum(self._peak_ratios) / len(self._peak_ratios),
            max(self._peak_ratios),
            self._max_excess,
            len(times),
            1000 * sum(times) / len(times),
            1000 * max(times),
            1000 * sum(times) / seconds,
            1000 * self._measure_first_plan(),
            self._measure_memory(),
            appended_bytes,
            appended_bytes / seconds,
        )


def run_day(targets: int, slots: int, part: float) -> Row:
    """Simulate a part of a day for one size; return the measurements."""
    restarts = round(RESTARTS * part)
    failures = max(1, round(FAILURES * part))
    generator = random.Random(SEED)
    events = [
        Event(generator.uniform(0, DAY_S * part), kind)
        for kind, count in (('restart', restarts), ('failure', failures))
        for _ in range(count)
    ]
    day = DaySimulation(targets, slots, 3 if targets < 100 else 22)
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
