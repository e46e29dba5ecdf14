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


# Longest time that requests of an ended incarnation may take to finish.
ABANDON_LIMIT_S = 5.0


class Incarnation:
    """The tasks of one incarnation; serves at the process's endpoints.

    ``stop`` says when to leave; ``kept`` holds the counters of the process.
    """

    def __init__(
        self,
        checked: settings.NodeSettings,
        ports: endpoints.Endpoints,
        stop: stopping.StopSignal,
        kept: metrics.Metrics,
    ):
        self._settings = checked
        self._endpoints = ports
        self._stop = stop
        self._metrics = kept
        self._incarnation = secrets.randbits(62) + 1
        self._stack = contextlib.AsyncExitStack()
        self._tasks = None
        self._calls = None
        self._parts = assembly.Components(
            checked, self._incarnation, self._stack, stop
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
        """Serve until told to stop, then leave without cutting a request."""
        await self._stop.wait()
        eliot.log_message('node: leaving', reason=self._stop.reason.value)
        match self._stop.reason:
            case operating.StopReason.LEASE_LOST:
                await self._abandon()
            case _:
                await self._leave()

    async def _abandon(self) -> None:
        """Finish running requests; the slots have passed to successors."""
        parts = self._parts
        parts.membership.tell(owning.StopOwning())
        cut = await self._calls.finish_requests(ABANDON_LIMIT_S)
        await leaving.serve_as_witness_until_replaced(
            self._describe_leaving(),
            parts.journal,
            lambda: self._stop.reason is operating.StopReason.PLANNED,
        )
        eliot.log_message('node: incarnation ended', cut=cut)

    def _describe_leaving(self) -> leaving.Ports:
        parts = self._parts
        return leaving.Ports(
            self._incarnation,
            parts.appender,
            parts.owners,
            parts.shares,
            clock.read_boot_clock,
            asyncio.sleep,
        )

    async def _leave(self) -> None:
        """Give everything back, finish running requests, say goodbye."""
        parts = self._parts
        limit_s = self._settings.stop_limit_s
        ends = clock.read_boot_clock() + limit_s
        self._endpoints.announce_stop()
        parts.leases.tell(owning.StopOwning())
        if self._stop.reason is operating.StopReason.TARGET_LOST:
            # Requests at a frozen target may run until their deadline and
            # would hold their slots; their grants end with the lease.
            parts.leases.tell(owning.StopRenewing())
        left = await leaving.leave_fleet(self._describe_leaving(), limit_s)
        # Where the log is down, other nodes do not know that this one leaves
        # and must be told by refusals.
        parts.gate.tell_reliably(gating.StopAdmitting())
        rest_s = max(0.0, ends - clock.read_boot_clock())
        if self._stop.reason is operating.StopReason.PLANNED:
            cut = await self._endpoints.finish(rest_s)
        else:
            cut = await self._calls.finish_requests(rest_s)
        await parts.leases.ask(owning.EndIncarnation())
        eliot.log_message(
            'node: left', recorded=left.recorded, held=left.held, cut=cut
        )

    async def _start(self) -> None:
        parts = self._parts
        await parts.build(self._metrics)
        for task in parts.list_tasks():
            self._spawn(task.run())
        for loop in parts.list_loops():
            self._spawn(loop)
        context = callerhttp.CallerContext(
            parts.build_request_ports(),
            parts.secret,
            self._settings.max_body_bytes,
        )
        self._calls = await self._stack.enter_async_context(
            self._endpoints.attach(self, parts.meter, context)
        )

    def _spawn(self, coroutine) -> None:
        task = self._tasks.create_task(coroutine)
        self._stack.callback(task.cancel)

    async def take_announcement(
        self, announced: gating.TargetAnnounced
    ) -> None:
        """Pass the target's announcement to the tasks that need it."""
        parts = self._parts
        parts.target.port = announced.port
        parts.gate.tell(announced)
        parts.grants.tell(announced)
        parts.membership.tell(announced)

    async def read_status(self) -> operating.NodeStatus:
        """Return the node's status; raises TaskStopped at its end."""
        parts = self._parts
        current = await parts.journal.ask(journaling.GetState())
        contact = await parts.journal.ask(journaling.GetLogContactTime())
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
            self._parts.list_tasks(),
        )

    async def read_metrics(self) -> measuring.RenderedMetrics:
        """Return the metrics; raises TaskStopped at its end."""
        return await nodemetrics.read_metrics(
            self._parts.meter,
            await self.read_status(),
            self._parts.list_tasks(),
        )

    def log_dump(self) -> None:
        """Write the state of all tasks to the log."""
        self._spawn(self._log_dump())

    async def _log_dump(self) -> None:
        dumped = await self.read_dump()
        eliot.log_message('node: state dump', dump=dumped)
