"""Actor that schedules the parts of large bodies sent by other nodes."""

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

# Interval of checks while any bodies are expected; a body of average size
# takes twice this time at 5 Mbit/s.
CHECK_INTERVAL_S = 0.05
IDLE_S = 1.0
BYTES_PER_MBIT = 125_000

refuse = porting.refuse


class Intake(actor.Actor):
    """Decides whose body is sent next and collects the received parts.

    OfferBody and AwaitBodyPart are answered with the next part to request,
    the complete body or a refusal. ``scheduler`` receives the number of
    requests that wait for their bodies.
    """

    name = 'intake'
    tick_s = IDLE_S

    def __init__(self, line_mbps, scheduler, clock=clock.read_boot_clock):
        super().__init__()
        self._bodies = intake.Intake(intake.Line(line_mbps * BYTES_PER_MBIT))
        self._scheduler = scheduler
        self._clock = clock
        self._logger = logs.ThrottledLogger()
        # By body number: the future of the next reply, and the parts received.
        self._replies = {}
        self._parts = {}
        self._published_count = 0

    async def handle(self, message):
        """Handle one message."""
        match message:
            case incomingbodies.OfferBody(body=body):
                return self._handle_offer(body)
            case incomingbodies.AwaitBodyPart(number=number):
                return self._replies[number]
            case incomingbodies.PartArrived():
                return self._handle_part(message)
            case incomingbodies.WithdrawBody(number=number):
                self._replies.pop(number, None)
                self._parts.pop(number, None)
                self._bodies.remove(number)
                self._schedule_parts()

    async def tick(self) -> None:
        """Refuse late and missing bodies and request the next parts."""
        self._schedule_parts()
        self.tick_s = CHECK_INTERVAL_S if self._bodies else IDLE_S

    def dump(self) -> operating.IntakeDump:
        """Return the number of waiting bodies and of those in transfer."""
        under_way = self._bodies.under_way
        return operating.IntakeDump(len(self._bodies) - under_way, under_way)

    def _handle_offer(self, body):
        late = self._bodies.find_refusal(body, self._clock())
        if late is not None:
            return self._describe_late(late, 'the line is full')
        self._bodies.push(body)
        reply = self._create_reply(body.number)
        self._schedule_parts()
        self.tick_within(CHECK_INTERVAL_S)
        return reply

    def _handle_part(self, arrived) -> incomingbodies.PartReceipt:
        receipt = self._bodies.receive(
            arrived.number, arrived.sender, len(arrived.data), self._clock()
        )
        match receipt:
            case intake.Receipt.NEXT:
                self._add_part(arrived)
                part = self._bodies.find_part(arrived.number)
                self._resolve_reply(arrived.number, part)
            case intake.Receipt.WHOLE:
                self._add_part(arrived)
                whole = incomingbodies.CompleteBody(
                    b''.join(self._parts[arrived.number])
                )
                self._resolve_reply(arrived.number, whole)
        self._schedule_parts()
        return incomingbodies.PartReceipt(receipt is not intake.Receipt.WRONG)

    def _add_part(self, arrived) -> None:
        self._parts.setdefault(arrived.number, []).append(arrived.data)

    def _schedule_parts(self) -> None:
        """Refuse late and missing bodies and request the next parts."""
        now = self._clock()
        for late in self._bodies.list_late(now):
            number = late.body.number
            self._bodies.remove(number)
            self._resolve_reply(
                number, self._describe_late(late, 'it has waited too long')
            )
        for progress in self._bodies.list_missing(now):
            self._bodies.remove(progress.body.number)
            self._resolve_reply(
                progress.body.number, self._describe_missing(progress)
            )
        for progress in self._bodies.start_next(now):
            self._resolve_reply(progress.body.number, progress.part)
        if len(self._bodies) != self._published_count:
            self._published_count = len(self._bodies)
            self._scheduler.publish(
                gating.PendingBodyCount(self._published_count)
            )

    def _create_reply(self, number) -> asyncio.Future:
        reply = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        return reply

    def _resolve_reply(self, number, reply) -> None:
        """Resolve the pending reply; a part is followed by a new one."""
        waiting = self._replies.get(number)
        if waiting is None:
            return
        if isinstance(reply, incomingbodies.PartRequest):
            self._create_reply(number)
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
            intake.MIN_RETRY_DELAY_S,
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
        self._logger.log_message(
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
