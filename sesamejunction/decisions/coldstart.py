"""Limit of the requests that a cold target gets."""

import collections

from sesamejunction.model import valueclass

# A cold target gets a limited number of requests in each such window.
COLD_WINDOW_S = 1.0
# A cold target may get the requests of this time at once, so that a late turn
# of the event loop wastes little of its rate.
BURST_S = 0.1
# Part of a request that may lack through rounding.
CREDIT_TOLERANCE = 1e-6


class ColdWindow:
    """Limits the requests that a cold target gets.

    Within a window it gets at most its rate, evenly spaced but for a small
    burst. The spacing is what holds over the replacement of a process: the
    new one does not know what the former one has sent. It begins without
    credit at ``opened_at``, so what both send in a window is the rate and the
    burst of each at most. With the count alone it would be twice the rate.
    """

    def __init__(self, opened_at: float = float('-inf')):
        self._sent = collections.deque()
        # Requests that may be sent at once, as of a boot-clock time.
        self._credit = 0.0
        self._credit_at = opened_at

    def count(self, now: float) -> int:
        """Return the number of requests sent in the window that ends now."""
        sent = self._sent
        while sent and sent[0] <= now - COLD_WINDOW_S:
            sent.popleft()
        return len(sent)

    def add(self, now: float) -> None:
        """Add one request."""
        self._sent.append(now)
        self._credit = max(0.0, self._credit - 1.0)

    def find_send_delay(self, limit: float, now: float) -> float:
        """Return the seconds until another request may be sent.

        ``limit`` is the number of requests allowed in the window.
        """
        return max(
            self._find_count_delay(limit, now),
            self._find_credit_delay(limit, now),
        )

    def _find_count_delay(self, limit, now) -> float:
        count = self.count(now)
        if count < limit:
            return 0.0
        # Below one request in the window, one may be sent in each.
        allowed = max(1, int(limit))
        return self._sent[count - allowed] + COLD_WINDOW_S - now

    def _find_credit_delay(self, limit, now) -> float:
        rate = max(1.0, limit) / COLD_WINDOW_S
        gained = rate * max(0.0, now - self._credit_at)
        most = max(1.0, rate * BURST_S)
        self._credit = min(most, self._credit + gained)
        self._credit_at = now
        # Times are rounded, so a timer may fire a little early.
        if self._credit >= 1.0 - CREDIT_TOLERANCE:
            return 0.0
        return (1.0 - self._credit) / rate


@valueclass.define
class SendRate:
    """How fast requests may be sent to a target.

    One may be sent in ``delay_s`` seconds and then ``rate`` per second; a
    rate of 0 means that there is no limit.
    """

    rate: float
    delay_s: float

    def estimate_wait(self, ahead: int) -> float:
        """Return the seconds until one may be sent behind others."""
        return self.delay_s + ahead / self.rate if self.rate else 0.0


UNLIMITED = SendRate(0.0, 0.0)


@valueclass.define
class Began:
    """A target is limited from now on, or its limit has changed.

    ``rate`` is in requests per second; 0 means that none is known.
    ``sent_before`` requests were sent to it in the window before.
    """

    rate: float
    sent_before: int


@valueclass.define
class Ended:
    """A target is no longer limited.

    ``lasted_s`` is how long it was, ``sent`` the number of requests that it
    got in this time and ``most`` the highest number in one window.
    """

    lasted_s: float
    sent: int
    most: int


class ColdPeriod:
    """Follows the time in which a target is cold, to describe it.

    ``window`` counts what is sent to the target.
    """

    def __init__(self, window: ColdWindow):
        self._window = window
        self._since = None
        self._rate = 0.0
        self._sent = self._most = 0

    def update(
        self, is_cold: bool, rate: float, now: float
    ) -> Began | Ended | None:
        """Return what has changed, None if nothing has."""
        if is_cold:
            if self._since is not None and rate == self._rate:
                return None
            if self._since is None:
                self._since, self._sent, self._most = now, 0, 0
            self._rate = rate
            return Began(rate, self._window.count(now))
        if self._since is None:
            return None
        lasted_s, self._since = now - self._since, None
        return Ended(lasted_s, self._sent, self._most)

    def count_sent(self, now: float) -> None:
        """Count one request, which the window has counted already."""
        if self._since is not None:
            self._sent += 1
            self._most = max(self._most, self._window.count(now))
