"""The boot clock, which includes suspend time, and the wall clock."""

import time


def read_boot_clock() -> float:
    """Return seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()
