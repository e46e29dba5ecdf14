"""Delays of timers that never fire before their time."""

import math

# Delays of the event loop's timers and its clock have whole milliseconds.
RESOLUTION_S = 0.001
# A timer whose delay is rounded up fires later than this by its wake-up only.
MAX_LATE_S = 2 * RESOLUTION_S


def round_up(delay_s: float) -> float:
    """Return the delay of a timer that does not fire early.

    The event loop rounds a delay, and counts it from a time that may be up to
    a millisecond ago. A task whose timer fires early computes the rest and
    sets it again; a rest below half a millisecond becomes no delay at all, and
    the loop goes on without a wait until the clock has moved.
    """
    if delay_s <= 0.0:
        return 0.0
    if delay_s == math.inf:
        return delay_s
    return (math.ceil(delay_s / RESOLUTION_S) + 1) * RESOLUTION_S
