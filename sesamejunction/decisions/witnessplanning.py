"""Plans the witness sets of all members."""

import collections
import random

from sesamejunction.model import records
from sesamejunction.model import state

WITNESS_COUNT = 3
# Suitable members that are drawn at random and compared by load.
SAMPLE_SIZE = 4


def plan_witnesses(current: state.State) -> list[records.WitnessEntry]:
    """Return entries for members that need another witness set.

    A set is replaced if a witness has ended or is leaving, or if witnesses
    share a zone although other zones have members. A set in transition
    cannot be replaced.
    """
    incomplete = _list_incomplete(current)
    if not incomplete:
        return []
    picker = WitnessPicker(current)
    entries = []
    for member, old in incomplete:
        named = old.witnesses if old else ()
        chosen = picker.choose(member.incarnation, named)
        if len(chosen) == WITNESS_COUNT and set(chosen) != set(named):
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
    """Return an entry that replaces silent witnesses.

    Returns None while the set is in transition. Without other members, the
    same witnesses are named again: under the new version, a witness that
    has declared makes promises again.
    """
    old = current.witness_sets.get(holder)
    if old is None or old.previous is not None:
        return None
    responsive = [
        witness_id for witness_id in old.witnesses if witness_id not in silent
    ]
    chosen = tuple(WitnessPicker(current, silent).choose(holder, responsive))
    if len(chosen) < WITNESS_COUNT:
        chosen = old.witnesses
    return records.WitnessEntry(holder, old.version + 1, chosen)


def list_named_witnesses(current: state.State) -> set[int]:
    """Return all incarnations that are witnesses of some member."""
    return {
        member_id
        for witness_set in current.witness_sets.values()
        for member_id in (
            *witness_set.witnesses,
            *(witness_set.previous or ()),
        )
    }


def list_reachable(current: state.State, known) -> dict[int, state.Member]:
    """Return the members, and former members that are still witnesses.

    An incarnation that has ended remains a witness until it is replaced;
    otherwise the loss of one lease could end further leases. ``known`` is
    the result for an earlier state, with the addresses of former members.
    """
    former = list_named_witnesses(current) & known.keys()
    return {member_id: known[member_id] for member_id in former} | dict(
        current.members
    )


def _list_incomplete(current):
    """Return the members whose sets may need changes, with their sets.

    A complete set in three zones is kept, whatever else has changed.
    """
    sets = current.witness_sets
    zones = {
        candidate_member.incarnation: candidate_member.zone
        for candidate_member in current.members.values()
        if not candidate_member.leaving
    }
    incomplete = []
    for member_id in zones:
        old = sets.get(member_id)
        if old is not None:
            witness_zones = {zones.get(other) for other in old.witnesses}
            if old.previous is not None or (
                len(witness_zones) == WITNESS_COUNT
                and None not in witness_zones
            ):
                continue
        incomplete.append((current.members[member_id], old))
    return incomplete


class WitnessPicker:
    """Picks witnesses in different zones, spread over the members."""

    def __init__(self, current: state.State, excluded=()):
        out = state.Standing.OUT
        self._zones = {
            eligible_member.incarnation: eligible_member.zone
            for eligible_member in current.members.values()
            if not eligible_member.leaving
            and eligible_member.incarnation not in excluded
        }
        self._members = list(self._zones)
        self._out = {
            zone for zone, standing in current.zones.items() if standing is out
        }
        self._sizes = collections.Counter(self._zones.values())
        self._load = collections.Counter(
            witness_id
            for old in current.witness_sets.values()
            for witness_id in old.witnesses
        )
        self._random = random.Random(len(self._members))

    def choose(self, holder: int, named) -> list[int]:
        """Return up to three witnesses, preferably those in ``named``."""
        zones = set(self._sizes)
        own = self._zones.get(holder)
        if own is not None and self._sizes[own] == 1:
            zones.discard(own)
        live = [candidate for candidate in named if candidate in self._zones]
        chosen = _drop_same_zone(live, self._zones, len(zones))
        used = {self._zones[candidate] for candidate in chosen}
        while len(chosen) < WITNESS_COUNT:
            candidate = self._pick({holder, *chosen}, zones - used)
            if candidate is None:
                break
            chosen.append(candidate)
            used.add(self._zones[candidate])
            self._load[candidate] += 1
        return chosen

    def _pick(self, taken, unused) -> int | None:
        # Zones out of service may go down as a whole, so others are preferred.
        for zones in (unused - self._out, unused, None):
            if zones is not None and not zones:
                continue
            fitting = self._sample_fitting(taken, zones) or self._list_fitting(
                taken, zones
            )
            if fitting:
                return min(
                    fitting,
                    key=lambda candidate: (self._load[candidate], candidate),
                )
        return None

    def _sample_fitting(self, taken, zones) -> list[int]:
        fitting = []
        for _ in range(4 * SAMPLE_SIZE):
            candidate = self._members[
                int(self._random.random() * len(self._members))
            ]
            if self._fits(candidate, taken, zones):
                fitting.append(candidate)
                if len(fitting) == SAMPLE_SIZE:
                    break
        return fitting

    def _list_fitting(self, taken, zones) -> list[int]:
        return [
            candidate
            for candidate in self._members
            if self._fits(candidate, taken, zones)
        ]

    def _fits(self, candidate, taken, zones) -> bool:
        return candidate not in taken and (
            zones is None or self._zones[candidate] in zones
        )


def _drop_same_zone(live, zone_of, zone_count):
    # A set chosen while few zones had members is spread over more zones once
    # these have members.
    distinct = len({zone_of[candidate] for candidate in live})
    if distinct >= min(len(live), zone_count):
        return live
    kept = {}
    for candidate in live:
        kept.setdefault(zone_of[candidate], candidate)
    return list(kept.values())
