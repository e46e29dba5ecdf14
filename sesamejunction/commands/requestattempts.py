"""Open attempts of one request."""

import asyncio
import collections

from sesamejunction.commands import ports as porting
from sesamejunction.commands import serving
from sesamejunction.decisions import attempts
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import requests
from sesamejunction.model import valueclass

refuse = porting.refuse


@valueclass.define
class AttemptResult:
    """Result of one attempt.

    ``event`` is its event in decisions/attempts. ``reply`` is None if no
    reply was received.
    """

    event: object
    candidate: requests.Candidate
    reply: requests.Answer | requests.Refusal | None = None


@valueclass.define
class AttemptTaskEnded:
    """Inbox message: the asyncio task of an attempt has ended."""

    number: int


@valueclass.define
class ConnectionSilent:
    """Inbox message: nothing is received on the connection of an attempt."""

    number: int


class OpenAttempts:
    """Runs the attempts of one request.

    Attempts report through an inbox. An attempt stays open until it has a
    result or ``close`` cancels it.
    """

    def __init__(self, ports, current, upload, keyed: bool):
        self._ports = ports
        self._state = current
        self._upload = upload
        self._keyed = keyed
        # An asyncio.Queue would cost another 10 us per request.
        self._inbox = collections.deque()
        self._waker = None
        # Open attempts by number, with their asyncio task if they have one.
        self._open = {}
        # Numbers of open attempts whose connection is silent.
        self._silent = set()
        self._count = 0
        # The created attempt: whether others may run beside it, and its
        # coroutine.
        self._to_start = None

    def count_open(self) -> int:
        """Return the number of attempts without a result."""
        return len(self._open)

    def count_responsive(self) -> int:
        """Return the number of open attempts with a live connection."""
        return len(self._open) - len(self._silent)

    def start_attempt(self, candidate: requests.Candidate, head) -> None:
        """Create an attempt, which the next ``wait_for_event`` starts."""
        self._count += 1
        self._open[self._count] = None
        self._to_start = (
            self._may_run_beside_others(candidate, head),
            self._run_attempt(self._count, candidate, head),
        )

    def _may_run_beside_others(self, candidate, head) -> bool:
        """Return whether another attempt may run while this one is open.

        This is so if one is open already, or if a silent connection of this
        attempt may cause a hedged one.
        """
        if len(self._open) > 1:
            return True
        ports = self._ports
        return (
            head.repeatable
            and candidate.member.incarnation != ports.incarnation
            and ports.peers.reports_silence(candidate)
        )

    async def wait_for_event(self, limit_s: float | None):
        """Return the next AttemptResult or Silent, or Late after a timeout.

        ``limit_s`` is None for no timeout.
        """
        starting, self._to_start = self._to_start, None
        number = self._count
        if starting is not None:
            runs_beside_others, attempt = starting
            if limit_s is None and not runs_beside_others:
                # No other attempt and no timeout can come first, so the
                # coroutine is awaited directly. A task would cost about
                # 20 us.
                # It stays open if the wait is cancelled, as it may run then.
                result = await attempt
                del self._open[number]
                return result
            task = self._open[number] = asyncio.ensure_future(attempt)
            task.add_done_callback(
                lambda _: self._post(AttemptTaskEnded(number))
            )
        if limit_s is None:
            return await self._next_message()
        try:
            async with asyncio.timeout(limit_s):
                return await self._next_message()
        except TimeoutError:
            return attempts.Late()

    def _post(self, message) -> None:
        self._inbox.append(message)
        if self._waker is not None and not self._waker.done():
            self._waker.set_result(None)

    async def _next_message(self):
        while True:
            while not self._inbox:
                self._waker = asyncio.get_running_loop().create_future()
                await self._waker
            match self._inbox.popleft():
                case AttemptTaskEnded(number=number):
                    self._silent.discard(number)
                    return self._open.pop(number).result()
                case ConnectionSilent(number=number) if number in self._open:
                    self._silent.add(number)
                    return attempts.Silent()

    def close(self) -> None:
        """Cancel the open attempts."""
        if self._to_start is not None:
            self._to_start[1].close()
        for task in self._open.values():
            if task is not None:
                task.cancel()
                task.add_done_callback(_discard_answer)
        self._open = {}
        self._silent = set()

    async def _run_attempt(self, number, candidate, head) -> AttemptResult:
        """Make one attempt and report its end to the chooser."""
        ports = self._ports
        started = ports.clock()
        result = None
        try:
            result = await self._send(number, candidate, head)
        finally:
            self._report_end(head, candidate, result, ports.clock() - started)
        return result

    def _report_end(self, head, candidate, result, taken_s: float) -> None:
        if self._keyed:
            # The chooser tracks open attempts and latencies only for
            # requests that any of several targets may run.
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
                    lambda: self._post(ConnectionSilent(number)),
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


def _discard_answer(task: asyncio.Task) -> None:
    """Close the unused answer of a cancelled attempt."""
    if task.cancelled() or task.exception() is not None:
        return
    reply = task.result().reply
    if isinstance(reply, requests.Answer):
        closing = asyncio.ensure_future(reply.resources.aclose())
        closing.add_done_callback(lambda done: done.exception())
