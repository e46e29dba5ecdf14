"""Dispatches requests of callers to the current incarnation."""

import asyncio

# Time for the handlers of aborted requests to release resources.
ABORT_GRACE_S = 1.0


class Dispatcher:
    """Passes requests to the current incarnation.

    There is one for the whole process; ``current`` is None between
    incarnations.
    """

    def __init__(self):
        self.current: ActiveRequests | None = None

    async def run(self, handler, request):
        """Return the reply of ``handler(context, request)``.

        The context is None between two incarnations.
        """
        if self.current is None:
            return await handler(None, request)
        return await self.current.run(handler, request)


class ActiveRequests:
    """Tracks the requests that one incarnation runs.

    Entering makes this incarnation the current one; leaving aborts the
    requests that still run. ``context`` is passed to their handlers.
    """

    def __init__(self, dispatcher: Dispatcher, context):
        self._dispatcher = dispatcher
        self._context = context
        self._running = set()
        self._idle = asyncio.Event()
        self._idle.set()

    async def __aenter__(self):
        self._dispatcher.current = self
        return self

    async def __aexit__(self, *_exc):
        await self.finish_requests(0.0)

    async def run(self, handler, request):
        """Return the handler's reply; ``finish_requests`` waits for it."""
        self._running.add(request)
        self._idle.clear()
        try:
            return await handler(self._context, request)
        finally:
            self._running.discard(request)
            if not self._running:
                self._idle.set()

    async def finish_requests(self, limit_s: float) -> int:
        """Accept no new requests and wait for those that run.

        Returns the number of requests that were aborted after ``limit_s``
        seconds.
        """
        if self._dispatcher.current is self:
            self._dispatcher.current = None
        if limit_s > 0:
            await self._wait_idle(limit_s)
        aborted = len(self._running)
        for request in self._running:
            request.transport.abort()
        if aborted:
            await self._wait_idle(ABORT_GRACE_S)
        return aborted

    async def _wait_idle(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return
