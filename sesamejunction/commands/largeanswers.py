"""Large answers, which leave over the line of this machine in parts."""

import collections.abc
import contextlib
import dataclasses
import itertools

from sesamejunction.commands import ports as porting
from sesamejunction.commands import wholebodies
from sesamejunction.decisions import linebudget
from sesamejunction import errors
from sesamejunction.model import outgoinganswers
from sesamejunction.model import requests

FULL_RETRY_S = 1.0


@dataclasses.dataclass(slots=True)
class Ports:
    """The line task, mean answer sizes by route, and new numbers."""

    line: porting.Task
    sizes: linebudget.RouteSizes = dataclasses.field(
        default_factory=linebudget.RouteSizes
    )
    numbers: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


def is_large(answer: requests.Answer) -> bool:
    """Return whether an answer with a buffered body is sent in parts."""
    chunks = answer.chunks
    return (
        isinstance(chunks, wholebodies.BufferedBody)
        and chunks.size >= linebudget.LARGE_ANSWER_BYTES
    )


def describe(ports: Ports, head, size, ready_at=0.0):
    """Return the answer to a request with a new number."""
    return outgoinganswers.ExpectedAnswer(
        next(ports.numbers),
        size,
        head.rank,
        head.deadline,
        ready_at,
        head.request_id,
    )


async def promise_answer(
    ports: Ports, head: requests.Head, ready_at: float
) -> outgoinganswers.ExpectedAnswer | requests.Refusal | None:
    """Promise the expected bytes of a request's answer to the line.

    ``ready_at`` is the earliest boot-clock time of the answer. Returns None
    if no large answer is expected, and a refusal if it could not leave in
    time.
    """
    size = ports.sizes.expect(head.route)
    if not size:
        return None
    expected = describe(ports, head, size, ready_at)
    try:
        refusal = await ports.line.ask(outgoinganswers.PromiseAnswer(expected))
    except (errors.InboxFull, errors.TaskStopped) as error:
        return porting.refuse(
            requests.Code.OVERLOADED, str(error), retry_after_s=FULL_RETRY_S
        )
    except BaseException:
        # The caller left before the reply.
        release(ports, expected)
        raise
    return expected if refusal is None else refusal


async def find_refusal(
    ports: Ports, head: requests.Head, ready_at: float
) -> requests.Refusal | None:
    """Return why the answer to a request could not leave, None if it could.

    Nothing is promised.
    """
    promised = await promise_answer(ports, head, ready_at)
    if isinstance(promised, requests.Refusal):
        return promised
    if promised is not None:
        release(ports, promised)
    return None


def settle_answer(ports: Ports, head, expected, reply) -> None:
    """Replace the promise by the real answer, until its body is read."""
    size = 0
    if isinstance(reply, requests.Answer) and isinstance(
        reply.chunks, wholebodies.BufferedBody
    ):
        size = reply.chunks.size
        ports.sizes.record(head.route, size)
    if expected is None:
        return
    if size < linebudget.LARGE_ANSWER_BYTES:
        release(ports, expected)
        return
    ports.line.tell_reliably(
        outgoinganswers.SettleAnswer(expected.number, size)
    )
    reply.resources.callback(release, ports, expected)


def release(ports: Ports, expected) -> None:
    """Stop counting an answer."""
    ports.line.tell_reliably(outgoinganswers.ReleaseAnswer(expected.number))


async def hold_for_peer(
    ports: Ports, head: requests.Head, answer: requests.Answer, requester: int
) -> outgoinganswers.ExpectedAnswer:
    """Hold an answer until another node has fetched its parts."""
    body = await wholebodies.read_answer(answer)
    held = describe(ports, head, len(body))
    ports.line.tell_reliably(outgoinganswers.HoldAnswer(held, requester, body))
    return held


async def wait_for_turn(
    ports: Ports, size: int, rank: int, deadline: float, number: int = 0
) -> None:
    """Wait until the line has room for ``size`` bytes.

    Returns at once if the line task cannot reply: the answer exists and is
    delivered in any case.
    """
    with contextlib.suppress(errors.InboxFull, errors.TaskStopped):
        await ports.line.ask(
            outgoinganswers.AwaitGrant(size, rank, deadline, number)
        )


class CallerLine:
    """Paces large answers to callers, for border/pipelinedhttp."""

    def __init__(self, ports: Ports):
        self._ports = ports

    def begin(self, size: int, rank: int, deadline: float) -> int:
        """Count an answer of ``size`` bytes; returns its number."""
        number = next(self._ports.numbers)
        self._ports.line.tell_reliably(
            outgoinganswers.AddAnswer(
                outgoinganswers.ExpectedAnswer(number, size, rank, deadline)
            )
        )
        return number

    async def grant(
        self, size: int, rank: int, deadline: float, number: int = 0
    ) -> None:
        """Wait until ``size`` bytes of an answer may be written."""
        await wait_for_turn(self._ports, size, rank, deadline, number)

    def end(self, number: int) -> None:
        """Stop counting an answer."""
        self._ports.line.tell_reliably(outgoinganswers.ReleaseAnswer(number))


@contextlib.contextmanager
def count(ports: Ports, head: requests.Head, size: int):
    """Count an answer that exists until the context ends; yield it."""
    counted = describe(ports, head, size)
    ports.line.tell_reliably(outgoinganswers.AddAnswer(counted))
    try:
        yield counted
    finally:
        release(ports, counted)


def count_unexpected(ports: Ports | None, head: requests.Head, size: int):
    """Return a context that counts an answer beyond its expected size.

    What the entry node expected was promised when the request began.
    """
    beyond = 0 if ports is None else size - ports.sizes.expect(head.route)
    if beyond <= 0:
        return contextlib.nullcontext()
    return count(ports, head, beyond)
