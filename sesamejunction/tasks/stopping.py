"""Signal that stops the incarnation or the process, with a reason."""

import asyncio

from sesamejunction.model import operating


class StopSignal:
    """Holds the reason to stop.

    A planned stop overrides other reasons and is never reset.
    """

    def __init__(self):
        self._requested = asyncio.Event()
        self.reason: operating.StopReason | None = None

    def request(self, reason: operating.StopReason) -> None:
        """Request a stop."""
        if self.reason is not operating.StopReason.PLANNED:
            self.reason = reason
        self._requested.set()

    def begin_incarnation(self) -> None:
        """Reset the signal for a new incarnation, unless it is planned."""
        if self.reason is not operating.StopReason.PLANNED:
            self.reason = None
            self._requested.clear()

    async def wait(self) -> None:
        """Wait until a stop is requested."""
        await self._requested.wait()
