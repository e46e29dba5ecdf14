"""Measures the start of a process; imported before the libraries."""

import time

BEGAN_AT = time.monotonic()
# The processor clock need not begin at 0.
PROCESSOR_BEGAN_AT = time.process_time()


def describe() -> dict:
    """Return the seconds and the processor seconds since then, for logs."""
    return {
        'start_s': round(time.monotonic() - BEGAN_AT, 3),
        'processor_s': round(time.process_time() - PROCESSOR_BEGAN_AT, 3),
    }
