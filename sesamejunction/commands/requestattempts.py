"""The attempts of one request that are open, and what becomes of them."""

import asyncio
import collections
import dataclasses

from sesamejunction.commands import ports as porting
from sesamejunction.commands import serving
from sesamejunction.decisions import attempts
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import requests

refuse = porting.refuse


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """What became of one attempt."""

    event: object
    candidate: requests.Candidate
    reply: requests.Answer | requests.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The task of an attempt is done."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Quiet:
    """The connection of an attempt is silent."""

    number: int


class OpenAttempts:
    """Runs the attempts of one request, which tell it by messages.

    An attempt stays open until it has a result or ``close`` cancels it.
    """

    def __init__(self, ports, current, upload, keyed: bool):
        self._ports = ports
        self._state = current
        self._upload = upload
        self._keyed = keyed
        # An asyncio.Queue in its place took 10 us more for each request.
        self._inbox = collections.deque()
        self._waker = None
        self._open = {}
        self._silent = set()
        self._count = 0
        self._next = None

    def count_open(self) -> int:
        """Return the attempts without a result."""
        return len(self._open)

    def count_heard(self) -> int:
        """Return the open attempts whose connection is not silent."""
        return len(self._open) - len(self._silent)

    def start(self, candidate: requests.Candidate, head) -> None:
        """Begin an attempt, which runs from the next ``wait`` on."""
        self._count += 1
        self._open[self._count] = None
        self._next = (
            self._allows_others(candidate, head),
            self._attempt(self._count, candidate, head),
        )

    def _allows_others(self, candidate, head) -> bool:
        """Return whether other attempts may be open at the same time."""
        if len(self._open) > 1:
            return True
        ports = self._ports
        return (
            head.repeatable
            and candidate.member.incarnation != ports.incarnation
            and ports.peers.reports_silence(candidate)
        )

    async def wait(self, limit_s: float | None):
        """Return the next Result or Silent, or Late after a time.

        ``limit_s`` is None when there is nothing to do after a time.
        """
        starting, self._next = self._next, None
        number = self._count
        if starting is not None:
            shared, attempt = starting
            if limit_s is None and not shared:
                # Only this attempt can end, and nothing else is done
                # meanwhile, so it needs no task of its own. A task takes
                # about 20 us.
                try:
                    return await attempt
                finally:
                    del self._open[number]
            task = self._open[number] = asyncio.ensure_future(attempt)
            task.add_done_callback(lambda _: self._tell(Ended(number)))
        if limit_s is None:
            return await self._take_message()
        try:
            async with asyncio.timeout(limit_s):
                return await self._take_message()
        except TimeoutError:
            return attempts.Late()

    def _tell(self, message) -> None:
        self._inbox.append(message)
        if self._waker is not None and not self._waker.done():
            self._waker.set_result(None)

    async def _take_message(self):
        while True:
            while not self._inbox:
                self._waker = asyncio.get_running_loop().create_future()
                await self._waker
            match self._inbox.popleft():
                case Ended(number=number):
                    self._silent.discard(number)
                    return self._open.pop(number).result()
                case Quiet(number=number) if number in self._open:
                    self._silent.add(number)
                    return attempts.Silent()

    def close(self) -> None:
        """Cancel the attempts that are open."""
        if self._next is not None:
            self._next[1].close()
        for task in self._open.values():
            if task is not None:
                task.cancel()
                task.add_done_callback(_drop_answer)
        self._open = {}
        self._silent = set()

    async def _attempt(self, number, candidate, head) -> AttemptResult:
        """Make one attempt; the chooser learns how it ended."""
        ports = self._ports
        started = ports.clock()
        result = None
        try:
            result = await self._send(number, candidate, head)
        finally:
            self._report(head, candidate, result, ports.clock() - started)
        return result

    def _report(self, head, candidate, result, taken_s: float) -> None:
        if self._keyed:
            # The chooser counts open attempts and latencies only where it
            # may choose between targets.
            return
        reply = result and result.reply
        answered = isinstance(reply, requests.Answer)
        self._ports.chooser.tell_reliably(
            choosing.AttemptEnded(
                head.service,
                candidate.member.incarnation,
                taken_s if answered else None,
                reply.load if reply is not None else None,
                failed=result is not None and reply is None,
                abandoned_s=taken_s if result is None else None,
            )
        )

    async def _send(self, number, candidate, head) -> AttemptResult:
        ports = self._ports
        try:
            if candidate.member.incarnation == ports.incarnation:
                reply = await serving.serve_request(
                    ports, self._state, head, self._upload
                )
            else:
                reply = await ports.peers.send(
                    candidate,
                    head,
                    self._upload,
                    lambda: self._tell(Quiet(number)),
                )
        except errors.PeerConnectionLost:
            return AttemptResult(attempts.Lost(), candidate)
        except errors.PeerUnavailable:
            return AttemptResult(attempts.NotConnected(), candidate)
        except (errors.InboxFull, errors.TaskStopped) as error:
            reply = refuse(requests.Code.OVERLOADED, str(error))
        return AttemptResult(self._classify(reply), candidate, reply)

    def _classify(self, reply):
        match reply:
            case requests.Answer():
                return attempts.Completed()
            case requests.Refusal():
                return attempts.classify_refusal(reply, self._keyed)


def _drop_answer(task: asyncio.Task) -> None:
    """Close the answer of an attempt that was not needed."""
    if task.cancelled() or task.exception() is not None:
        return
    reply = task.result().reply
    if isinstance(reply, requests.Answer):
        closing = asyncio.ensure_future(reply.resources.aclose())
        closing.add_done_callback(lambda done: done.exception())
