"""Fetches large request bodies that other nodes offer for the local target."""

import collections.abc
import dataclasses
import itertools

from sesamejunction.commands import hosting
from sesamejunction.commands import ports as porting
from sesamejunction import errors
from sesamejunction.model import incomingbodies
from sesamejunction.model import requests
from sesamejunction.model import valueclass

refuse = porting.refuse


@dataclasses.dataclass(slots=True)
class Ports:
    """Dependencies; ``numbers`` yields a new number for each offered body."""

    hosting: hosting.Ports
    intake: porting.Task
    numbers: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


@valueclass.define
class OfferingNode:
    """The node that holds a body.

    ``ask_part`` requests a part of a body from it, given the body's number
    and a PartRequest, and does not wait for the part.
    """

    incarnation: int
    ask_part: collections.abc.Callable


async def fetch_offered_body(
    ports: Ports, sender: OfferingNode, head: requests.Head, size: int
) -> incomingbodies.CompleteBody | requests.Refusal:
    """Fetch a body of ``size`` bytes; returns it or a refusal.

    If the target would refuse the request, the body is not transferred. This
    is checked before the body is queued and before its first part is
    requested.
    """
    started = ports.hosting.clock()
    try:
        reply = await _transfer_body(ports, sender, head, size)
    except (errors.InboxFull, errors.TaskStopped) as error:
        reply = refuse(requests.Code.OVERLOADED, str(error), retry_after_s=1.0)
    code = ''
    if isinstance(reply, requests.Refusal):
        code = reply.code.value
        reply = dataclasses.replace(reply, load=ports.hosting.scheduler.load)
        ports.hosting.metrics.target_requests.inc({'outcome': code})
        hosting.count_refusal(ports.hosting, head, reply)
    ports.hosting.metrics.observe(
        'body_seconds',
        ports.hosting.clock() - started,
        outcome=code or 'arrived',
    )
    return reply


async def _transfer_body(ports, sender, head, size):
    estimate = await hosting.check_admission(ports.hosting, head)
    if estimate.refusal is not None:
        return estimate.refusal
    body = incomingbodies.OfferedBody(
        next(ports.numbers),
        sender.incarnation,
        size,
        head.rank,
        head.deadline - estimate.expected_run_s,
        head.objective - estimate.expected_run_s,
        head.request_id,
    )
    try:
        reply = await ports.intake.ask(incomingbodies.OfferBody(body))
        if isinstance(reply, incomingbodies.PartRequest):
            # The target may have left while the body was queued.
            estimate = await hosting.check_admission(ports.hosting, head)
            if estimate.refusal is not None:
                return estimate.refusal
        while isinstance(reply, incomingbodies.PartRequest):
            sender.ask_part(body.number, reply)
            reply = await ports.intake.ask(
                incomingbodies.AwaitBodyPart(body.number)
            )
        return reply
    finally:
        ports.intake.tell_reliably(incomingbodies.WithdrawBody(body.number))
