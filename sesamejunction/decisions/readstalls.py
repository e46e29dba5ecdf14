"""Decides when a read of the log counts as silent."""

# A read that has brought nothing for this time since a peer was first known
# to be ahead makes contact doubtful, so that the peer's copy is fetched. As
# long as a connection to the log is given, and more than a slow log's 0.4 s.
DOUBT_S = 0.5
# A read silent for this time is dropped. Answers wait 0.5 s and more behind
# other traffic on a full line.
SILENT_S = 1.0
# The time doubles with each read dropped in a row, up to this: an answer that
# waits behind other traffic must come in the end.
LONGEST_SILENT_S = 4.0


class ReadStallDetector:
    """Knows since when a read brings nothing although a peer is ahead.

    Times are seconds of the boot clock. ``received`` counts bytes and only
    grows.
    """

    def __init__(self):
        self._limit_s = SILENT_S
        self._peer_end = -1
        self._behind_since = None
        self._heard_at = float('-inf')
        self._received = 0

    def note_sent(self, now: float, received: int) -> None:
        """Note that a read was sent."""
        self._heard_at, self._received = now, received

    def note_received(self, now: float, received: int) -> bool:
        """Note how many bytes have come; return whether some are new."""
        if received == self._received:
            return False
        self._heard_at, self._received = now, received
        return True

    def note_ahead(self, now: float, end: int) -> None:
        """Note that a peer's copy ends later than this one."""
        self._peer_end = max(self._peer_end, end)
        if self._behind_since is None:
            self._behind_since = now

    def note_copy(self, end: int) -> None:
        """Note where the copy ends."""
        if end >= self._peer_end:
            self._behind_since = None

    def note_answer(self) -> None:
        """Note that a read was answered."""
        self._limit_s = SILENT_S

    def note_dropped(self) -> None:
        """Give the next read longer."""
        self._limit_s = min(LONGEST_SILENT_S, 2 * self._limit_s)

    def measure_silence(self, now: float) -> float:
        """Return for how long nothing came, minus infinity if none is due."""
        if self._behind_since is None:
            return float('-inf')
        return now - max(self._heard_at, self._behind_since)

    def is_doubtful(self, now: float) -> bool:
        """Return whether a peer's copy is to be fetched."""
        return self.measure_silence(now) >= DOUBT_S

    def is_silent(self, now: float) -> bool:
        """Return whether the read is to be dropped."""
        return self.measure_silence(now) >= self._limit_s

    @property
    def is_behind(self) -> bool:
        """Return whether a peer is known to be ahead."""
        return self._behind_since is not None
