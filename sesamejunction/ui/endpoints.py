"""The caller and operator endpoints of a node process."""

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
    """Listeners that stay open across incarnations.

    Between two incarnations callers are refused with the outcome "not run",
    and operators are told to retry.
    """

    def __init__(
        self, node_settings: settings.NodeSettings, stop: stopping.StopSignal
    ):
        self._settings = node_settings
        self._stop = stop
        self._stack = contextlib.AsyncExitStack()
        self._dispatcher = dispatch.Dispatcher()
        self._reporter = None
        self._callers = None
        self._middleware = callermiddleware.CallerMiddleware(
            None, clock.read_boot_clock
        )

    async def __aenter__(self):
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    async def open(self) -> None:
        """Start to listen on both ports; raises OSError if one is in use."""
        if self._callers is not None:
            return
        node_settings = self._settings
        callers = callerhttp.build_app(
            self._dispatcher, node_settings.max_body_bytes
        )
        self._middleware.attach(callers)
        self._callers = await self._listen(callers, node_settings.caller_port)
        operators = operatorhttp.build_app(
            operatorhttp.OperatorContext(
                node_settings.operator_key_sha256,
                str(node_settings.host),
                self._require_reporter,
                lambda: self._stop.request(operating.StopReason.PLANNED),
            )
        )
        await self._listen(operators, node_settings.operator_port)

    @contextlib.asynccontextmanager
    async def attach(self, reporter: operatorhttp.Reporter, meter, context):
        """Route requests to an incarnation; yields its dispatch.Calls.

        Leaving the context aborts the requests that still run. ``context`` is
        a CallerContext.
        """
        self._middleware.stopping = False
        self._middleware.set_meter(meter)
        self._reporter = reporter
        try:
            async with dispatch.ActiveRequests(
                self._dispatcher, context
            ) as calls:
                yield calls
        finally:
            self._reporter = None
            self._middleware.set_meter(None)

    def announce_stop(self) -> None:
        """Answer callers with ``Connection: close`` from now on."""
        self._middleware.stopping = True

    async def finish(self, limit_s: float) -> int:
        """Stop accepting connections, answer running requests, then close.

        Returns the number of connections that were aborted after ``limit_s``
        seconds.
        """
        self.announce_stop()
        if self._callers is None:
            return 0
        return await self._callers.shut_down(limit_s)

    def _require_reporter(self) -> operatorhttp.Reporter:
        if self._reporter is None:
            raise errors.NoIncarnation(
                'the node starts a new incarnation; ask again in a second'
            )
        return self._reporter

    async def _listen(self, app, port: int) -> listeners.Listener:
        return await self._stack.enter_async_context(
            listeners.Listener(app, str(self._settings.host), port)
        )
