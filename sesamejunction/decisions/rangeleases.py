"""Decides which key ranges a target may hold, and when they are released.

docs/platform.md section 4 has the argument for the times.
"""

import dataclasses

from sesamejunction.model import leasing
from sesamejunction.model import ranges

# A target's hold, in seconds: three heartbeats of 0.87 s may be late.
HOLD_S = 3.0
# A node may grant holds that end this long after its copy of the plans was
# the newest; an outage of the log of about this length costs no key.
AUTHORITY_S = 7.0
# The clock that measures a hold may run 2% slow.
DRIFT = 0.02
# Covers the time between reading the clock and sending an answer.
MARGIN_S = 0.2
# A new owner waits this long, from when it read the plan, for a former owner
# whose node does not answer.
FORMER_OWNER_WAIT_S = AUTHORITY_S * (1 + DRIFT) + MARGIN_S
# Holds shorter than this end before the next heartbeat.
SHORTEST_HOLD_S = 0.2
# Handovers are kept for claimants that ask late.
HANDOVER_S = 15.0
# Heartbeats of an earlier life are ignored while the present one was heard
# within this time; after it, a clock that stepped back is more likely.
STALE_LIFE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The latest answer with keys: the heartbeat, its rows and its end."""

    sequence: int
    rows: tuple[leasing.GrantRow, ...]
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Freed:
    """Keys given up with a handover, and when."""

    piece: ranges.ReleasedKeys
    at: float


def find_hold(as_of: float, now: float) -> float:
    """Return the seconds for which keys may be granted now."""
    left = (as_of + AUTHORITY_S - now) / (1 + DRIFT)
    return max(0.0, min(HOLD_S, left))


def overlaps(first, last, other) -> bool:
    """Return whether ``other`` shares a key with first..last."""
    return other.first <= last and first <= other.last


class RangeLeases:
    """Holds of the target beside one node; ``now`` is boot-clock seconds."""

    def __init__(self, started_at: float):
        self._started_at = started_at
        self.life = None
        self.heard_at = float('-inf')
        self._heartbeat = None
        self._granted = None
        self._freed = []
        self._ended = set()
        self._plan = ranges.RangePlan(())
        self._seen = {}
        self._released = {}

    def take_plan(self, plan: ranges.RangePlan, now: float) -> None:
        """Take the plan of the target's service."""
        self._plan = plan
        epochs = {one.epoch for one in plan.ranges}
        self._seen = {epoch: self._seen.get(epoch, now) for epoch in epochs}
        named = {
            (one.epoch, one.first, one.last)
            for one in plan.ranges
            if one.previous
        }
        self._released = {
            key: found
            for key, found in self._released.items()
            if key[:3] in named
        }

    def accepts_heartbeat(
        self, heartbeat: leasing.Heartbeat, now: float
    ) -> bool:
        """Return whether the heartbeat is from the present or a new life."""
        if self.life is None or heartbeat.life == self.life:
            known = self._heartbeat
            return (
                known is None
                or known.life != heartbeat.life
                or heartbeat.sequence > known.sequence
            )
        if heartbeat.life in self._ended:
            return False
        if heartbeat.life.born > self.life.born:
            return True
        return now - self.heard_at > STALE_LIFE_S

    def take_heartbeat(self, heartbeat: leasing.Heartbeat, now: float):
        """Take an accepted heartbeat."""
        if heartbeat.life != self.life:
            if self.life is not None:
                self.end_life()
            self.life = heartbeat.life
        self._heartbeat = heartbeat
        self.heard_at = now
        self._freed = [one for one in self._freed if now - one.at < HANDOVER_S]
        self._freed += [Freed(piece, now) for piece in heartbeat.freed]

    def end_life(self) -> None:
        """Note that the present life has ended."""
        self._ended.add(self.life)
        self.life = None
        self._heartbeat = None
        self._granted = None
        self._freed = []

    def list_owned(self) -> list[ranges.Range]:
        """Return the ranges that the plan gives to the present life."""
        return [one for one in self._plan.ranges if one.owner == self.life]

    def list_waiting(self, now: float):
        """Return the owned ranges that are not granted yet, and since when."""
        return tuple(
            (one, self._seen.get(one.epoch, now))
            for one in self.list_owned()
            if not self._is_settled(one, now)
        )

    def list_claims(self, now: float) -> list[leasing.AskRelease]:
        """Return the releases that owned ranges still wait for."""
        return [
            leasing.AskRelease('', one.first, one.last, one.epoch, life)
            for one in self.list_owned()
            if not self._is_settled(one, now)
            for life in one.previous
            if (one.epoch, one.first, one.last, life) not in self._released
            and life not in self._ended
        ]

    def take_release(self, claim, released: leasing.ReleaseResult) -> None:
        """Note a release that a claim has got."""
        key = claim.epoch, claim.first, claim.last, claim.life
        self._released[key] = released.pieces

    def renew(self, as_of: float, now: float) -> leasing.Renewal:
        """Return the answer to the latest heartbeat."""
        hold_s = find_hold(as_of, now)
        if self.life is None or hold_s < SHORTEST_HOLD_S:
            return leasing.Renewal()
        rows = []
        for one in self.list_owned():
            if self._is_held(one):
                # A handover counts once, when the keys are taken.
                rows.append(leasing.GrantRow(one.first, one.last, one.epoch))
            elif self._is_settled(one, now):
                rows += self._build_rows(one)
        rows = join_rows(rows)
        self._granted = Granted(
            self._heartbeat.sequence, rows, now + hold_s * (1 + DRIFT)
        )
        return leasing.Renewal(rows, hold_s)

    @property
    def granted_rows(self) -> tuple[leasing.GrantRow, ...]:
        """Return the rows of the latest answer."""
        return self._granted.rows if self._granted else ()

    @property
    def hold_end(self) -> float:
        """Return when everything granted so far has run out."""
        if self._granted is not None:
            return self._granted.end
        # A former process of this node may have granted just before.
        return self._started_at + HOLD_S * (1 + DRIFT) + MARGIN_S

    @property
    def is_releasing(self) -> bool:
        """Return whether the target still lists keys that were left out."""
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
        """Return whether the claimed keys are released here."""
        if claim.life in self._ended or (
            self.life is not None
            and claim.life != self.life
            and claim.life.born < self.life.born
        ):
            return leasing.ReleaseResult(True)
        current = self._plan.find(claim.first)
        if current is None or current.epoch < claim.epoch:
            return leasing.ReleaseResult(False)
        if now > self.hold_end:
            return leasing.ReleaseResult(True, self._find_pieces(claim))
        if self._heartbeat is None or self._holds(claim):
            return leasing.ReleaseResult(False)
        return leasing.ReleaseResult(True, self._find_pieces(claim))

    def _holds(self, claim) -> bool:
        """Return whether the target may still hold claimed keys."""
        if any(
            overlaps(claim.first, claim.last, one)
            for one in self._heartbeat.held
        ):
            return True
        granted = self._granted
        if granted is None:
            # The first heartbeat was sent before this process answered any,
            # so an answer of the former process may be newer than it.
            return True
        return granted.sequence >= self._heartbeat.sequence and any(
            overlaps(claim.first, claim.last, one) for one in granted.rows
        )

    def _find_pieces(self, claim) -> tuple[ranges.ReleasedKeys, ...]:
        pieces = []
        for one in reversed(self._freed):
            piece = one.piece
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
        return tuple(sorted(pieces, key=lambda one: one.first))

    def _is_settled(self, one: ranges.Range, now: float) -> bool:
        if not one.previous:
            return True
        if now - self._seen.get(one.epoch, now) >= FORMER_OWNER_WAIT_S:
            return True
        if self._is_held(one):
            return True
        return all(
            life in self._ended
            or (one.epoch, one.first, one.last, life) in self._released
            for life in one.previous
        )

    def _is_held(self, one: ranges.Range) -> bool:
        """Return whether the target lists the keys under their token."""
        return self._heartbeat is not None and any(
            held.epoch == one.epoch
            and held.first <= one.first
            and one.last <= held.last
            for held in self._heartbeat.held
        )

    def _build_rows(self, one: ranges.Range) -> list[leasing.GrantRow]:
        """Return the rows of a range, cut where the handovers change."""
        pieces = [
            piece
            for life in one.previous
            for piece in self._released.get(
                (one.epoch, one.first, one.last, life), ()
            )
        ]
        rows, at = [], one.first
        for piece in sorted(pieces, key=lambda piece: piece.first):
            if piece.first < at:
                continue
            if piece.first > at:
                rows.append(leasing.GrantRow(at, piece.first - 1, one.epoch))
            rows.append(
                leasing.GrantRow(
                    piece.first, piece.last, one.epoch, piece.handover
                )
            )
            at = piece.last + 1
        if at <= one.last:
            rows.append(leasing.GrantRow(at, one.last, one.epoch))
        return rows


def join_rows(rows) -> tuple[leasing.GrantRow, ...]:
    """Return the rows with equal neighbours joined."""
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
    """Return the keys of rows without tokens, neighbours joined."""
    merged = []
    for row in sorted(rows, key=lambda one: one.first):
        if merged and merged[-1].last + 1 >= row.first:
            merged[-1] = ranges.ReleasedKeys(
                merged[-1].first, max(merged[-1].last, row.last)
            )
        else:
            merged.append(ranges.ReleasedKeys(row.first, row.last))
    return merged
