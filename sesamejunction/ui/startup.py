"""Measures the start of a process; imported before the libraries."""

import time

BEGAN_AT = time.monotonic()


def describe() -> dict:
    """Return for log lines how long the process has run, in seconds.

    ``processor_s`` is its processor time with that of the interpreter.
    """
    return {
        'start_s': round(time.monotonic() - BEGAN_AT, 3),
        'processor_s': round(time.process_time(), 3),
    }
