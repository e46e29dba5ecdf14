"""Actor that owns the line which leaves this machine, for large answers."""

import asyncio
import dataclasses
import itertools

from sesamejunction.border import logs
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import linebudget
from sesamejunction.model import outgoinganswers
from sesamejunction.model import requests
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Interval of checks while answers are counted.
CHECK_INTERVAL_S = 0.1
IDLE_S = 1.0
# A check that is later than this is left out.
LATE_CHECK_S = 0.3
BYTES_PER_MBIT = 125_000
# A held answer is dropped after this time without a request for a part if its
# requester is silent as well.
SILENT_LIMIT_S = 1.0
# The same if other frames of the requester arrive. It may have other answers
# to fetch first.
UNASKED_LIMIT_S = 10.0
# A count is removed this long after the answer's deadline. It only bounds the
# effect of a release that never came.
OVERDUE_LIMIT_S = 30.0
MESSAGES = {
    linebudget.Reason.LATE: 'the answer cannot leave in time: the line is'
    ' full; retry later',
    linebudget.Reason.MEMORY: 'the node holds too many answers; retry later',
}


@dataclasses.dataclass(slots=True)
class HeldAnswer:
    """The body of an answer for another node.

    ``asked_at`` is when a part was last requested or granted, ``asking`` the
    number of requested parts that wait for their turn.
    """

    requester: int
    body: bytes
    asked_at: float
    asking: int = 0


class Line(actor.Actor):
    """Admits expected answers, holds their bodies and grants their parts.

    ``find_heard_at`` returns the boot-clock time at which a node was last
    heard of on a connection, -inf without one; it is set after construction.
    """

    name = 'line'
    tick_s = IDLE_S

    def __init__(
        self,
        line_mbps,
        metrics,
        held_limit=linebudget.HELD_BYTES,
        clock=clock.read_boot_clock,
    ):
        super().__init__()
        self._budget = linebudget.LineBudget(
            line_mbps * BYTES_PER_MBIT, held_limit
        )
        self._metrics = metrics
        self._clock = clock
        self._logger = logs.ThrottledLogger()
        self._held = {}
        # When the answers that exist began to leave, by number.
        self._started = {}
        # Futures of queued parts by ticket.
        self._grants = {}
        self._tickets = itertools.count(1)
        self._check_at = float('-inf')
        self.find_heard_at = lambda _requester: float('-inf')

    @property
    def open_answers(self) -> int:
        """Return the number of answers that exist and are leaving."""
        return len(self._started)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all promised and existing answers."""
        return self._budget.held

    @property
    def left_bytes(self) -> int:
        """Return the bytes that have not been granted yet."""
        return self._budget.left

    @property
    def expected_wait_s(self) -> float:
        """Return the seconds until all counted answers have left."""
        return self._budget.find_wait(self._clock())

    async def handle(self, message):
        """Handle one message."""
        match message:
            case outgoinganswers.PromiseAnswer(answer=answer):
                return self._promise(answer)
            case outgoinganswers.AddAnswer(answer=answer):
                self._add(answer)
            case outgoinganswers.SettleAnswer(number=number, size=size):
                self._budget.settle(number, size)
            case outgoinganswers.ReleaseAnswer(number=number):
                self._remove(number)
            case outgoinganswers.HoldAnswer(answer=answer):
                self._add(answer)
                self._held[answer.number] = HeldAnswer(
                    message.requester, message.body, self._clock()
                )
            case outgoinganswers.TakePart():
                return self._queue_held_part(message)
            case outgoinganswers.DropAnswer():
                self._drop_for(message.requester, message.number)
            case outgoinganswers.RequesterLost(requester=requester):
                for number in list(self._held):
                    self._drop_for(requester, number, 'requester-lost')
            case outgoinganswers.AwaitGrant():
                return self._queue(
                    message.size,
                    message.rank,
                    message.latest,
                    message.number,
                )

    async def tick(self) -> None:
        """Grant parts, and drop what nobody asks for."""
        self._grant()
        now = self._clock()
        if now >= self._check_at:
            # If this node was paused, frames of its peers are still unread.
            if now < self._check_at + LATE_CHECK_S:
                self._drop_unasked(now)
            self._check_at = now + CHECK_INTERVAL_S
        interval_s = CHECK_INTERVAL_S if self._budget else IDLE_S
        # The actor sets its timer anew after each tick.
        delay_s = self._budget.find_next_grant(now)
        self.tick_s = interval_s if delay_s is None else delay_s

    def dump(self) -> outgoinganswers.LineDump:
        """Return the counted answers and bytes."""
        return outgoinganswers.LineDump(
            len(self._budget),
            self._budget.held,
            self._budget.left,
            self._budget.queued_parts,
        )

    def _promise(self, answer) -> requests.Refusal | None:
        late = self._budget.find_refusal(answer, self._clock())
        if late is not None:
            return self._refuse(answer, late)
        self._budget.promise(answer)
        self.tick_within(CHECK_INTERVAL_S)
        return None

    def _add(self, answer) -> None:
        now = self._clock()
        self._budget.promise(answer, now)
        self._started[answer.number] = now
        self.tick_within(CHECK_INTERVAL_S)

    def _remove(self, number) -> None:
        self._budget.release(number)
        self._held.pop(number, None)
        self._started.pop(number, None)

    def _drop_for(self, requester, number, reason='given-up') -> None:
        """Forget an answer that is held for a requester."""
        held = self._held.get(number)
        if held is None or held.requester != requester:
            return
        if not self._budget.is_granted(number) or reason != 'given-up':
            self._metrics.answers_dropped.inc({'reason': reason})
            self._logger.log_message(
                'peer: answer dropped',
                reason=reason,
                size=len(held.body),
                requester=requester,
            )
        self._remove(number)
        for ticket, (reply, _, part) in list(self._grants.items()):
            if part is not None and part.number == number:
                del self._grants[ticket]
                self._budget.remove_part(ticket)
                resolve(reply, b'')

    def _drop_unasked(self, now) -> None:
        for number, held in list(self._held.items()):
            if self._is_unasked(held, now):
                self._drop_for(held.requester, number, 'not-asked')
        for number in self._budget.list_overdue(OVERDUE_LIMIT_S, now):
            if number not in self._held:
                self._remove(number)

    def _is_unasked(self, held, now) -> bool:
        if held.asking or now - held.asked_at < SILENT_LIMIT_S:
            return False
        heard_at = self.find_heard_at(held.requester)
        return (
            now - heard_at >= SILENT_LIMIT_S
            or now - held.asked_at >= UNASKED_LIMIT_S
        )

    def _queue_held_part(self, part):
        held = self._held.get(part.number)
        size = min(part.size, linebudget.PART_BYTES)
        if held is None or held.requester != part.requester or size <= 0:
            return b''
        if not 0 <= part.start < len(held.body):
            return b''
        answer = self._budget.find(part.number)
        held.asked_at = self._clock()
        held.asking += 1
        return self._queue(
            min(size, len(held.body) - part.start),
            answer.rank,
            answer.latest,
            part.number,
            part,
        )

    def _queue(self, size, rank, latest, number, part=None) -> asyncio.Future:
        """Queue a part; the future is resolved when it may leave."""
        ticket = next(self._tickets)
        reply = asyncio.get_running_loop().create_future()
        self._grants[ticket] = reply, size, part
        self._budget.queue_part(
            linebudget.Part(rank, latest, ticket, size, number)
        )
        # A sender that leaves does not use the line.
        reply.add_done_callback(
            lambda done: self._cancel(ticket) if done.cancelled() else None
        )
        self._grant()
        self._schedule_grant()
        return reply

    def _cancel(self, ticket) -> None:
        queued = self._grants.pop(ticket, None)
        if queued is None:
            return
        self._budget.remove_part(ticket)
        _, _, part = queued
        if part is not None and part.number in self._held:
            self._held[part.number].asking -= 1

    def _grant(self) -> None:
        now = self._clock()
        for granted in self._budget.grant_next(now):
            reply, size, part = self._grants.pop(granted.ticket)
            data = None
            if part is not None:
                held = self._held[part.number]
                held.asking -= 1
                held.asked_at = now
                data = held.body[part.start : part.start + size]
            if self._budget.is_granted(granted.number):
                self._observe_left(granted.number, now)
            resolve(reply, data)

    def _observe_left(self, number, now) -> None:
        started = self._started.get(number)
        if started is not None:
            self._metrics.observe('answer_line_seconds', now - started)

    def _schedule_grant(self) -> None:
        delay_s = self._budget.find_next_grant(self._clock())
        if delay_s is not None:
            self.tick_within(delay_s)

    def _refuse(self, answer, late) -> requests.Refusal:
        """Return the refusal of an answer and log it with its inputs."""
        self._metrics.answers_refused.inc({'reason': late.reason.value})
        inputs = {
            'answer_size': answer.size,
            'line_ahead': late.ahead,
            'answers_held': late.held,
            'needed_s': round(late.needed_s, 3),
            'left_s': round(late.left_s, 3),
        }
        message = MESSAGES[late.reason]
        self._logger.log_message(
            'gate: answer refused',
            request=answer.request_id,
            reason=message,
            **inputs,
        )
        return porting.refuse(
            requests.Code.OVERLOADED,
            message,
            retry_after_s=round(late.retry_after_s, 3),
            inputs=tuple(inputs.items()),
        )


def resolve(reply: asyncio.Future, result) -> None:
    """Resolve a future unless its sender has left."""
    if not reply.done():
        reply.set_result(result)
