"""Counts requests by key and cuts the keys into segments of like load."""

import math


# Counts lose half their weight in this time: short enough to see a key that
# is hot for five seconds, long enough to average over some hundred requests.
HALF_LIFE_S = 1.0
SEGMENTS = 24
# Keys below this count are forgotten.
LEAST_COUNT = 0.05
SWEEP_S = 2.0


class KeyLoad:
    """Decayed counts of one target's keys; ``now`` is boot-clock seconds."""

    def __init__(self):
        self._counts = {}
        self._swept_at = 0.0

    def add(self, key: int, now: float) -> None:
        """Count one request."""
        count, at = self._counts.get(key, (0.0, now))
        self._counts[key] = count * _fade(now - at) + 1.0, now
        if now - self._swept_at > SWEEP_S:
            self._sweep(now)

    def list_segments(
        self, owned, now: float
    ) -> tuple[tuple[int, int, float], ...]:
        """Return first key, last key and requests a second of segments.

        Together they cover ``owned``; each has about one part in SEGMENTS of
        the load, or is a single key.
        """
        self._sweep(now)
        # A steady rate r keeps a count of r x HALF_LIFE / ln 2.
        scale = math.log(2) / HALF_LIFE_S
        rates = sorted(
            (key, count * scale) for key, (count, _) in self._counts.items()
        )
        most = sum(rate for _, rate in rates) / SEGMENTS
        segments = []
        place = 0
        for piece in owned:
            while place < len(rates) and rates[place][0] < piece.first:
                place += 1
            first, total = piece.first, 0.0
            while place < len(rates) and rates[place][0] <= piece.last:
                key, rate = rates[place]
                if total and total + rate > most:
                    segments.append((first, key - 1, total))
                    first, total = key, 0.0
                total += rate
                if total >= most and key < piece.last:
                    segments.append((first, key, total))
                    first, total = key + 1, 0.0
                place += 1
            if first <= piece.last:
                segments.append((first, piece.last, total))
        return tuple(segments)

    def _sweep(self, now) -> None:
        self._swept_at = now
        kept = {}
        for key, (count, at) in self._counts.items():
            left = count * _fade(now - at)
            if left >= LEAST_COUNT:
                kept[key] = left, now
        self._counts = kept


def _fade(passed_s: float) -> float:
    return math.exp2(-max(0.0, passed_s) / HALF_LIFE_S)


def estimate_capacity(slots: int, mean_s: float) -> float:
    """Return the requests a second that a target can run."""
    return slots / max(0.001, mean_s)
