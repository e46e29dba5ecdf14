"""Counts what the kernel holds of the answers on one connection."""

import asyncio

from sesamejunction.border import clients

# Bytes that are written before they count, so that small answers cost no
# timer. It is about what the objects of a connection take.
STEP_BYTES = 1 << 13
# The first look at the queue follows a write after this time, and others while
# something is queued. A caller with a round trip of 80 ms takes its answer
# between two looks.
FIRST_LOOK_S = 0.05
LOOK_INTERVAL_S = 0.25


class SendQueue:
    """The send queue of one socket, counted for its connection.

    What is written counts as queued until the first look at the queue, at most
    ``limit`` bytes: the rest waits in this process and is counted there.
    """

    def __init__(self, transport, counts, holder, limit: int):
        self._transport = transport
        self._clients = counts
        self._holder = holder
        self._limit = limit
        self._written = 0
        self._held = 0
        self._timer = None

    def add(self, size: int) -> None:
        """Count bytes that were written; may close the connection."""
        self._written += size
        if self._written < STEP_BYTES or self._transport.is_closing():
            return
        written, self._written = self._written, 0
        if self._timer is None:
            self._schedule(FIRST_LOOK_S)
        self._hold(min(self._limit, self._held + written))

    def release(self) -> None:
        """End the looks of a closed connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, delay_s) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._look
        )

    def _look(self) -> None:
        self._timer = None
        queued = clients.count_queued_bytes(self._transport)
        if queued:
            self._schedule(LOOK_INTERVAL_S)
        self._hold(queued)

    def _hold(self, count) -> None:
        change, self._held = count - self._held, count
        self._clients.hold(self._holder, change)
