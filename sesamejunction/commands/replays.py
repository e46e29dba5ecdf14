"""Replays a trace on an open schedule."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from sesamejunction.model import replaying

REPORT_S = 1.0
CallOutcome = replaying.CallOutcome


class Sender(typing.Protocol):
    """Sends one call and never raises for a failed one."""

    async def send(
        self,
        call: replaying.Call,
        address: str,
        idempotency_key: str | None,
    ) -> replaying.Reply:
        """Return what came of a call to a node's address."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """What a replay needs; ``clock`` is monotonic, in seconds."""

    sender: Sender
    clock: collections.abc.Callable[[], float]
    sleep: collections.abc.Callable[[float], collections.abc.Awaitable]
    make_key: collections.abc.Callable[[], str]
    report: collections.abc.Callable[[replaying.Progress], None]


class NodeSelector:
    """Chooses a node for each call.

    Takes the nodes in turn, or with ``follow`` the owner that the last
    answer for the key named.
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

    def learn(self, call: replaying.Call, reply: replaying.Reply) -> None:
        """Keep the owner that a reply names, and forget one that failed."""
        place = call.service, call.key
        if not self._follow or call.key is None:
            return
        if reply.owner:
            self._owners[place] = reply.owner
        elif reply.fate is not CallOutcome.ANSWERED:
            self._owners.pop(place, None)


class Replay:
    """One replay; owns its results and its choice of nodes."""

    def __init__(self, ports: Ports, addresses: NodeSelector):
        self._ports = ports
        self._addresses = addresses
        self._results = []
        self._sent = 0
        self._started = 0.0

    async def run(self, calls) -> tuple[replaying.Result, ...]:
        """Send every call at its time and return the results, in order.

        No call waits for another one, so a slow reply delays nothing.
        """
        self._started = self._ports.clock()
        length_s = calls[-1].at_ms / 1000
        async with asyncio.TaskGroup() as group:
            reporter = group.create_task(self._report_often(length_s))
            async with asyncio.TaskGroup() as sends:
                for call in calls:
                    wait_s = call.at_ms / 1000 - self._elapsed()
                    if wait_s > 0:
                        await self._ports.sleep(wait_s)
                    sends.create_task(self._send(call))
                    self._sent += 1
            reporter.cancel()
        self._report(length_s)
        return tuple(sorted(self._results, key=lambda one: one.scheduled_s))

    def _elapsed(self) -> float:
        return self._ports.clock() - self._started

    async def _send(self, call) -> None:
        key = self._ports.make_key() if call.once else None
        address = self._addresses.choose(call)
        sent_s = self._elapsed()
        reply = await self._ports.sender.send(call, address, key)
        self._addresses.learn(call, reply)
        self._results.append(
            replaying.Result(
                call, reply, call.at_ms / 1000, sent_s, self._elapsed(), key
            )
        )

    async def _report_often(self, length_s) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            self._report(length_s)

    def _report(self, length_s) -> None:
        fates = collections.Counter(one.reply.fate for one in self._results)
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
