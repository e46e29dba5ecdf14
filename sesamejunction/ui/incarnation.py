"""Runs one incarnation of a node, from its start to its end."""

import asyncio
import contextlib
import secrets
import sys

import eliot

from sesamejunction.border import callerhttp
from sesamejunction.border import metrics
from sesamejunction.border import operatorhttp
from sesamejunction.border import settings
from sesamejunction.commands import membership as leaving
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import measuring
from sesamejunction.model import operating
from sesamejunction.model import owning
from sesamejunction.queries import dumps
from sesamejunction.queries import nodemetrics
from sesamejunction.queries import status
from sesamejunction.tasks import clock
from sesamejunction.tasks import stopping
from sesamejunction.ui import endpoints
from sesamejunction.ui import wiring as assembly


# Time that running requests have to finish after the lease is lost.
LEASE_LOST_LIMIT_S = 5.0


class Incarnation:
    """The tasks of one incarnation, which serves at the process's endpoints.

    ``stop`` signals when and why to stop; ``process_metrics`` holds counters
    that go on from one incarnation to the next.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        process_endpoints: endpoints.Endpoints,
        stop: stopping.StopSignal,
        process_metrics: metrics.Metrics,
    ):
        self._settings = node_settings
        self._endpoints = process_endpoints
        self._stop = stop
        self._metrics = process_metrics
        self._incarnation = secrets.randbits(62) + 1
        self._stack = contextlib.AsyncExitStack()
        self._tasks = None
        self._calls = None
        self._components = assembly.Components(
            node_settings, self._incarnation, self._stack, stop
        )

    async def __aenter__(self):
        await self._stack.__aenter__()
        try:
            self._tasks = await self._stack.enter_async_context(
                asyncio.TaskGroup()
            )
            await self._start()
        except BaseException:
            if not await self._stack.__aexit__(*sys.exc_info()):
                raise
        return self

    async def __aexit__(self, *exc):
        return await self._stack.__aexit__(*exc)

    async def run(self) -> None:
        """Serve until told to stop, then finish the running requests."""
        await self._stop.wait()
        eliot.log_message('node: leaving', reason=self._stop.reason.value)
        match self._stop.reason:
            case operating.StopReason.LEASE_LOST:
                await self._finish_after_lease_loss()
            case _:
                await self._leave_fleet()

    async def _finish_after_lease_loss(self) -> None:
        """Finish running requests; other nodes own the slots already."""
        components = self._components
        components.membership.tell(owning.StopOwning())
        cut = await self._calls.finish_requests(LEASE_LOST_LIMIT_S)
        await leaving.serve_as_witness_until_replaced(
            self._describe_leaving(),
            components.journal,
            lambda: self._stop.reason is operating.StopReason.PLANNED,
        )
        eliot.log_message('node: incarnation ended', cut=cut)

    def _describe_leaving(self) -> leaving.Ports:
        components = self._components
        return leaving.Ports(
            self._incarnation,
            components.appender,
            components.owners,
            components.shares,
            clock.read_boot_clock,
            asyncio.sleep,
        )

    async def _leave_fleet(self) -> None:
        """Release all slots, finish running requests, record the departure."""
        components = self._components
        limit_s = self._settings.stop_limit_s
        deadline = clock.read_boot_clock() + limit_s
        self._endpoints.announce_stop()
        components.leases.tell(owning.StopOwning())
        if self._stop.reason is operating.StopReason.TARGET_LOST:
            # Requests at a frozen target may run until their deadline, and
            # their slots could not be released before. Without renewals
            # their grants end with the lease.
            components.leases.tell(owning.StopRenewing())
        departure = await leaving.leave_fleet(
            self._describe_leaving(), limit_s
        )
        # With the log down, other nodes learn from refusals alone that this
        # node is leaving.
        components.gate.tell_reliably(gating.StopAdmitting())
        remaining_s = max(0.0, deadline - clock.read_boot_clock())
        if self._stop.reason is operating.StopReason.PLANNED:
            cut = await self._endpoints.finish(remaining_s)
        else:
            cut = await self._calls.finish_requests(remaining_s)
        await components.leases.ask(owning.EndIncarnation())
        eliot.log_message(
            'node: left',
            recorded=departure.recorded,
            held=departure.held,
            cut=cut,
        )

    async def _start(self) -> None:
        components = self._components
        await components.build(self._metrics)
        for task in components.list_tasks():
            self._spawn(task.run())
        for loop in components.list_loops():
            self._spawn(loop)
        context = callerhttp.CallerContext(
            components.build_request_ports(),
            components.secret,
            self._settings.max_body_bytes,
        )
        self._calls = await self._stack.enter_async_context(
            self._endpoints.attach(self, components.meter, context)
        )

    def _spawn(self, coroutine) -> None:
        task = self._tasks.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def handle_announcement(
        self, announced: gating.TargetAnnounced
    ) -> None:
        """Pass an announcement of the target to the tasks that use it."""
        components = self._components
        components.target.port = announced.port
        components.gate.tell(announced)
        components.grants.tell(announced)
        components.membership.tell(announced)

    async def read_status(self) -> operating.NodeStatus:
        """Return the node's status; raises TaskStopped at its end."""
        components = self._components
        current = await components.journal.ask(journaling.GetState())
        contact = await components.journal.ask(journaling.GetLogContactTime())
        return status.build_node_status(
            current,
            self._incarnation,
            self._settings.name,
            self._settings.zone,
            self._stop.reason is not None,
            clock.read_boot_clock() - contact,
        )

    async def read_dump(self) -> operating.NodeDump:
        """Return the state of all tasks; raises TaskStopped at its end."""
        return await dumps.dump_node(
            await self.read_status(),
            operatorhttp.list_settings(self._settings),
            self._components.list_tasks(),
        )

    async def read_metrics(self) -> measuring.RenderedMetrics:
        """Return the metrics; raises TaskStopped at its end."""
        return await nodemetrics.read_metrics(
            self._components.meter,
            await self.read_status(),
            self._components.list_tasks(),
        )

    def log_dump(self) -> None:
        """Write the state of all tasks to the log."""
        self._spawn(self._log_dump())

    async def _log_dump(self) -> None:
        dumped = await self.read_dump()
        eliot.log_message('node: state dump', dump=dumped)
