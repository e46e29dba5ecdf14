"""Decides how a fleet goes on when the store returns from an older copy.

The store counts its eras. In a new one, records that were acknowledged may be
missing, and their offsets are given out again. docs/design/store-era.md has
the argument for each rule; test/test_eras.py takes each of them out once.
"""

import collections.abc
import enum

from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.model import valueclass

# Keys are granted after a wait for a silent former owner only if the copy of
# the plan was confirmed this long after it was read. A plan that this process
# never read can then have given keys away only if it was in the store for as
# long.
CONFIRMED_S = 5.0
# Clock drift of all times in the comparison with it, and reading the clock.
CONFIRMED_MARGIN_S = 0.3
# Longest hold that targets are given, in the platform's bounds. A process that
# knows nothing of the time before it started waits this long.
HOLD_MAX_S = 10.0


class Settlement(enum.Enum):
    """What may be done with the facts of the era before.

    KEEP writes them again as they are, and targets go on with the keys that
    they hold. RENEW writes them with new epochs, as no grant is valid any
    more.
    """

    WAIT = 'wait'
    KEEP = 'keep'
    RENEW = 'renew'


PHASES = (
    state.EraPhase.LOST,
    state.EraPhase.RESTORED,
    state.EraPhase.OPEN,
)


@valueclass.define
class Floor:
    """The newest facts of earlier eras that some nodes know.

    ``end`` is where their copy ended, ``as_of`` the latest boot-clock time at
    which any of them was current.
    """

    end: int = 0
    as_of: float = float('-inf')


@valueclass.define
class Outlook:
    """What the planner knows of the change of era; boot-clock seconds.

    ``learnt_at`` is when its process learnt of the present era, at its start
    or later. After ``old_grants_s``, no grant that was based on an older era
    is valid.
    """

    floor: Floor
    learnt_at: float
    old_grants_s: float


def choose_settlement(outlook: Outlook, now: float) -> Settlement:
    """Return what may be done with the facts of earlier eras.

    A plan that no answering node knows was appended after the floor was
    current, and before the new era was learnt. If that is less than
    CONFIRMED_S, nobody can have waited out a former owner under it.
    """
    if outlook.floor.end <= 0:
        is_over = now - outlook.learnt_at > HOLD_MAX_S
        return Settlement.RENEW if is_over else Settlement.WAIT
    unknown_s = outlook.learnt_at - outlook.floor.as_of
    if unknown_s < CONFIRMED_S - CONFIRMED_MARGIN_S:
        return Settlement.KEEP
    if now - outlook.learnt_at > outlook.old_grants_s:
        return Settlement.RENEW
    return Settlement.WAIT


def join_floors(floors: collections.abc.Iterable[Floor]) -> Floor:
    """Return the newest of the floors, with the latest time of any."""
    found = Floor()
    for floor in floors:
        found = Floor(max(found.end, floor.end), max(found.as_of, floor.as_of))
    return found


def find_phase(end: int, record: registry.EraRecord | None) -> state.EraPhase:
    """Return the phase of the era in which a copy ends.

    ``record`` is the newest one of the copy; one of an older era has come
    from the copy of the store.
    """
    era = registry.find_era(end)
    if era == 0:
        return state.EraPhase.OPEN
    if record is None or record.era != era:
        return state.EraPhase.LOST
    return state.EraPhase.OPEN if record.is_open else state.EraPhase.RESTORED


def find_later(one: state.EraPhase, other: state.EraPhase) -> state.EraPhase:
    """Return the later one of two phases of the same era."""
    return max(one, other, key=PHASES.index)


def is_current_record(end: int, mark: int) -> bool:
    """Return whether a record was decided on in the era of the copy.

    An append may have been under way when the store came back, and be stored
    although its condition was meant for the era before.
    """
    return mark == registry.find_era(end)


def is_older(epoch: int, end: int) -> bool:
    """Return whether an epoch is of an era before that of the position."""
    return registry.find_era(epoch) < registry.find_era(end)


def is_confirmed(seen_at: float, as_of: float) -> bool:
    """Return whether a plan was in the store long enough to wait it out."""
    return as_of >= seen_at + CONFIRMED_S


@valueclass.define
class PlaceRight:
    """The right to grant the tokens of an allocators' place by an epoch."""

    place: int
    epoch: int


def is_same(known, wanted) -> bool:
    """Return whether two rights are the same."""
    return known == wanted


def covers_keys(known: ranges.Range, wanted: ranges.Range) -> bool:
    """Return whether the keys of one range include those of another."""
    return (
        known.epoch == wanted.epoch
        and known.owner == wanted.owner
        and known.first <= wanted.first
        and wanted.last <= known.last
    )


class Rights:
    """The rights by which a process may grant, over changes of era.

    Until grants of lost plans have ended, a process goes on with the rights
    that it had before: nobody else can have them, as this process has not
    read a plan that takes them away. Other rights of earlier eras are never
    used anew, since a lost plan may have given the same keys in between.
    A right has an ``epoch``; ``covers`` compares a known and a wanted one.
    """

    def __init__(self, covers=is_same):
        self._covers = covers
        self._phase = state.EraPhase.OPEN
        self._end = 0
        self._known = ()

    def take_era(
        self, phase: state.EraPhase, end: int, rights: collections.abc.Iterable
    ) -> None:
        """Adopt the phase and the end of the state in force.

        ``rights`` are all of the state before.
        """
        is_lost = phase is state.EraPhase.LOST
        was_lost = self._phase is state.EraPhase.LOST
        is_later = registry.find_era(end) > registry.find_era(self._end)
        if not was_lost and (is_lost or is_later):
            self._known = tuple(filter(self.may_use, rights))
        self._phase, self._end = phase, end

    def may_use(self, right) -> bool:
        """Return whether to grant by a right what nobody holds."""
        is_open = self._phase is state.EraPhase.OPEN
        if is_open and not is_older(right.epoch, self._end):
            return True
        return any(self._covers(known, right) for known in self._known)

    def is_refused(self, right) -> bool:
        """Return whether a right will never be used here."""
        return self._phase is state.EraPhase.OPEN and not self.may_use(right)
