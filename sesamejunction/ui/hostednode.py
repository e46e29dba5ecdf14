"""The process of a hosted node."""

import asyncio
import contextlib
import secrets
import signal

from aiohttp import web
import eliot

from sesamejunction.border import hostedsettings
from sesamejunction.decisions import clientbudget
from sesamejunction import errors
from sesamejunction.platform import bounds
from sesamejunction.ui import earlysignals
from sesamejunction.ui import hostedwiring
from sesamejunction.ui import startup

# Callers poll readiness once a second, and leave a node after two polls that
# find it not ready.
CALLER_LEAVE_S = 2.3
POLL_INTERVAL_S = 0.02
# Part of the platform's grace time that a stop may use for requests.
GRACE_PART = 5 / 6
# Part of the grace time that follows for answers that have not arrived. The
# rest is for closing down.
LAST_ANSWERS_PART = 1 / 12


class Process:
    """The node's process: listeners, signal handlers and components."""

    def __init__(self, node_settings: hostedsettings.HostedSettings):
        self._settings = node_settings
        self._stack = contextlib.AsyncExitStack()
        self._stopping = asyncio.Event()
        self._components = None
        self._caller_sites = []

    async def __aenter__(self):
        await self._stack.__aenter__()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR1, self._log_dump)
        if earlysignals.hangup.take():
            self._reload()
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    async def run(self) -> None:
        """Serve until a planned stop."""
        eliot.log_message(
            'node: starting',
            name=self._settings.name,
            **startup.describe(),
        )
        group = await self._stack.enter_async_context(TaskGroup())
        self._components = hostedwiring.HostedComponents(
            self._settings, secrets.randbits(63), self._stack
        )
        build_task = asyncio.ensure_future(self._components.build(group))
        stop_wait = asyncio.ensure_future(self._stopping.wait())
        await asyncio.wait(
            (build_task, stop_wait), return_when=asyncio.FIRST_COMPLETED
        )
        if not build_task.done():
            build_task.cancel()
            return
        build_task.result()
        await self._listen()
        eliot.log_message(
            'node: started',
            name=self._settings.name,
            **startup.describe(),
        )
        await asyncio.wait(
            (stop_wait, group.failed), return_when=asyncio.FIRST_COMPLETED
        )
        if group.failed.done():
            group.failed.result()
        await self._stop()

    async def _listen(self) -> None:
        components, node_settings = self._components, self._settings
        callers = node_settings.parse_address('callers')
        clients = components.clients
        caller_server = components.front.build_server(clients)
        await caller_server.start(
            callers.host,
            callers.port,
            clients.limits.find_backlog(clientbudget.Kind.CALLER),
        )
        self._stack.push_async_callback(caller_server.close)
        self._caller_sites.append(caller_server)
        control_server = components.heartbeat_handler.build_server(clients)
        await self._open(
            control_server, node_settings.parse_address('heartbeats')
        )
        await self._open(
            control_server, node_settings.parse_address('readiness')
        )
        metrics = hostedsettings.Address(
            host=str(node_settings.host), port=node_settings.metrics_port
        )
        await self._open(
            components.metrics_page.build_server(clients), metrics
        )

    async def _open(self, server, address) -> web.TCPSite:
        runner = web.ServerRunner(server, shutdown_timeout=0)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(
            runner,
            address.host,
            address.port,
            backlog=self._components.clients.limits.find_backlog(
                clientbudget.Kind.CONTROL
            ),
        )
        await site.start()
        return site

    async def _stop(self) -> None:
        """Wait for callers to leave, finish all requests, then end."""
        loop = asyncio.get_running_loop()
        limit_s = self._find_stop_limit()
        deadline = loop.time() + limit_s
        components = self._components
        components.begin_stop()
        eliot.log_message(
            'node: stopping',
            open=components.count_open_requests(),
            answering=self._count_answering(),
        )
        await asyncio.sleep(min(CALLER_LEAVE_S, limit_s / 2))
        components.refuse_new_work()
        await self._wait_for_requests(deadline)
        # A refused connection tells a late caller that nothing has run.
        for site in self._caller_sites:
            await site.stop()
        await components.close_peer_connections(deadline)
        # Requests may have arrived on connections that were still open.
        await self._wait_for_requests(deadline)
        cut = components.count_open_requests()
        if cut:
            components.end_requests()
        # At the deadline some callers may still read their answers.
        await self._wait_for_answers(deadline + self._find_answer_limit())
        eliot.log_message(
            'node: stopped', cut=cut, unread=self._count_answering()
        )

    def _find_stop_limit(self) -> float:
        """Return the longest time for a planned stop, in seconds.

        The platform kills the process at the end of its grace time.
        """
        return min(self._settings.stop_limit_s, self._grace_s * GRACE_PART)

    def _find_answer_limit(self) -> float:
        """Return the longest wait for last answers, in seconds."""
        return self._grace_s * LAST_ANSWERS_PART

    @property
    def _grace_s(self) -> float:
        return bounds.decode_grace(self._settings.bounds)

    async def _wait_for_requests(self, deadline: float) -> None:
        """Wait until no request is open and all answers have arrived."""
        await wait_while(
            lambda: (
                self._components.count_open_requests() or self._is_answering()
            ),
            deadline,
        )

    async def _wait_for_answers(self, deadline: float) -> None:
        await wait_while(self._is_answering, deadline)

    def _is_answering(self) -> bool:
        return any(site.is_answering for site in self._caller_sites)

    def _count_answering(self) -> int:
        return sum(site.count_answering() for site in self._caller_sites)

    def _reload(self) -> None:
        """Read the settings again and log which have changed.

        Of these only ``stop_limit_s`` takes effect without a restart.
        """
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
        if self._components is not None:
            asyncio.ensure_future(self._components.log_dump())


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
        task.add_done_callback(self._report_failure)
        self._tasks.append(task)

    def _report_failure(self, task) -> None:
        if task.cancelled() or self.failed.done():
            return
        if task.exception() is not None:
            self.failed.set_exception(task.exception())


async def wait_while(condition, deadline: float) -> None:
    """Wait until a condition ends; ``deadline`` is a time of the loop."""
    loop = asyncio.get_running_loop()
    while condition() and loop.time() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)


async def run_node(node_settings: hostedsettings.HostedSettings) -> None:
    """Run a node until a planned stop."""
    async with Process(node_settings) as process:
        await process.run()
