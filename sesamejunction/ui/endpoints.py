"""The caller and operator endpoints of the node's process."""

import contextlib

from sesamejunction.border import callerhttp
from sesamejunction.border import callermiddleware
from sesamejunction.border import dispatch
from sesamejunction.border import listeners
from sesamejunction.border import operatorhttp
from sesamejunction.border import settings
from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.tasks import clock
from sesamejunction.tasks import stopping


class Endpoints:
    """Listeners that stay open from one incarnation to the next.

    Between two incarnations callers are refused, "not run", and operators
    are told to ask again.
    """

    def __init__(
        self, checked: settings.NodeSettings, stop: stopping.StopSignal
    ):
        self._settings = checked
        self._stop = stop
        self._stack = contextlib.AsyncExitStack()
        self._dispatcher = dispatch.Dispatcher()
        self._reporter = None
        self._callers = None
        self._watch = callermiddleware.CallerMiddleware(
            None, clock.read_boot_clock
        )

    async def __aenter__(self):
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    async def open(self) -> None:
        """Listen on both ports; raises OSError when one is in use."""
        if self._callers is not None:
            return
        checked = self._settings
        callers = callerhttp.build_app(
            self._dispatcher, checked.max_body_bytes
        )
        self._watch.attach(callers)
        self._callers = await self._listen(callers, checked.caller_port)
        operators = operatorhttp.build_app(
            operatorhttp.OperatorContext(
                checked.operator_key_sha256,
                str(checked.host),
                self._find_reporter,
                lambda: self._stop.request(operating.StopReason.PLANNED),
            )
        )
        await self._listen(operators, checked.operator_port)

    @contextlib.asynccontextmanager
    async def attach(self, reporter: operatorhttp.Reporter, meter, context):
        """Let an incarnation serve; yields its dispatch.Calls.

        Leaving cuts the requests that it still runs. ``context`` is a
        CallerContext.
        """
        self._watch.stopping = False
        self._watch.set_meter(meter)
        self._reporter = reporter
        try:
            async with dispatch.ActiveRequests(
                self._dispatcher, context
            ) as calls:
                yield calls
        finally:
            self._reporter = None
            self._watch.set_meter(None)

    def announce_stop(self) -> None:
        """Answer callers with ``Connection: close`` from now on."""
        self._watch.stopping = True

    async def finish(self, limit_s: float) -> int:
        """Accept no caller any more, answer what runs, then close.

        Returns the number of connections that were cut after ``limit_s``
        seconds.
        """
        self.announce_stop()
        if self._callers is None:
            return 0
        return await self._callers.shut_down(limit_s)

    def _find_reporter(self) -> operatorhttp.Reporter:
        if self._reporter is None:
            raise errors.NoIncarnation(
                'the node starts a new incarnation; ask again in a second'
            )
        return self._reporter

    async def _listen(self, app, port: int) -> listeners.Listener:
        return await self._stack.enter_async_context(
            listeners.Listener(app, str(self._settings.host), port)
        )
