"""Leases of key ranges that a node grants to its target.

A hold is the time for which the target may serve the keys of a grant. A life
is one run of the target's process.

docs/platform.md section 4 derives the times.
"""

import dataclasses

from sesamejunction.decisions import eras
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import valueclass

# Longest hold that is granted to a target: three heartbeats of 0.87 s may be
# late.
HOLD_S = 3.0
# Holds may end at most this long after the node's copy of the plans was known
# to be current. An outage of the log of about this length interrupts no key.
AUTHORITY_S = 7.0
# The clock that measures a hold may be 2% slow.
DRIFT = 0.02
# Allows for the time between reading the clock and sending an answer.
MARGIN_S = 0.2
# Wait of a new owner, from when it read the plan, for a former owner whose
# node does not answer.
FORMER_OWNER_WAIT_S = AUTHORITY_S * (1 + DRIFT) + MARGIN_S
# Shorter holds are not granted, as they would end before the next heartbeat.
SHORTEST_HOLD_S = 0.2
# Time for which handovers are kept for claimants that ask late.
KEEP_HANDOVERS_S = 15.0
# Heartbeats of a target process (life) with an earlier start are ignored if
# the present one sent a heartbeat within this time. After that, it is more
# likely that the clock was set back.
STALE_LIFE_S = 3.0
# Former lives that are remembered; a target starts a few times a minute at
# most. While the hold of a forgotten life may run, no unknown life counts as
# released.
MAX_FORMER_LIVES = 64
# Rows of one grant. More would not fit into the answer to a heartbeat, and the
# target would hold less than this node believes.
MAX_GRANT_ROWS = 80


@valueclass.define
class GrantedAnswer:
    """The latest grant: its heartbeat's sequence, its rows and its end."""

    sequence: int
    rows: tuple[leasing.GrantRow, ...]
    end: float


@valueclass.define
class FormerLife:
    """A life that was replaced, or whose target seemed to have ended.

    ``sequence`` is that of its latest heartbeat, ``ended_at`` when it was
    replaced. It may hold the keys of ``rows``, all keys if that is None, until
    ``hold_end``.
    """

    sequence: int
    ended_at: float
    rows: tuple[leasing.HeldKeys | leasing.GrantRow, ...] | None
    hold_end: float


@valueclass.define
class FreedRange:
    """Keys that the target has released with a handover, and the time."""

    piece: ranges.ReleasedKeys
    at: float


def compute_hold_seconds(as_of: float, now: float) -> float:
    """Return the seconds for which keys may be granted now.

    ``as_of`` is when the copy of the plans was known to be current.
    """
    left = (as_of + AUTHORITY_S - now) / (1 + DRIFT)
    return max(0.0, min(HOLD_S, left))


def overlaps(first, last, other) -> bool:
    """Return whether ``other`` overlaps the keys from first to last."""
    return other.first <= last and first <= other.last


class RangeLeases:
    """Key ranges granted to a node's target; times are boot-clock seconds.

    ``left_out`` is the number of rows that the latest grant had no room for.
    """

    def __init__(self, started_at: float):
        self.left_out = 0
        # When all grants that this process does not know have expired. A
        # former process of this node may have granted keys just before.
        self._unknown_hold_end = started_at + HOLD_S * (1 + DRIFT) + MARGIN_S
        self.life = None
        self.heard_at = float('-inf')
        self._heartbeat = None
        self._granted = None
        self._freed_ranges = []
        self._former = {}
        self._plan = ranges.RangePlan(())
        self._rights = eras.Rights(eras.covers_keys)
        # That of the latest renewal.
        self._as_of = float('-inf')
        self._seen_at = {}
        self._released = {}

    def take_era(self, phase, end: int) -> None:
        """Adopt the phase of the store's era; before a plan of that era."""
        self._rights.take_era(phase, end, self._plan.ranges)

    def list_refused(self) -> frozenset[ranges.Range]:
        """Return the owned ranges that are never granted by their epoch."""
        return frozenset(
            key_range
            for key_range in self.list_owned()
            if self._rights.is_refused(key_range)
            and not self._is_held(key_range)
        )

    def take_plan(self, plan: ranges.RangePlan, now: float) -> None:
        """Adopt a new range plan of the target's service."""
        self._plan = plan
        epochs = {key_range.epoch for key_range in plan.ranges}
        self._seen_at = {
            epoch: self._seen_at.get(epoch, now) for epoch in epochs
        }
        awaited = {
            (key_range.epoch, key_range.first, key_range.last)
            for key_range in plan.ranges
            if key_range.previous
        }
        self._released = {
            claim_key: released_pieces
            for claim_key, released_pieces in self._released.items()
            if claim_key[:3] in awaited
        }

    def accepts_heartbeat(
        self, heartbeat: leasing.Heartbeat, now: float
    ) -> bool:
        """Return whether the heartbeat is new, from this life or a later one.

        Late heartbeats are not accepted. A former life is accepted again only
        if it goes on with new heartbeats while no other life is heard: it was
        replaced by mistake.
        """
        former = self._former.get(heartbeat.life)
        if former is not None:
            quiet_since = max(self.heard_at, former.ended_at)
            return (
                heartbeat.sequence > former.sequence
                and now - quiet_since > STALE_LIFE_S
            )
        if self.life is None:
            return True
        if heartbeat.life == self.life:
            return heartbeat.sequence > self._heartbeat.sequence
        if heartbeat.life.born > self.life.born:
            return True
        return now - self.heard_at > STALE_LIFE_S

    def take_heartbeat(self, heartbeat: leasing.Heartbeat, now: float):
        """Record an accepted heartbeat, and a new life if it shows one."""
        if heartbeat.life != self.life:
            if self.life is not None:
                self.end_life(now)
            former = self._former.pop(heartbeat.life, None)
            if former is not None:
                self._note_unknown_hold(former)
            self.life = heartbeat.life
        self._heartbeat = heartbeat
        self.heard_at = now
        self._freed_ranges = [
            freed_range
            for freed_range in self._freed_ranges
            if now - freed_range.at < KEEP_HANDOVERS_S
        ]
        self._freed_ranges += [
            FreedRange(piece, now) for piece in heartbeat.freed
        ]

    def end_life(self, now: float) -> None:
        """Stop granting keys to the present life; its hold runs on."""
        self._former[self.life] = FormerLife(
            self._heartbeat.sequence,
            now,
            self._list_possible_rows(),
            self.hold_end,
        )
        if len(self._former) > MAX_FORMER_LIVES:
            self._note_unknown_hold(self._former.pop(next(iter(self._former))))
        self.life = None
        self._heartbeat = None
        self._granted = None
        self._freed_ranges = []

    def _note_unknown_hold(self, former: FormerLife) -> None:
        """Keep the end of a hold whose life is no longer a former one."""
        self._unknown_hold_end = max(self._unknown_hold_end, former.hold_end)

    def list_owned(self) -> list[ranges.Range]:
        """Return the ranges that the plan assigns to the present life."""
        return [
            key_range
            for key_range in self._plan.ranges
            if key_range.owner == self.life
        ]

    def list_waiting(self, now: float):
        """Return each owned range that cannot be granted yet.

        The second value is since when this node has known its epoch.
        """
        return tuple(
            (key_range, self._seen_at.get(key_range.epoch, now))
            for key_range in self.list_owned()
            if not self._is_settled(key_range, now)
        )

    def list_claims(self, now: float) -> list[leasing.AskRelease]:
        """Return the releases that owned ranges are still waiting for."""
        return [
            leasing.AskRelease(
                '', key_range.first, key_range.last, key_range.epoch, life
            )
            for key_range in self.list_owned()
            if not self._is_settled(key_range, now)
            for life in key_range.previous
            if (key_range.epoch, key_range.first, key_range.last, life)
            not in self._released
        ]

    def take_release(self, claim, released: leasing.ReleaseResult) -> None:
        """Record the release that answers a claim."""
        claim_key = claim.epoch, claim.first, claim.last, claim.life
        self._released[claim_key] = released.pieces

    def renew(self, as_of: float, now: float) -> leasing.Renewal:
        """Return the grant that answers the latest heartbeat."""
        self._as_of = as_of
        hold_s = compute_hold_seconds(as_of, now)
        if self.life is None or hold_s < SHORTEST_HOLD_S:
            return leasing.Renewal()
        rows = []
        for key_range in self.list_owned():
            if self._is_held(key_range):
                # Handovers are only included until the target has taken over
                # the keys.
                rows.append(
                    leasing.GrantRow(
                        key_range.first, key_range.last, key_range.epoch
                    )
                )
            elif self._is_settled(key_range, now):
                rows += self._build_rows(key_range)
        rows = self._limit_rows(join_rows(rows))
        self._granted = GrantedAnswer(
            self._heartbeat.sequence, rows, now + hold_s * (1 + DRIFT)
        )
        return leasing.Renewal(rows, hold_s)

    def _limit_rows(self, rows) -> tuple[leasing.GrantRow, ...]:
        """Return the rows that one grant may have, in order of their keys.

        Rows that the target holds already go before others, wide ones before
        narrow ones.
        """
        self.left_out = max(0, len(rows) - MAX_GRANT_ROWS)
        if not self.left_out:
            return rows
        chosen = sorted(
            rows,
            key=lambda row: (not self._is_held(row), row.first - row.last),
        )[:MAX_GRANT_ROWS]
        return tuple(sorted(chosen, key=lambda row: row.first))

    @property
    def granted_rows(self) -> tuple[leasing.GrantRow, ...]:
        """Return the rows of the latest grant."""
        return self._granted.rows if self._granted else ()

    @property
    def hold_end(self) -> float:
        """Return when all grants to the present life have expired."""
        if self._granted is not None:
            return self._granted.end
        return self._unknown_hold_end

    def _is_hold_over(self, claim: leasing.AskRelease, now: float) -> bool:
        """Return whether the claimed life can no longer hold the keys.

        That is so when it has released them or when its hold has run out. A
        later life or a lost connection shows neither, as the former life may
        still be at work.
        """
        if claim.life == self.life:
            rows, hold_end = self._list_possible_rows(), self.hold_end
        elif claim.life in self._former:
            former = self._former[claim.life]
            rows, hold_end = former.rows, former.hold_end
        else:
            rows, hold_end = None, self._unknown_hold_end
        return now > hold_end or (
            rows is not None
            and not any(
                overlaps(claim.first, claim.last, held_range)
                for held_range in rows
            )
        )

    @property
    def is_releasing(self) -> bool:
        """Return whether the target holds keys beyond its latest grant."""
        if self._heartbeat is None or self._granted is None:
            return False
        return any(
            not any(
                row.first <= held.first and held.last <= row.last
                for row in merge_rows(self._granted.rows)
            )
            for held in self._heartbeat.held
        )

    def answer_claim(
        self, claim: leasing.AskRelease, now: float
    ) -> leasing.ReleaseResult:
        """Return whether the claimed keys are released, with handovers.

        They are not before this node has read the plan of the claim, as it may
        grant them again by an older plan. A plan that the store has lost is
        never read: its claims stay open.
        """
        current = self._plan.find(claim.first)
        if (
            current is None
            or current.epoch < claim.epoch
            or eras.is_older(claim.epoch, current.epoch)
            or not self._is_hold_over(claim, now)
        ):
            return leasing.ReleaseResult(False)
        if claim.life != self.life:
            return leasing.ReleaseResult(True)
        return leasing.ReleaseResult(True, self._find_handovers(claim))

    def _list_possible_rows(self):
        """Return the rows that the present life may hold, None for any."""
        granted = self._granted
        if granted is None:
            # This node's process has not answered any heartbeat. A former
            # process may have granted keys after the target sent this
            # heartbeat.
            return None
        if granted.sequence >= self._heartbeat.sequence:
            return (*self._heartbeat.held, *granted.rows)
        return self._heartbeat.held

    def _find_handovers(self, claim) -> tuple[ranges.ReleasedKeys, ...]:
        pieces = []
        for freed_range in reversed(self._freed_ranges):
            piece = freed_range.piece
            if overlaps(claim.first, claim.last, piece) and not any(
                overlaps(piece.first, piece.last, taken) for taken in pieces
            ):
                pieces.append(
                    ranges.ReleasedKeys(
                        max(piece.first, claim.first),
                        min(piece.last, claim.last),
                        piece.handover,
                    )
                )
        return tuple(sorted(pieces, key=lambda handed_over: handed_over.first))

    def _is_settled(self, key_range: ranges.Range, now: float) -> bool:
        """Return whether no former owner can hold the keys any more."""
        if not self._rights.may_use(key_range):
            return self._is_held(key_range)
        if not key_range.previous:
            return True
        seen_at = self._seen_at.get(key_range.epoch, now)
        if now - seen_at >= FORMER_OWNER_WAIT_S and eras.is_confirmed(
            seen_at, self._as_of
        ):
            return True
        if self._is_held(key_range):
            return True
        return all(
            (key_range.epoch, key_range.first, key_range.last, life)
            in self._released
            for life in key_range.previous
        )

    def _is_held(self, key_range: ranges.Range | leasing.GrantRow) -> bool:
        """Return whether the target holds the keys under the same epoch."""
        return self._heartbeat is not None and any(
            held.epoch == key_range.epoch
            and held.first <= key_range.first
            and key_range.last <= held.last
            for held in self._heartbeat.held
        )

    def _build_rows(self, key_range: ranges.Range) -> list[leasing.GrantRow]:
        """Return the rows of a range, split where the handover changes."""
        pieces = [
            piece
            for life in key_range.previous
            for piece in self._released.get(
                (key_range.epoch, key_range.first, key_range.last, life), ()
            )
        ]
        rows, next_key = [], key_range.first
        for piece in sorted(pieces, key=lambda piece: piece.first):
            if piece.first < next_key:
                continue
            if piece.first > next_key:
                rows.append(
                    leasing.GrantRow(
                        next_key, piece.first - 1, key_range.epoch
                    )
                )
            rows.append(
                leasing.GrantRow(
                    piece.first, piece.last, key_range.epoch, piece.handover
                )
            )
            next_key = piece.last + 1
        if next_key <= key_range.last:
            rows.append(
                leasing.GrantRow(next_key, key_range.last, key_range.epoch)
            )
        return rows


def join_rows(rows) -> tuple[leasing.GrantRow, ...]:
    """Return the rows, with adjacent rows joined if they are equal."""
    joined = []
    for row in rows:
        last = joined[-1] if joined else None
        if (
            last is not None
            and (last.epoch, last.handover) == (row.epoch, row.handover)
            and last.last + 1 == row.first
        ):
            joined[-1] = dataclasses.replace(last, last=row.last)
        else:
            joined.append(row)
    return tuple(joined)


def merge_rows(rows) -> list[ranges.ReleasedKeys]:
    """Return the key ranges of rows, with adjacent ranges joined."""
    merged = []
    for row in sorted(rows, key=lambda grant_row: grant_row.first):
        if merged and merged[-1].last + 1 >= row.first:
            merged[-1] = ranges.ReleasedKeys(
                merged[-1].first, max(merged[-1].last, row.last)
            )
        else:
            merged.append(ranges.ReleasedKeys(row.first, row.last))
    return merged
