"""Runs a request at the target beside this node."""

import asyncio
import dataclasses

from sesamejunction.commands import ports as porting
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import leasing
from sesamejunction.model import requests
from sesamejunction.model import state

refuse = porting.refuse
RETRY_AFTER_S = 0.1
# A key that is not taken over at once waits for a hold to run out.
MOVING_RETRY_S = 0.5
# After so many answers missing in a row, idle connections are taken for
# silent. It does not make the target suspect of a new start: at a busy target
# answers are late, and only a port that takes no connection tells of a start.
MISSES = 2


@dataclasses.dataclass(slots=True)
class Ports:
    """What hosting needs; ``current`` is the view of the folded state."""

    states: porting.StateView
    scheduler: porting.Task
    lease: porting.Task
    holdings: object
    target: object
    lines: object
    metrics: object
    clock: object
    misses: int = 0


async def host_request(
    ports: Ports, head: requests.Head, body: bytes
) -> requests.Answer | requests.Refusal:
    """Run a request here; returns the target's whole answer or a Refusal."""
    refusal = find_refusal(ports, head)
    if refusal is None:
        reply = await _run_in_place(ports, head, body)
    else:
        reply = dataclasses.replace(refusal, load=ports.scheduler.load)
    code = reply.code.value if isinstance(reply, requests.Refusal) else ''
    ports.metrics.target_requests.inc({'outcome': code or 'answered'})
    return reply


async def check_admission(
    ports: Ports, head: requests.Head
) -> gating.AdmissionEstimate:
    """Return whether the target would refuse a request now; runs nothing."""
    refusal = find_refusal(ports, head)
    if refusal is not None:
        return gating.AdmissionEstimate(refusal, 0.0)
    return await ports.scheduler.ask(gating.CheckAdmission(head))


def find_refusal(ports: Ports, head) -> requests.Refusal | None:
    """Return why the target may not run the request, None if it may."""
    service = ports.states.current.services.get(head.service)
    if service is None or service.routing is not state.Routing.RANGE:
        return None
    key, now = int(head.route_key), ports.clock()
    if ports.holdings.holds(key, now):
        return None
    if ports.holdings.is_delayed(key, now):
        return refuse(
            requests.Code.MOVING,
            'the key waits for its former owner; come back later',
            retry_after_s=MOVING_RETRY_S,
        )
    return refuse(
        requests.Code.NOT_OWNER,
        'the target does not hold the key now; ask again',
        retry_after_s=RETRY_AFTER_S,
    )


async def _run_in_place(ports, head, body):
    """Wait for a place, send, and give the place back."""
    outcome = Outcome()
    try:
        refusal = await _take_place(ports, head)
        if refusal is None:
            # The keys may have been released while the request waited.
            refusal = find_refusal(ports, head)
        if refusal is not None:
            return dataclasses.replace(refusal, load=ports.scheduler.load)
        return await _send(ports, head, body, outcome)
    finally:
        ports.scheduler.tell_reliably(
            gating.WorkFinished(head.request_id, outcome.taken_s, outcome.shed)
        )


async def _take_place(ports, head) -> requests.Refusal | None:
    """Wait for a place at the target; returns why there is none, or None."""
    # Later than this it would start only to be given up half-way.
    least_s = ports.scheduler.estimate_min_time(head.route)
    started = ports.clock()
    left_s = head.deadline - least_s - started
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            reply = await ports.scheduler.ask(gating.Admit(head))
    except TimeoutError:
        return refuse(
            requests.Code.DEADLINE,
            'too little time was left after the wait for a place',
            retry_after_s=RETRY_AFTER_S,
            inputs=(
                ('waited_s', round(ports.clock() - started, 3)),
                ('least_s', round(least_s, 3)),
            ),
        )
    except (errors.InboxFull, errors.TaskStopped) as error:
        return refuse(requests.Code.OVERLOADED, str(error), retry_after_s=1.0)
    ports.metrics.observe('queue_seconds', ports.clock() - started)
    return reply if isinstance(reply, requests.Refusal) else None


@dataclasses.dataclass(slots=True)
class Outcome:
    """What is known of a request when its place is given back."""

    taken_s: float | None = None
    shed: bool = False


async def _send(ports, head, body, outcome):
    """Send to the target; a missing answer is an unknown outcome."""
    started = ports.clock()
    try:
        async with asyncio.timeout(max(0.0, head.deadline - started)):
            reply = await ports.target.send(head, body)
    except errors.PeerConnectionLost as error:
        _note_miss(ports)
        return _explain_lost(ports, head, str(error))
    except TimeoutError:
        _note_miss(ports)
        return _explain_lost(ports, head, 'no answer within the deadline')
    except errors.PeerUnavailable as error:
        if isinstance(error, errors.TargetConnectionRefused):
            ports.lease.tell(leasing.TargetUnreachable())
        ports.scheduler.tell(leasing.TargetUnreachable())
        return refuse(
            requests.Code.NO_TARGET,
            str(error),
            retry_after_s=RETRY_AFTER_S,
        )
    ports.misses = 0
    if isinstance(reply, requests.Refusal):
        outcome.shed = reply.code is requests.Code.SHED
        return dataclasses.replace(reply, load=ports.scheduler.load)
    outcome.taken_s = ports.clock() - started
    ports.metrics.observe('target_seconds', outcome.taken_s)
    return dataclasses.replace(reply, load=ports.scheduler.load)


def _note_miss(ports) -> None:
    ports.misses += 1
    if ports.misses >= MISSES:
        ports.misses = 0
        ports.target.close_idle()


def _explain_lost(ports, head, reason) -> requests.Refusal:
    ports.lines.log_message(
        'gate: answer lost',
        request=head.request_id,
        service=head.service,
        left_s=round(head.deadline - ports.clock(), 3),
        reason=reason,
    )
    return requests.Refusal(
        requests.Code.LOST,
        requests.Outcome.UNKNOWN,
        f'{reason}; look up its effect before sending it again',
    )
