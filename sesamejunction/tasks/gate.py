"""Actor that admits requests to the target beside this node."""

import asyncio

from sesamejunction.decisions import admission
from sesamejunction.decisions import fairness
from sesamejunction.decisions import graceperiods
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


@valueclass.define
class WaitingRequest:
    """A queued request; ``deadline`` is in boot-clock seconds.

    ``reply`` resolves to Admitted or a Refusal.
    """

    organisation: str
    deadline: float
    reply: asyncio.Future | None = None


class Gate(actor.Actor):
    """Limits concurrency at the target and queues fairly by organisation."""

    name = 'gate'

    def __init__(self, incarnation: int = 0, clock=clock.read_boot_clock):
        super().__init__()
        self._incarnation = incarnation
        self._clock = clock
        self._state = state.State()
        self._admission = None
        self._target = None
        self._announced_at = float('-inf')
        self._out = graceperiods.Condition()
        self._stopping = False
        self._queue = fairness.FairQueue()
        self._waiting = {}
        self._running = set()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case gating.Admit(head=head):
                return self._admit(head)
            case gating.WorkFinished():
                self._finish_request(message)
            case gating.TargetAnnounced():
                self._take_announcement(message)
            case gating.GetLoad():
                return self._describe_load()
            case gating.StopAdmitting():
                self._stopping = True
            case journaling.StateChanged(state=current):
                self._apply_state(current)

    def _take_announcement(self, announced):
        now = self._clock()
        lost = now - self._announced_at > timing.ANNOUNCE_TIMEOUT_S
        if lost or announced != self._target:
            self._admission = admission.start_cold(
                announced.slots, announced.cold_slots
            )
        self._target = announced
        self._announced_at = now

    def _apply_state(self, current):
        self._state = current
        member = current.members.get(self._incarnation)
        if member is None:
            return
        out = state.Standing.OUT in (
            current.zones.get(member.zone),
            current.targets.get(member.name),
        )
        was_out = self._out.since is not None
        self._out.update(out, self._clock())
        if was_out and not out and self._admission is not None:
            self._admission = admission.reset_to_cold(self._admission)

    def _admit(self, head):
        now = self._clock()
        refusal = self._find_refusal(head, now)
        if refusal is not None:
            return refusal
        weight = self._find_weight(head.organisation)
        if len(self._running) < self._admission.limit and not self._queue:
            self._queue.charge(head.organisation, weight)
            self._running.add(head.request_id)
            return gating.Admitted(self._describe_load())
        return self._enqueue(head, weight, now)

    def _find_refusal(self, head, now):
        code = None
        if self._stopping:
            code, text = requests.Code.STOPPING, 'this node stops'
        elif (
            self._admission is None
            or now - self._announced_at > timing.ANNOUNCE_TIMEOUT_S
        ):
            code, text = requests.Code.NO_TARGET, 'the target is absent'
        elif (
            self._out.since is not None
            and now - self._out.since >= timing.ZONE_OUT_GRACE_S
        ):
            code, text = requests.Code.ZONE_OUT, 'taken out of service'
        elif head.deadline <= now:
            code, text = requests.Code.DEADLINE, 'the deadline has passed'
        return code and refuse(code, f'{text}; retry', 1.0)

    def _enqueue(self, head, weight, now):
        current_admission = self._admission
        ahead = self._queue.count_ahead(head.organisation, weight)
        wait = admission.estimate_wait(current_admission, ahead)
        if now + wait > head.deadline:
            return refuse(
                requests.Code.OVERLOADED,
                'the wait would pass the deadline; retry later',
                admission.suggest_retry_delay(current_admission, ahead),
            )
        if len(self._queue) >= current_admission.queue_limit:
            evicted = self._queue.evict_for(
                head.organisation, self._find_weight
            )
            if evicted is None:
                return self._refuse_full(ahead)
            self._resolve_reply(evicted, self._refuse_full(ahead))
        reply = asyncio.get_running_loop().create_future()
        self._queue.push(head.organisation, head.request_id, weight, reply)
        self._waiting[head.request_id] = WaitingRequest(
            head.organisation, head.deadline, reply
        )
        return reply

    def _refuse_full(self, ahead):
        return refuse(
            requests.Code.OVERLOADED,
            'the queue of the target is full; retry later',
            admission.suggest_retry_delay(self._admission, ahead),
        )

    def _finish_request(self, finished):
        waiting = self._waiting.pop(finished.request_id, None)
        if waiting is not None:
            self._queue.remove(waiting.organisation, finished.request_id)
            waiting.reply.cancel()
        elif finished.request_id in self._running:
            self._running.discard(finished.request_id)
            self._record_result(finished)
        if self._admission is not None:
            self._start_waiting()

    def _record_result(self, finished):
        if finished.shed:
            self._admission = admission.count_shed(
                self._admission, self._clock()
            )
        elif finished.latency_s is not None:
            self._admission = admission.count_answer(
                self._admission, finished.latency_s
            )

    def _start_waiting(self):
        now = self._clock()
        while self._queue and len(self._running) < self._admission.limit:
            queued = self._queue.pop()
            waiting = self._waiting[queued.request_id]
            if waiting.deadline <= now:
                expired_refusal = refuse(
                    requests.Code.DEADLINE, 'the deadline has passed', 0.0
                )
                self._resolve_reply(queued, expired_refusal)
            elif not waiting.reply.done():
                self._running.add(queued.request_id)
                self._resolve_reply(
                    queued, gating.Admitted(self._describe_load())
                )
            else:
                del self._waiting[queued.request_id]

    def _resolve_reply(self, queued, reply):
        del self._waiting[queued.request_id]
        if not queued.item.done():
            queued.item.set_result(reply)

    def _find_weight(self, organisation):
        declared = self._state.organisations.get(organisation)
        return declared.weight if declared else 1.0

    def _describe_load(self):
        current_admission = self._admission
        return requests.Load(
            len(self._running),
            len(self._queue),
            current_admission.limit if current_admission else 0,
            current_admission.short_s if current_admission else 0.0,
        )


def refuse(code, message, retry_after_s) -> requests.Refusal:
    """Return a refusal that states that the request did not run."""
    return requests.Refusal(
        code, requests.Outcome.NOT_RUN, message, retry_after_s=retry_after_s
    )
