"""Delivery of what a connection has written, up to its orderly end."""

import asyncio

from sesamejunction.border import clients

# Checks for progress within clients.UNREAD_LIMIT_S.
UNREAD_CHECKS = 4
# Interval of checks while a connection ends.
END_CHECK_S = 0.05


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
        # Time to go on reading after the last byte; None before the end.
        self._linger_s = None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        return clients.count_unsent_bytes(self._transport)

    @property
    def is_pending(self) -> bool:
        """Return whether the peer could lose bytes by a close now."""
        return self._linger_s is not None or self.unsent_bytes > 0

    def watch(self) -> None:
        """Begin to check whether the peer takes what was written."""
        if self._timer is None:
            self._unsent_bytes, self._since = 0, clients.read_time()
            self._schedule_check()

    def unwatch(self) -> None:
        """End the checks, unless the connection ends."""
        if self._linger_s is None:
            self._cancel()

    def end(self, linger_s: float = 0.0) -> None:
        """Send the end of the stream, and close once the peer has it all.

        The connection is closed ``linger_s`` after that; the caller of this
        method goes on reading until then. A close before the last byte is
        acknowledged could destroy it: the system resets a connection when
        bytes of the peer are unread or arrive later.
        """
        if self._linger_s is not None or self._transport.is_closing():
            return
        if not linger_s and not self.unsent_bytes:
            self._transport.close()
            return
        self._linger_s = linger_s
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._cancel()
        self.watch()

    def release(self) -> None:
        """End all checks of a closed connection.

        The callback refers to the connection, and would keep it until a
        collection of reference cycles.
        """
        self._cancel()
        self._on_stalled = None

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def _interval_s(self) -> float:
        if self._linger_s is None:
            return clients.UNREAD_LIMIT_S / UNREAD_CHECKS
        return END_CHECK_S

    def _schedule_check(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self._interval_s, self._check
        )

    def _check(self) -> None:
        self._timer = None
        now, unsent = clients.read_time(), self.unsent_bytes
        if unsent != self._unsent_bytes:
            self._unsent_bytes, self._since = unsent, now
        unchanged_s = now - self._since
        if unsent and unchanged_s >= clients.UNREAD_LIMIT_S - self._interval_s:
            self._on_stalled()
        elif (
            self._linger_s is not None
            and not unsent
            and unchanged_s >= self._linger_s
        ):
            self._transport.abort()
        else:
            self._schedule_check()
