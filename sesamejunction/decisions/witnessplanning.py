"""Plans which members witness which."""

import collections
import random

from sesamejunction.model import records
from sesamejunction.model import state

WITNESSES = 3
SAMPLE = 4


def plan_witnesses(current: state.State) -> list[records.WitnessEntry]:
    """Return entries for members that need other witnesses.

    A set is replaced when a witness has ended or is leaving, or when its
    witnesses share a zone although other zones have members. A set that is
    not settled cannot be replaced.
    """
    wanting = _list_wanting(current)
    if not wanting:
        return []
    picker = Picker(current)
    entries = []
    for member, old in wanting:
        named = old.witnesses if old else ()
        chosen = picker.choose(member.incarnation, named)
        if len(chosen) == WITNESSES and set(chosen) != set(named):
            version = old.version + 1 if old else 1
            entries.append(
                records.WitnessEntry(
                    member.incarnation, version, tuple(chosen)
                )
            )
    return entries


def replace_silent(
    current: state.State, holder: int, silent
) -> records.WitnessEntry | None:
    """Return an entry that replaces silent witnesses, None if none may.

    A fleet without other members names the same ones again: under the new
    version, one that has declared promises again.
    """
    old = current.witness_sets.get(holder)
    if old is None or old.previous is not None:
        return None
    left = [one for one in old.witnesses if one not in silent]
    chosen = tuple(Picker(current, silent).choose(holder, left))
    if len(chosen) < WITNESSES:
        chosen = old.witnesses
    return records.WitnessEntry(holder, old.version + 1, chosen)


def list_named_witnesses(current: state.State) -> set[int]:
    """Return all incarnations that some member's lease may rest on."""
    return {
        one
        for found in current.witness_sets.values()
        for one in (*found.witnesses, *(found.previous or ()))
    }


def list_reachable(current: state.State, known) -> dict[int, state.Member]:
    """Return the members and the former ones that are named as witnesses.

    An incarnation that has ended goes on as a witness until it is replaced;
    otherwise one loss of a lease could end further leases. ``known`` is the
    result for an earlier state, which still has the addresses.
    """
    former = list_named_witnesses(current) & known.keys()
    return {one: known[one] for one in former} | dict(current.members)


def _list_wanting(current):
    """Return members with their sets, without those that are well spread.

    A full set in three zones stays as it is, whatever else has changed.
    """
    sets = current.witness_sets
    zones = {
        one.incarnation: one.zone
        for one in current.members.values()
        if not one.leaving
    }
    wanting = []
    for one in zones:
        old = sets.get(one)
        if old is not None:
            found = {zones.get(other) for other in old.witnesses}
            if old.previous is not None or (
                len(found) == WITNESSES and None not in found
            ):
                continue
        wanting.append((current.members[one], old))
    return wanting


class Picker:
    """Picks witnesses in different zones, spread over the members."""

    def __init__(self, current: state.State, excluded=()):
        out = state.Standing.OUT
        self._zones = {
            one.incarnation: one.zone
            for one in current.members.values()
            if not one.leaving and one.incarnation not in excluded
        }
        self._members = list(self._zones)
        self._out = {
            zone for zone, standing in current.zones.items() if standing is out
        }
        self._sizes = collections.Counter(self._zones.values())
        self._load = collections.Counter(
            one
            for old in current.witness_sets.values()
            for one in old.witnesses
        )
        self._random = random.Random(len(self._members))

    def choose(self, holder: int, named) -> list[int]:
        """Return up to three witnesses, those named before where they fit."""
        zones = set(self._sizes)
        own = self._zones.get(holder)
        if own is not None and self._sizes[own] == 1:
            zones.discard(own)
        live = [one for one in named if one in self._zones]
        chosen = _drop_doubles(live, self._zones, len(zones))
        used = {self._zones[one] for one in chosen}
        while len(chosen) < WITNESSES:
            one = self._pick({holder, *chosen}, zones - used)
            if one is None:
                break
            chosen.append(one)
            used.add(self._zones[one])
            self._load[one] += 1
        return chosen

    def _pick(self, taken, unused) -> int | None:
        # Zones that are out may go down as a whole, so others go first.
        for zones in (unused - self._out, unused, None):
            if zones is not None and not zones:
                continue
            found = self._sample(taken, zones) or self._list(taken, zones)
            if found:
                return min(found, key=lambda one: (self._load[one], one))
        return None

    def _sample(self, taken, zones) -> list[int]:
        found = []
        for _ in range(4 * SAMPLE):
            one = self._members[
                int(self._random.random() * len(self._members))
            ]
            if self._fits(one, taken, zones):
                found.append(one)
                if len(found) == SAMPLE:
                    break
        return found

    def _list(self, taken, zones) -> list[int]:
        return [one for one in self._members if self._fits(one, taken, zones)]

    def _fits(self, one, taken, zones) -> bool:
        return one not in taken and (
            zones is None or self._zones[one] in zones
        )


def _drop_doubles(live, zone_of, zone_count):
    # A set made while few zones had members is spread once more have.
    distinct = len({zone_of[one] for one in live})
    if distinct >= min(len(live), zone_count):
        return live
    kept = {}
    for one in live:
        kept.setdefault(zone_of[one], one)
    return list(kept.values())
