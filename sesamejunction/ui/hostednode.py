"""The process of a node on the operators' platform."""

import asyncio
import contextlib
import secrets
import signal

from aiohttp import web
import eliot

from sesamejunction.border import hostedsettings
from sesamejunction import errors
from sesamejunction.ui import hostedwiring

# Callers leave a node within two questions for its readiness, one a second.
LEAVE_S = 2.3
CHECK_S = 0.02


class Process:
    """The node's process: its listeners, signals and parts."""

    def __init__(self, checked: hostedsettings.HostedSettings):
        self._settings = checked
        self._stack = contextlib.AsyncExitStack()
        self._stopping = asyncio.Event()
        self._parts = None
        self._callers_sites = []

    async def __aenter__(self):
        await self._stack.__aenter__()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR1, self._log_dump)
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    async def run(self) -> None:
        """Serve until a planned stop."""
        eliot.log_message('node: starting', name=self._settings.name)
        group = await self._stack.enter_async_context(TaskGroup())
        self._parts = hostedwiring.HostedComponents(
            self._settings, secrets.randbits(63), self._stack
        )
        build = asyncio.ensure_future(self._parts.build(group))
        stopping = asyncio.ensure_future(self._stopping.wait())
        await asyncio.wait(
            (build, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        if not build.done():
            build.cancel()
            return
        build.result()
        await self._listen()
        eliot.log_message('node: started', name=self._settings.name)
        await asyncio.wait(
            (stopping, group.failed), return_when=asyncio.FIRST_COMPLETED
        )
        if group.failed.done():
            group.failed.result()
        await self._stop()

    async def _listen(self) -> None:
        parts, checked = self._parts, self._settings
        callers = checked.parse_address('callers')
        site = await self._open(parts.front.build_server(), callers)
        self._callers_sites.append(site)
        control = parts.control.build_server()
        await self._open(control, checked.parse_address('heartbeats'))
        await self._open(control, checked.parse_address('readiness'))
        metrics = hostedsettings.Address(
            host=str(checked.host), port=checked.metrics_port
        )
        await self._open(parts.metrics.build_server(), metrics)

    async def _open(self, server, address) -> web.TCPSite:
        runner = web.ServerRunner(server, shutdown_timeout=0)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, address.host, address.port, backlog=1024)
        await site.start()
        return site

    async def _stop(self) -> None:
        """Let callers leave, finish all requests, then end."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + self._settings.stop_limit_s
        parts = self._parts
        parts.start_stop()
        eliot.log_message('node: stopping', open=parts.count_open())
        await asyncio.sleep(LEAVE_S)
        parts.finish_work()
        await self._await_end_of_work(ends)
        # A caller that still comes is refused a connection, so nothing runs.
        for site in self._callers_sites:
            await site.stop()
        await parts.leave_peers(ends)
        # Callers may have come meanwhile on connections that they had.
        await self._await_end_of_work(ends)
        eliot.log_message('node: stopped', cut=parts.count_open())

    async def _await_end_of_work(self, ends: float) -> None:
        loop = asyncio.get_running_loop()
        while self._parts.count_open() and loop.time() < ends:
            await asyncio.sleep(CHECK_S)

    def _reload(self) -> None:
        """Read the settings again; addresses change with a restart only."""
        before = self._settings
        try:
            after = hostedsettings.read_hosted_settings({})
        except errors.SettingsError as error:
            eliot.log_message('node: settings refused', reason=str(error))
            return
        changed = sorted(
            name
            for name in type(before).model_fields
            if getattr(before, name) != getattr(after, name)
        )
        self._settings = after
        eliot.log_message('node: settings read', changed=changed)

    def _log_dump(self) -> None:
        if self._parts is not None:
            asyncio.ensure_future(self._parts.log_dump())


class TaskGroup:
    """Runs the node's tasks; the first that fails ends the process."""

    def __init__(self):
        self._tasks = []
        self.failed = None

    async def __aenter__(self):
        self.failed = asyncio.get_running_loop().create_future()
        return self

    async def __aexit__(self, *_exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, coroutine) -> None:
        """Run a coroutine until the node ends."""
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._note_done)
        self._tasks.append(task)

    def _note_done(self, task) -> None:
        if task.cancelled() or self.failed.done():
            return
        if task.exception() is not None:
            self.failed.set_exception(task.exception())


async def run_node(checked: hostedsettings.HostedSettings) -> None:
    """Run a node until a planned stop."""
    async with Process(checked) as process:
        await process.run()
