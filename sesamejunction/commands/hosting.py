"""Runs a request at the local target of a hosted node."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import math

from sesamejunction.commands import largeanswers
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import calleehealth
from sesamejunction.decisions import concurrencylimit
from sesamejunction.decisions import workorder
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.model import state

refuse = porting.refuse
RETRY_AFTER_S = 0.1
# Retry delay while the new owner waits for the former owner's hold to expire,
# which takes longer than a planned move.
MOVING_RETRY_S = 0.5
# After this many consecutive requests without an answer, idle connections are
# closed as possibly dead. This does not count as a restart of the target: a
# busy target answers late too, and only a refused connection shows a restart.
MAX_CONSECUTIVE_MISSES = 2
# Refusals that tell of too little room at a service, not of a bad request.
NO_ROOM_CODES = frozenset(
    (
        requests.Code.OVERLOADED,
        requests.Code.NO_OWNER,
        requests.Code.NO_TARGET,
        requests.Code.DEADLINE,
        requests.Code.SHED,
        requests.Code.LOST,
    )
)
# Input of refusals for too little room at a service that a request needs: the
# share of its calls that are answered.
CALLEE_INPUT = 'callee_answered'
STANDING_NAMES = {one: one.name.lower() for one in requests.Standing}
# Slack is observed up to this time; requests without an objective have more.
MAX_SLACK_S = 10.0


class OpenRuns:
    """Requests that are at the target, and how many of them are repeats.

    ``find_id`` returns the id by which the target knows a request.
    ``callees`` has what the runs call.
    """

    def __init__(self, find_id=lambda head: head.request_id):
        self._find_id = find_id
        self._heads = {}
        self.callees = calleehealth.CalleeHealth()
        self._count = 0
        self._repeats = 0.0

    @property
    def repeat_share(self) -> float:
        """Return the probability that one of them exists due to a retry.

        It is also that of a call which the target makes now.
        """
        if not self._count:
            return 0.0
        return min(1.0, max(0.0, self._repeats / self._count))

    def find(self, run_id: str) -> requests.Head | None:
        """Return the request that the target knows by an id, if it runs."""
        return self._heads.get(run_id)

    def record_call(
        self,
        service: str,
        reply: requests.Answer | requests.Refusal,
        now: float,
    ) -> None:
        """Record how a call that a run has made to a service has ended."""
        match reply:
            case requests.Refusal(code=code) if code in NO_ROOM_CODES:
                self.callees.record_outcome(service, False, now)
            case requests.Answer(status=status):
                self.callees.record_outcome(service, status < 500, now)

    @contextlib.contextmanager
    def include(self, head: requests.Head):
        """Count the request until the context ends."""
        run_id = self._find_id(head)
        self._heads[run_id] = head
        self.callees.add_run(head.route)
        self._count += 1
        self._repeats += head.repeat_share
        try:
            yield
        finally:
            self._count -= 1
            self._repeats -= head.repeat_share
            # A repeat of the same request may run here too.
            if self._heads.get(run_id) is head:
                del self._heads[run_id]


@dataclasses.dataclass(slots=True)
class Ports:
    """Dependencies, and ``misses``, the count of consecutive missing answers.

    ``answered_start`` is when the latest request that was answered had been
    sent, in boot-clock seconds.
    ``holdings`` is a HoldingsView, ``lines`` a logger that limits the rate of
    its messages. ``clock`` returns boot-clock seconds. ``answers`` counts
    large answers on the line; it is None if the line's speed is unknown.
    ``is_stopping`` returns whether this node stops as planned.
    """

    states: porting.StateView
    scheduler: porting.Task
    lease: porting.Task
    holdings: object
    target: object
    lines: object
    metrics: object
    clock: object
    misses: int = 0
    answered_start: float = 0.0
    open_runs: OpenRuns = dataclasses.field(default_factory=OpenRuns)
    answers: largeanswers.Ports | None = None
    is_stopping: collections.abc.Callable = lambda: False


async def host_request(
    ports: Ports, head: requests.Head, body: bytes, is_local: bool = False
) -> requests.Answer | requests.Refusal:
    """Run a request at the local target; returns Answer or Refusal.

    ``is_local`` is set for a request that began at this node, which has
    promised its answer to the line already.
    """
    refusal = find_key_refusal(ports, head) or _find_callee_refusal(
        ports, head, is_counted=True
    )
    if refusal is None:
        answers = None if is_local else ports.answers
        reply = await _run_with_permit(ports, answers, head, body)
    else:
        reply = dataclasses.replace(refusal, load=ports.scheduler.load)
    ports.metrics.target_requests.inc(describe_reply(reply))
    if (
        isinstance(reply, requests.Refusal)
        and reply.outcome is requests.Outcome.NOT_RUN
    ):
        count_refusal(ports, head, reply)
    return reply


def count_refusal(ports: Ports, head, refusal: requests.Refusal) -> None:
    """Count a request that has not run, by its urgency and the reason."""
    is_callee = CALLEE_INPUT in dict(refusal.inputs)
    reason = 'no-callee' if is_callee else refusal.code.value
    ports.metrics.work_refusals.inc(
        {**_describe_urgency(head), 'reason': reason}
    )


def _describe_urgency(head) -> dict:
    return {'rank': str(head.rank), 'standing': STANDING_NAMES[head.standing]}


def describe_reply(reply: requests.Answer | requests.Refusal) -> dict:
    """Return the labels by which a reply is counted.

    ``refused_by`` tells refusals of the target from those of its node.
    """
    match reply:
        case requests.Refusal():
            refuser = 'target' if reply.reached_target else 'node'
            return {'outcome': reply.code.value, 'refused_by': refuser}
        case requests.Answer():
            return {'outcome': 'answered', 'refused_by': ''}


async def check_admission(
    ports: Ports, head: requests.Head
) -> gating.AdmissionEstimate:
    """Estimate whether the target would refuse a request now.

    The request is neither run nor queued.
    """
    refusal = find_key_refusal(ports, head) or _find_callee_refusal(
        ports, head, is_counted=False
    )
    if refusal is not None:
        return gating.AdmissionEstimate(refusal, 0.0)
    if ports.answers is not None:
        refusal = await largeanswers.find_refusal(
            ports.answers, head, _estimate_answer_time(ports, head)
        )
        if refusal is not None:
            return gating.AdmissionEstimate(refusal, 0.0)
    return await ports.scheduler.ask(gating.CheckAdmission(head))


def is_ranged(ports: Ports, head) -> bool:
    """Return whether the request's service is routed by key ranges."""
    service = ports.states.current.services.get(head.service)
    return service is not None and service.routing is state.Routing.RANGE


def find_key_refusal(ports: Ports, head) -> requests.Refusal | None:
    """Return a refusal if the target may not get the request's key."""
    if head.service not in ports.states.current.services:
        # A new process may know the fleet before the configuration. Then it
        # knows neither the limit of a cold target nor who owns a key.
        return refuse(
            requests.Code.NO_TARGET,
            'the service is not declared at this node yet; retry',
            retry_after_s=RETRY_AFTER_S,
        )
    if not is_ranged(ports, head):
        return None
    key, now = ranges.parse_key(head.route_key), ports.clock()
    if key is None:
        # A node of another version may send what this one would not.
        return refuse(
            requests.Code.ROUTE_KEY_MISSING,
            'the request has no key in range; send one',
        )
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


def _find_callee_refusal(
    ports, head, is_counted: bool
) -> requests.Refusal | None:
    """Return a refusal if the calls of a run would find no room.

    A call of a running request is not refused, since work has been done for
    it. With organisations, fairness between them decides instead.
    ``is_counted`` is set for the last decision before the start.
    """
    if head.standing is requests.Standing.BEGUN:
        return None
    if ports.states.current.organisations:
        return None
    callees, now = ports.open_runs.callees, ports.clock()
    if not callees.is_short:
        return None
    lack = callees.find_lack(head.route, now)
    if is_counted:
        callees.count_decision(head.route, lack is None, now)
    if lack is None:
        return None
    inputs = ((CALLEE_INPUT, round(lack.answered, 2)),)
    ports.lines.log_message(
        'gate: request refused',
        request=head.request_id,
        route=head.route,
        rank=head.rank,
        reason='its calls find no room',
        callee=lack.service,
        **dict(inputs),
    )
    return refuse(
        requests.Code.OVERLOADED,
        'a service that it needs has no room; retry later',
        retry_after_s=workorder.choose_retry_delay(
            calleehealth.RETURN_S, head.deadline - now, head.request_id
        ),
        inputs=inputs,
    )


async def _run_with_permit(ports, answers, head, body):
    """Acquire a permit, send the request and release the permit."""
    if answers is None:
        return await _admit_and_send(ports, head, body)
    # The line is asked first: an answer that cannot leave needs no permit.
    promised = await largeanswers.promise_answer(
        answers, head, _estimate_answer_time(ports, head)
    )
    if isinstance(promised, requests.Refusal):
        return dataclasses.replace(promised, load=ports.scheduler.load)
    reply = None
    try:
        reply = await _admit_and_send(ports, head, body)
        return reply
    finally:
        largeanswers.settle_answer(answers, head, promised, reply)


def _estimate_answer_time(ports, head) -> float:
    """Return the earliest boot-clock time of the answer to a request."""
    return ports.clock() + ports.scheduler.estimate_min_time(head.route)


async def _admit_and_send(ports, head, body):
    report = SendReport()
    try:
        permit = await _acquire_permit(ports, head)
        refusal = permit if isinstance(permit, requests.Refusal) else None
        if refusal is None:
            # The key may have been released while the request was queued.
            refusal = find_key_refusal(ports, head)
        if refusal is not None:
            return dataclasses.replace(refusal, load=ports.scheduler.load)
        _record_start(ports, head)
        with ports.open_runs.include(head):
            report.expected_s = permit.expected_run_s
            return await _send(ports, head, body, report)
    finally:
        ports.scheduler.tell_reliably(
            gating.WorkFinished(
                head.request_id,
                report.taken_s,
                report.shed,
                report.slowness,
                report.is_dropped,
                # The target stops work at the deadline at the latest; it
                # drops other requests when their connection closes.
                head.deadline if report.is_stuck else 0.0,
            )
        )


def _record_start(ports, head) -> None:
    slack_s = min(MAX_SLACK_S, max(0.0, head.objective - ports.clock()))
    ports.metrics.observe(
        'start_slack_seconds', slack_s, **_describe_urgency(head)
    )


async def _acquire_permit(ports, head) -> gating.Admitted | requests.Refusal:
    """Wait for a permit of the target."""
    # The scheduler starts no request that has less time left than this.
    least_s = ports.scheduler.estimate_min_time(head.route)
    started = ports.clock()
    left_s = head.deadline - least_s - started
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            reply = await ports.scheduler.ask(gating.Admit(head))
    except TimeoutError:
        return _refuse_too_late(ports, started, least_s)
    except asyncio.CancelledError as error:
        raise errors.CancelledBeforeStart from error
    except (errors.InboxFull, errors.TaskStopped) as error:
        return refuse(requests.Code.OVERLOADED, str(error), retry_after_s=1.0)
    now = ports.clock()
    ports.metrics.observe('queue_seconds', now - started)
    if isinstance(reply, gating.Admitted) and now + least_s > head.deadline:
        # It would end without an answer, and then it might have run.
        return _refuse_too_late(ports, started, least_s)
    return reply


def _refuse_too_late(ports, started, least_s) -> requests.Refusal:
    return refuse(
        requests.Code.DEADLINE,
        'too little time was left after the wait for a place',
        retry_after_s=RETRY_AFTER_S,
        inputs=(
            ('waited_s', round(ports.clock() - started, 3)),
            ('least_s', round(least_s, 3)),
        ),
    )


@dataclasses.dataclass(slots=True)
class SendReport:
    """What is reported when a request's permit is released.

    ``taken_s`` is None without an answer. ``shed`` is set if the target
    itself refused the request. ``slowness`` as in requests.TargetReport,
    ``is_dropped`` as in gating.WorkFinished. ``is_stuck`` is set if the target
    may still hold a request that was given up.
    """

    taken_s: float | None = None
    shed: bool = False
    slowness: float | None = None
    is_dropped: bool = False
    expected_s: float = math.inf
    is_stuck: bool = False


async def _send(ports, head, body, report):
    """Send the request to the target; returns Answer or Refusal.

    If no answer arrives after the request may have been sent, the outcome
    in the refusal is UNKNOWN.
    """
    started = ports.clock()
    give_up = concurrencylimit.find_give_up_time(
        report.expected_s, started, head.deadline, head.repeatable
    )
    try:
        async with asyncio.timeout(head.deadline - started) as limit:
            with _watch_for_drop(ports, limit, started, give_up, head):
                reply = await ports.target.send(head, body)
    except errors.PeerConnectionLost as error:
        report.is_dropped = isinstance(error, errors.TargetClosedUnanswered)
        _count_miss(ports)
        return _refuse_as_lost(ports, head, str(error))
    except TimeoutError:
        waited_s = ports.clock() - started
        run_s = ports.scheduler.find_measured_time(head.route)
        report.is_dropped = report.is_stuck = (
            waited_s
            >= concurrencylimit.find_late_s(max(run_s, report.expected_s))
            and ports.answered_start > started
        )
        _count_miss(ports)
        reason = 'no answer within the deadline'
        if ports.clock() < head.deadline:
            reason = f'no answer within {waited_s:.2f} s, others got theirs'
        return _refuse_as_lost(ports, head, reason)
    except errors.PeerUnavailable as error:
        if isinstance(error, errors.TargetConnectionRefused):
            ports.lease.tell(leasing.TargetUnreachable())
        if not isinstance(error, errors.TargetNotConnectedInTime):
            ports.scheduler.tell(leasing.TargetUnreachable())
        return refuse(
            requests.Code.NO_TARGET,
            str(error),
            retry_after_s=RETRY_AFTER_S,
        )
    ports.misses = 0
    ports.answered_start = max(ports.answered_start, started)
    if reply.report is not None:
        report.slowness = reply.report.slowness
    if isinstance(reply, requests.Refusal):
        report.shed = reply.code is requests.Code.SHED
        key = ranges.parse_key(head.route_key)
        if (
            reply.code is requests.Code.NOT_OWNER
            and key is not None
            and is_ranged(ports, head)
        ):
            ports.lease.tell(leasing.KeyNotHeld(key))
        return dataclasses.replace(reply, load=ports.scheduler.load)
    report.taken_s = ports.clock() - started
    ports.metrics.observe('target_seconds', report.taken_s)
    if report.slowness is not None:
        beyond_s = max(0.0, report.taken_s - report.expected_s)
        ports.metrics.observe('beyond_expected_seconds', beyond_s)
    return dataclasses.replace(reply, load=ports.scheduler.load)


def _watch_for_drop(ports, limit, started, give_up, head):
    """Return a context that ends ``limit`` early if the target drops it."""
    if give_up >= head.deadline:
        return NOT_WATCHED
    watch = DropWatch(ports, limit, started, head)
    watch.schedule(give_up - started)
    return watch


NOT_WATCHED = contextlib.nullcontext()


class DropWatch:
    """Ends a timeout once a late request counts as dropped.

    That is when the target has answered a request that was sent later, and
    this one takes many times the time that was measured by then. A planned
    stop of the node at which the request began breaks nothing off: the target
    may be slow, and work on it.
    """

    def __init__(self, ports, limit: asyncio.Timeout, started: float, head):
        self._ports = ports
        self._limit = limit
        self._started = started
        self._head = head
        self._timer = None

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self._timer.cancel()

    def schedule(self, delay_s: float) -> None:
        """Check after a time."""
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._check
        )

    def _check(self) -> None:
        if self._limit.expired():
            # At the deadline both timers may be due in one pass of the loop.
            return
        if self._is_dropped() and not self._is_requester_stopping():
            self._limit.reschedule(asyncio.get_running_loop().time())
        else:
            self.schedule(concurrencylimit.RECHECK_S)

    def _is_dropped(self) -> bool:
        ports, head = self._ports, self._head
        if ports.answered_start <= self._started:
            return False
        # When the request was sent, a new process had measured nothing.
        give_up = concurrencylimit.find_give_up_time(
            ports.scheduler.find_measured_time(head.route),
            *(self._started, head.deadline, head.repeatable),
        )
        return give_up <= ports.clock() < head.deadline

    def _is_requester_stopping(self) -> bool:
        if not self._head.requester:
            return self._ports.is_stopping()
        members = self._ports.states.current.members
        requester = members.get(self._head.requester)
        return requester is not None and requester.stopping


def _count_miss(ports) -> None:
    ports.misses += 1
    if ports.misses >= MAX_CONSECUTIVE_MISSES:
        ports.misses = 0
        ports.target.close_idle()


def _refuse_as_lost(ports, head, reason) -> requests.Refusal:
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
