"""Counts requests by key and divides the keys into equally loaded segments."""

import math


# Half-life of the counts: short enough to show a key that is hot for five
# seconds, long enough to average over some hundred requests.
HALF_LIFE_S = 1.0
SEGMENTS = 24
# Keys with a lower count are dropped.
MIN_COUNT = 0.05
# Interval at which keys with a low count are dropped.
SWEEP_INTERVAL_S = 2.0


class KeyLoad:
    """Decayed counts of one target's keys; ``now`` is boot-clock seconds."""

    def __init__(self):
        self._counts = {}
        self._swept_at = 0.0

    def add(self, key: int, now: float) -> None:
        """Count one request."""
        count, at = self._counts.get(key, (0.0, now))
        self._counts[key] = count * _compute_decay(now - at) + 1.0, now
        if now - self._swept_at > SWEEP_INTERVAL_S:
            self._sweep(now)

    def list_segments(
        self, owned, now: float
    ) -> tuple[tuple[int, int, float], ...]:
        """Return (first key, last key, requests a second) of each segment.

        Together they cover ``owned``, the target's ranges in ascending
        order. Each has about 1/SEGMENTS of the
        load, or is a single key.
        """
        self._sweep(now)
        # At a constant rate r the count is r x HALF_LIFE_S / ln 2.
        scale = math.log(2) / HALF_LIFE_S
        rates = sorted(
            (key, count * scale) for key, (count, _) in self._counts.items()
        )
        segment_limit = sum(rate for _, rate in rates) / SEGMENTS
        segments = []
        index = 0
        for owned_range in owned:
            while index < len(rates) and rates[index][0] < owned_range.first:
                index += 1
            first, total = owned_range.first, 0.0
            while index < len(rates) and rates[index][0] <= owned_range.last:
                key, rate = rates[index]
                if total and total + rate > segment_limit:
                    segments.append((first, key - 1, total))
                    first, total = key, 0.0
                total += rate
                if total >= segment_limit and key < owned_range.last:
                    segments.append((first, key, total))
                    first, total = key + 1, 0.0
                index += 1
            if first <= owned_range.last:
                segments.append((first, owned_range.last, total))
        return tuple(segments)

    def _sweep(self, now) -> None:
        self._swept_at = now
        kept = {}
        for key, (count, at) in self._counts.items():
            decayed = count * _compute_decay(now - at)
            if decayed >= MIN_COUNT:
                kept[key] = decayed, now
        self._counts = kept


def _compute_decay(passed_s: float) -> float:
    return math.exp2(-max(0.0, passed_s) / HALF_LIFE_S)


def estimate_capacity(slots: int, mean_s: float) -> float:
    """Return the requests a second that a target can process.

    ``mean_s`` is its mean service time, ``slots`` how many it runs at once.
    """
    return slots / max(0.001, mean_s)
