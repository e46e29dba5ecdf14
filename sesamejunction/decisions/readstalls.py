"""Detects stalled reads of the log.

A read may wait long for new records, so it only counts as stalled if it
receives nothing although a peer is known to be ahead.
"""

# If a read has received nothing for this time since a peer was first known to
# be ahead, contact with the log is in doubt and the peer's copy is fetched.
# Equal to the time limit for connecting to the log, and more than the 0.4 s of
# a slow log.
DOUBTFUL_S = 0.5
# A read that is stalled for this time is dropped. On a saturated line, answers
# wait 0.5 s and more behind other traffic.
STALL_LIMIT_S = 1.0
# The limit doubles with each consecutive dropped read, up to this, so that an
# answer that waits behind other traffic arrives eventually.
MAX_STALL_LIMIT_S = 4.0


class ReadStallDetector:
    """Measures how long a read receives nothing although a peer is ahead.

    Times are boot-clock seconds. ``received`` is the total number of bytes
    received, ``end`` the log offset at which a copy ends.
    """

    def __init__(self):
        self._limit_s = STALL_LIMIT_S
        self._peer_end = -1
        self._behind_since = None
        self._received_at = float('-inf')
        self._received = 0

    def note_sent(self, now: float, received: int) -> None:
        """Record that a read was sent."""
        self._received_at, self._received = now, received

    def note_received(self, now: float, received: int) -> bool:
        """Record the received bytes; return whether some are new."""
        if received == self._received:
            return False
        self._received_at, self._received = now, received
        return True

    def note_ahead(self, now: float, end: int) -> None:
        """Record that a peer's copy ends later than this one."""
        self._peer_end = max(self._peer_end, end)
        if self._behind_since is None:
            self._behind_since = now

    def note_copy(self, end: int) -> None:
        """Record where this node's copy ends."""
        if end >= self._peer_end:
            self._behind_since = None

    def note_answer(self) -> None:
        """Reset the limit after a read was answered."""
        self._limit_s = STALL_LIMIT_S

    def note_dropped(self) -> None:
        """Raise the limit for the next read after one was dropped."""
        self._limit_s = min(MAX_STALL_LIMIT_S, 2 * self._limit_s)

    def measure_silence(self, now: float) -> float:
        """Return how long nothing was received, -inf if no peer is ahead."""
        if self._behind_since is None:
            return float('-inf')
        return now - max(self._received_at, self._behind_since)

    def is_doubtful(self, now: float) -> bool:
        """Return whether to fetch a peer's copy."""
        return self.measure_silence(now) >= DOUBTFUL_S

    def is_silent(self, now: float) -> bool:
        """Return whether to drop the read."""
        return self.measure_silence(now) >= self._limit_s

    @property
    def is_behind(self) -> bool:
        """Return whether a peer is known to be ahead."""
        return self._behind_since is not None
