"""Handles signals until the event loop has its own handlers.

Loading the libraries takes most of a second, in which the default action of a
signal would end the process as if it had failed. A program calls ``install``
before it imports them.
"""

import os
import signal


class Hangup:
    """Whether the settings were changed before the loop could read them."""

    def __init__(self):
        self._is_pending = False

    def note(self, _signal_number, _frame) -> None:
        """Record a signal."""
        self._is_pending = True

    def take(self) -> bool:
        """Return whether a signal has come since the last call."""
        was_pending, self._is_pending = self._is_pending, False
        return was_pending


def end_process(_signal_number, _frame) -> None:
    """End the process; it has accepted no work and holds nothing to close.

    An exception could be caught by a library that is being imported.
    """
    os._exit(0)


hangup = Hangup()
HANDLERS = {
    signal.SIGTERM: end_process,
    signal.SIGHUP: hangup.note,
    # Asks for a dump of state that does not exist yet.
    signal.SIGUSR1: signal.SIG_IGN,
}


def install() -> None:
    """Set the handlers of this process."""
    for signal_number, handler in HANDLERS.items():
        signal.signal(signal_number, handler)
