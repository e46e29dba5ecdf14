"""Delivery of what a connection has written."""

import asyncio

from sesamejunction.border import clients

# Checks for progress within clients.UNREAD_LIMIT_S.
UNREAD_CHECKS = 4


class Delivery:
    """Follows the bytes written to a connection until its peer has them.

    ``on_stalled`` is called when the peer has taken no byte for
    clients.UNREAD_LIMIT_S although some wait.
    """

    def __init__(self, transport, on_stalled):
        self._transport = transport
        self._on_stalled = on_stalled
        # What was unsent at the latest check, and since when.
        self._unsent_bytes = 0
        self._since = 0.0
        self._timer = None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        return clients.count_unsent_bytes(self._transport)

    def watch(self) -> None:
        """Begin to check whether the peer takes what was written."""
        if self._timer is None:
            self._unsent_bytes, self._since = 0, clients.read_time()
            self._schedule_check()

    def unwatch(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def release(self) -> None:
        """End all checks of a closed connection.

        The callback refers to the connection, and would keep it until a
        collection of reference cycles.
        """
        self.unwatch()
        self._on_stalled = None

    @property
    def _interval_s(self) -> float:
        return clients.UNREAD_LIMIT_S / UNREAD_CHECKS

    def _schedule_check(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self._interval_s, self._check
        )

    def _check(self) -> None:
        self._timer = None
        now, unsent = clients.read_time(), self.unsent_bytes
        if unsent != self._unsent_bytes:
            self._unsent_bytes, self._since = unsent, now
        if unsent and now - self._since >= (
            clients.UNREAD_LIMIT_S - self._interval_s
        ):
            self._on_stalled()
            return
        self._schedule_check()
