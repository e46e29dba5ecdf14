"""Counts requests by key and divides the keys into equally loaded segments."""

import math


# Limits of the half-life of the counts: short enough to show a key that is hot
# for five seconds, long enough to average over about this many requests.
MIN_HALF_LIFE_S = 1.0
MAX_HALF_LIFE_S = 4.0
AVERAGED_REQUESTS = 40.0
SEGMENTS = 24
# Keys with a lower count are dropped.
MIN_COUNT = 0.05
# Interval at which keys with a low count are dropped.
SWEEP_INTERVAL_S = 2.0


class KeyLoad:
    """Decayed counts of one target's keys; ``now`` is boot-clock seconds.

    The half-life follows the rate of requests. With five requests a second
    and a half-life of 1 s, each key with a recent request looked busy.
    """

    def __init__(self):
        self._half_life_s = MIN_HALF_LIFE_S
        self._counts = {}
        self._swept_at = 0.0

    def add(self, key: int, now: float) -> None:
        """Count one request."""
        count, at = self._counts.get(key, (0.0, now))
        self._counts[key] = count * self._compute_decay(now - at) + 1.0, now
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
        # At a constant rate r the count is r x half-life / ln 2.
        scale = math.log(2) / self._half_life_s
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
            decayed = count * self._compute_decay(now - at)
            if decayed >= MIN_COUNT:
                kept[key] = decayed, now
        self._counts = kept
        self._adapt_half_life()

    def _adapt_half_life(self) -> None:
        """Set the half-life by the rate; the counts keep their rates."""
        total = sum(count for count, _ in self._counts.values())
        if not total:
            return
        wanted_s = self._half_life_s * AVERAGED_REQUESTS / total
        wanted_s = min(MAX_HALF_LIFE_S, max(MIN_HALF_LIFE_S, wanted_s))
        factor = wanted_s / self._half_life_s
        if factor == 1.0:
            return
        self._half_life_s = wanted_s
        self._counts = {
            key: (count * factor, at)
            for key, (count, at) in self._counts.items()
        }

    def _compute_decay(self, passed_s: float) -> float:
        return math.exp2(-max(0.0, passed_s) / self._half_life_s)


def estimate_capacity(slots: int, mean_s: float) -> float:
    """Return the requests a second that a target can process.

    ``mean_s`` is its mean service time, ``slots`` how many it runs at once.
    """
    return slots / max(0.001, mean_s)
