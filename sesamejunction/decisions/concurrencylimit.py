"""Limit on the requests at one target, learnt from signs that it is full."""

import math

# The limit never falls below this, so that answers can raise it again.
MIN_LIMIT = 1.0
# A sign lowers the limit to one below the requests that were at the target if
# they were more than this part of it. A target with fewer is not full: an
# answer is lost, or the target ends. Counting such signs cost a sixth of the
# places of targets with room.
BUSY_PART = 0.5
# Signs within this time count once: a target that ends resets all of its
# connections at the same time.
SIGN_INTERVAL_S = 0.1
# Each answer raises the limit by this much, so that one refusal in 20
# requests, which has other reasons, does not keep it down. Trying one more
# request costs nothing if the target refuses it, but an unknown outcome if the
# target resets the connection or does not answer: such signs in a row halve
# the rate.
RAISE = 0.08
MIN_RAISE = 0.01
RAISE_RETURN_S = 10.0
# A request without an answer for this many times its expected time, and at
# least for LATE_FLOOR_S, counts as dropped. Run times of a route vary by a
# factor of two, and a slow machine that has not reported it by three.
LATE_FACTOR = 8.0
LATE_FLOOR_S = 0.5
# Interval of checks whether a late request can be given up.
RECHECK_S = 0.1


class ConcurrencyLimit:
    """Learnt number of requests that the target can hold.

    It is infinite until the first sign.
    """

    def __init__(self):
        self.value = math.inf
        self._raise = RAISE
        self._sign_at = -math.inf

    @property
    def is_learnt(self) -> bool:
        """Return whether there is a limit below the slots."""
        return self.value < math.inf

    def find(self, slots: int) -> int:
        """Return how many requests the target may get at once."""
        return slots if self.value >= slots else int(self.value)

    def lower(self, count: int, slots: int, refused: bool, now: float) -> bool:
        """Lower the limit after a sign; returns whether it fell.

        ``count`` is the number of requests that were at the target when the
        one that gave the sign was sent, with itself. ``refused`` tells a
        refusal from a missing answer.
        """
        before = min(self.value, float(slots))
        if (
            count <= before * BUSY_PART
            or now - self._sign_at < SIGN_INTERVAL_S
        ):
            return False
        if now - self._sign_at >= RAISE_RETURN_S:
            self._raise = RAISE
        elif not refused:
            self._raise = max(MIN_RAISE, self._raise / 2)
        self._sign_at = now
        # Above the limit, the request was sent before the limit fell.
        self.value = max(MIN_LIMIT, min(before, count - 1.0))
        return self.value < before

    def count_answer(self, slots: int) -> None:
        """Raise the limit after an answer; at ``slots`` it ends."""
        self.value += self._raise
        if self.value >= slots:
            self.value = math.inf


def find_give_up_time(
    expected_s: float, started: float, deadline: float, repeatable: bool
) -> float:
    """Return when to give up waiting for an answer, on the clock of the times.

    What may not be repeated waits until its deadline: an answer may still
    come, and giving up early would only replace it by an unknown outcome.
    The same holds if too little time would be left to run elsewhere. A wait
    is given up only if the target has answered a later request meanwhile: one
    that stalls as a whole may still answer.
    """
    if not repeatable:
        return deadline
    give_up = started + find_late_s(expected_s)
    return give_up if give_up + expected_s <= deadline else deadline


def find_late_s(expected_s: float) -> float:
    """Return the seconds after which a request counts as dropped."""
    return max(LATE_FLOOR_S, LATE_FACTOR * expected_s)
