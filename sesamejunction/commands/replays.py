"""Replays a trace with open-loop timing."""

import asyncio
import collections
import collections.abc
import typing

from sesamejunction.model import replaying
from sesamejunction.model import valueclass

REPORT_INTERVAL_S = 1.0
CallOutcome = replaying.CallOutcome


class Sender(typing.Protocol):
    """Sends calls; a failed call is a reply and never an exception."""

    async def send(
        self,
        call: replaying.Call,
        address: str,
        idempotency_key: str | None,
    ) -> replaying.Reply:
        """Send a call to a node's address and return the reply."""


@valueclass.define
class Ports:
    """Dependencies; ``clock`` is monotonic, in seconds."""

    sender: Sender
    clock: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], collections.abc.Awaitable]
    make_key: collections.abc.Callable[[], str]
    report: collections.abc.Callable[[replaying.Progress], None]


class NodeSelector:
    """Selects the node for each call.

    Rotates through the nodes. With ``follow``, calls for a key go to the
    owner that the last answer for that key named.
    """

    def __init__(self, nodes: tuple[str, ...], follow: bool):
        self._nodes = collections.deque(nodes)
        self._follow = follow
        self._owners = {}

    def choose(self, call: replaying.Call) -> str:
        """Return the address for a call."""
        address = self._nodes[0]
        self._nodes.rotate(-1)
        return self._owners.get((call.service, call.key), address)

    def record_owner(
        self, call: replaying.Call, reply: replaying.Reply
    ) -> None:
        """Remember the owner named by a reply; forget it after a failure."""
        service_key = call.service, call.key
        if not self._follow or call.key is None:
            return
        if reply.owner:
            self._owners[service_key] = reply.owner
        elif reply.fate is not CallOutcome.ANSWERED:
            self._owners.pop(service_key, None)


class Replay:
    """Runs one replay and collects the results."""

    def __init__(self, ports: Ports, node_selector: NodeSelector):
        self._ports = ports
        self._node_selector = node_selector
        self._results = []
        self._sent = 0
        self._started = 0.0

    async def run(self, calls) -> tuple[replaying.Result, ...]:
        """Send every call at its scheduled time; returns all results.

        ``calls`` must be sorted by time and not empty. The results are sorted
        by scheduled time. No call waits for another, so a slow reply delays
        no later call.
        """
        self._started = self._ports.clock()
        length_s = calls[-1].at_ms / 1000
        async with asyncio.TaskGroup() as group:
            reporter = group.create_task(self._report_periodically(length_s))
            async with asyncio.TaskGroup() as sends:
                for call in calls:
                    wait_s = call.at_ms / 1000 - self._elapsed()
                    if wait_s > 0:
                        await self._ports.sleep(wait_s)
                    sends.create_task(self._send(call))
                    self._sent += 1
            reporter.cancel()
        self._report(length_s)
        return tuple(
            sorted(self._results, key=lambda result: result.scheduled_s)
        )

    def _elapsed(self) -> float:
        return self._ports.clock() - self._started

    async def _send(self, call) -> None:
        key = self._ports.make_key() if call.once else None
        address = self._node_selector.choose(call)
        sent_s = self._elapsed()
        reply = await self._ports.sender.send(call, address, key)
        self._node_selector.record_owner(call, reply)
        self._results.append(
            replaying.Result(
                call, reply, call.at_ms / 1000, sent_s, self._elapsed(), key
            )
        )

    async def _report_periodically(self, length_s) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._report(length_s)

    def _report(self, length_s) -> None:
        fates = collections.Counter(
            result.reply.fate for result in self._results
        )
        answered, refused = (
            fates[CallOutcome.ANSWERED],
            fates[CallOutcome.REFUSED],
        )
        done = len(self._results)
        self._ports.report(
            replaying.Progress(
                self._elapsed(),
                length_s,
                self._sent,
                self._sent - done,
                answered,
                refused,
                done - answered - refused,
            )
        )
