"""Task that lets large bodies of other nodes come, one part at a time."""

import asyncio

from sesamejunction.border import logs
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import intake
from sesamejunction.model import gating
from sesamejunction.model import incomingbodies
from sesamejunction.model import operating
from sesamejunction.model import requests
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Bodies are looked through this often while there are any; a body of average
# size takes twice this time at 5 Mbit/s.
CHECK_INTERVAL_S = 0.05
IDLE_S = 1.0
# Bytes a second of 1 Mbit/s.
BYTES_PER_MBIT = 125_000

refuse = porting.refuse


class Intake(actor.Actor):
    """Owns the turns of large bodies and the parts that have come.

    ``scheduler`` is told how many requests wait for their bodies.
    """

    name = 'intake'
    tick_s = IDLE_S

    def __init__(self, line_mbps, scheduler, clock=clock.read_boot_clock):
        super().__init__()
        self._bodies = intake.Intake(intake.Line(line_mbps * BYTES_PER_MBIT))
        self._scheduler = scheduler
        self._clock = clock
        self._lines = logs.ThrottledLogger()
        # By number: the next reply to its asker, and the parts that came.
        self._replies = {}
        self._parts = {}
        self._told = 0

    async def handle(self, message):
        """Handle one message."""
        match message:
            case incomingbodies.OfferBody(body=body):
                return self._take_offer(body)
            case incomingbodies.AwaitBodyPart(number=number):
                return self._replies[number]
            case incomingbodies.PartArrived():
                return self._take_part(message)
            case incomingbodies.WithdrawBody(number=number):
                self._replies.pop(number, None)
                self._parts.pop(number, None)
                self._bodies.remove(number)
                self._proceed()

    async def tick(self) -> None:
        """Refuse what is late or missing."""
        self._proceed()
        self.tick_s = CHECK_INTERVAL_S if self._bodies else IDLE_S

    def dump(self) -> operating.IntakeDump:
        """Return the counts of bodies."""
        under_way = self._bodies.under_way
        return operating.IntakeDump(len(self._bodies) - under_way, under_way)

    def _take_offer(self, body):
        late = self._bodies.find_refusal(body, self._clock())
        if late is not None:
            return self._describe_late(late, 'the line is full')
        self._bodies.push(body)
        reply = self._renew_reply(body.number)
        self._proceed()
        self.tick_within(CHECK_INTERVAL_S)
        return reply

    def _take_part(self, arrived) -> incomingbodies.PartReceipt:
        receipt = self._bodies.receive(
            arrived.number, arrived.sender, len(arrived.data), self._clock()
        )
        match receipt:
            case intake.Receipt.NEXT:
                self._add_part(arrived)
                part = self._bodies.find_part(arrived.number)
                self._give_reply(arrived.number, part)
            case intake.Receipt.WHOLE:
                self._add_part(arrived)
                whole = incomingbodies.CompleteBody(
                    b''.join(self._parts[arrived.number])
                )
                self._give_reply(arrived.number, whole)
        self._proceed()
        return incomingbodies.PartReceipt(receipt is not intake.Receipt.WRONG)

    def _add_part(self, arrived) -> None:
        self._parts.setdefault(arrived.number, []).append(arrived.data)

    def _proceed(self) -> None:
        """Refuse what is late or missing and start whose turn it is."""
        now = self._clock()
        for late in self._bodies.list_late(now):
            number = late.body.number
            self._bodies.remove(number)
            self._give_reply(
                number, self._describe_late(late, 'it has waited too long')
            )
        for progress in self._bodies.list_missing(now):
            self._bodies.remove(progress.body.number)
            self._give_reply(
                progress.body.number, self._describe_missing(progress)
            )
        for progress in self._bodies.start_next(now):
            self._give_reply(progress.body.number, progress.part)
        if len(self._bodies) != self._told:
            self._told = len(self._bodies)
            self._scheduler.publish(gating.PendingBodyCount(self._told))

    def _renew_reply(self, number) -> asyncio.Future:
        reply = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        return reply

    def _give_reply(self, number, reply) -> None:
        """Answer the asker; the next question of it gets a new reply."""
        waiting = self._replies.get(number)
        if waiting is None:
            return
        if isinstance(reply, incomingbodies.PartRequest):
            self._renew_reply(number)
        if not waiting.done():
            waiting.set_result(reply)

    def _describe_late(self, late, reason) -> requests.Refusal:
        return self._refuse(
            late.body,
            f'the body cannot be here in time: {reason}; retry later',
            late.retry_after_s,
            body_ahead=late.ahead,
            needed_s=round(late.needed_s, 3),
            left_s=round(late.left_s, 3),
        )

    def _describe_missing(self, progress) -> requests.Refusal:
        return self._refuse(
            progress.body,
            'the sender did not send the body; retry later',
            intake.SHORTEST_RETRY_S,
            body_arrived=progress.arrived,
            limit_s=intake.PART_LIMIT_S,
        )

    def _refuse(self, body, message, retry_after_s, **inputs):
        """Return the refusal of a body and log it with its inputs."""
        inputs = {
            **inputs,
            'body_size': body.size,
            'bodies': len(self._bodies),
            'under_way': self._bodies.under_way,
        }
        self._lines.log_message(
            'gate: body refused',
            request=body.request_id,
            reason=message,
            **inputs,
        )
        return refuse(
            requests.Code.OVERLOADED,
            message,
            retry_after_s=round(retry_after_s, 3),
            inputs=tuple(inputs.items()),
        )
