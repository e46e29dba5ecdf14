"""Runs the node beside a target."""

# Must come first: the modules imported below load the libraries.
from sesamejunction.ui import earlysignals  # isort: skip

if __name__ == '__main__':
    earlysignals.install()

import asyncio
import contextlib
import os
import signal

import uvloop

from sesamejunction.border import logs
from sesamejunction.border import metrics
from sesamejunction.border import settings
from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.tasks import stopping
from sesamejunction.ui import endpoints
from sesamejunction.ui import incarnation
from sesamejunction.ui import invocation


class Process:
    """The node's process, which runs one incarnation after the other.

    Signal handlers and endpoints belong to the process, so that no signal or
    request is lost between two incarnations.
    """

    def __init__(self, node_settings: settings.NodeSettings):
        self._settings = node_settings
        self._stop = stopping.StopSignal()
        # Shared by all incarnations, so that counters never decrease.
        self._metrics = metrics.Metrics()
        self._stack = contextlib.AsyncExitStack()
        self._endpoints = endpoints.Endpoints(node_settings, self._stop)
        self._current = None

    async def __aenter__(self):
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self._endpoints)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                signal_number, self._stop.request, operating.StopReason.PLANNED
            )
        loop.add_signal_handler(signal.SIGUSR1, self._log_dump)
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    async def run(self) -> None:
        """Run incarnations until a planned stop.

        A lost target or lease ends one incarnation and starts the next, so
        that the process need not be restarted after a pause.
        """
        while self._stop.reason is not operating.StopReason.PLANNED:
            self._stop.begin_incarnation()
            async with incarnation.Incarnation(
                self._settings, self._endpoints, self._stop, self._metrics
            ) as running:
                self._current = running
                # The first incarnation opens the ports once it can answer.
                await self._endpoints.open()
                await running.run()
                self._current = None
        # After a stop that was requested between two incarnations the ports
        # are still open.
        await self._endpoints.finish(self._settings.stop_limit_s)

    def _log_dump(self) -> None:
        if self._current is not None:
            self._current.log_dump()


async def run_node(node_settings: settings.NodeSettings) -> None:
    """Run a node until a planned stop; raises the first task's error."""
    try:
        async with Process(node_settings) as process:
            await process.run()
    except* errors.SesameError as group:
        # The first failed task ended the process; the others were cancelled.
        raise group.exceptions[0] from None


@invocation.add_settings_flags(settings.NodeSettings)
def start(**flags) -> None:
    """Run the node; settings are flags or SESAMEJUNCTION_ variables."""
    node_settings = settings.read_settings(settings.NodeSettings, flags)
    logs.start_logging(node_settings.name)
    # libuv would otherwise use io_uring for files on newer kernels.
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(run_node(node_settings))


def main() -> None:
    """Run the command line."""
    earlysignals.install()
    invocation.run_command(start)


if __name__ == '__main__':
    main()
