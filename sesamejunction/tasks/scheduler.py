"""Actor that schedules the requests for the target beside this node."""

import asyncio
import bisect
import collections
import dataclasses
import math

import eliot

from sesamejunction.border import logs
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import coldstart
from sesamejunction.decisions import concurrencylimit
from sesamejunction.decisions import keyload
from sesamejunction.decisions import scheduling
from sesamejunction.decisions import timers
from sesamejunction.decisions import workorder
from sesamejunction.model import choosing
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import gaterefusals

# Time after which new requests to a leaving target are refused; the platform
# allows 2 s.
LEAVE_GRACE_S = 1.0
# After a refused connection the target may have restarted, so it is treated as
# cold for this time.
SUSPECTED_COLD_S = 1.2
# A node that is replaced finishes its requests and restarts within about this
# time; after that the keys of its target are served again.
RESTART_S = 1.0
# Interval of checks for queued requests that can no longer start in time. As
# waits are tenths of a second, such requests are refused soon enough.
CHECK_INTERVAL_S = 0.05
IDLE_S = 1.0

refuse = porting.refuse


class Scheduler(actor.Actor):
    """Limits concurrency at the target and owns its request queue.

    ``holdings`` is the view of the key ranges granted to the target. New work
    is accepted for ``leave_grace_s`` after the target, and for
    ``zone_grace_s`` after its zone is taken out of service.
    """

    name = 'gate'
    tick_s = IDLE_S

    def __init__(
        self,
        service: str,
        holdings,
        clock=clock.read_boot_clock,
        leave_grace_s: float = LEAVE_GRACE_S,
        zone_grace_s: float = timing.ZONE_OUT_GRACE_S,
    ):
        super().__init__()
        self._leave_grace_s = leave_grace_s
        self._zone_grace_s = zone_grace_s
        self._holdings = holdings
        self._logger = logs.ThrottledLogger()
        self._keys = keyload.KeyLoad()
        self._service = service
        self._clock = clock
        self._state = state.State()
        self._target_status = leasing.TargetStatus(None, 0, float('-inf'))
        self._running = {}
        self._times = scheduling.ServiceTimes(clock)
        self._queue = workorder.WorkQueue(self._times)
        self._wait_factors = collections.defaultdict(scheduling.WaitFactor)
        self._created_at = clock()
        self._has_started_work = False
        self._cold_window = coldstart.ColdWindow(self._created_at)
        self._cold_period = coldstart.ColdPeriod(self._cold_window)
        self._limit = concurrencylimit.ConcurrencyLimit()
        # Boot-clock times until which the target may still run requests that
        # were given up, ascending.
        self._abandoned_ends = []
        self._suspect_until = float('-inf')
        self._start_timer = None
        self._stopping = False
        self._expected_bodies = 0

    @property
    def load(self) -> requests.Load:
        """Return the target's load as known to this node.

        Requests whose bodies have not arrived yet count as queued.
        """
        queued = len(self._queue) + self._expected_bodies
        work_s = None
        if self._times.reports_speed:
            work_s = self._times.estimate_work(
                self._running.values(), queued, self.limit
            )
        return requests.Load(
            len(self._running),
            queued,
            self._target_status.slots,
            self._times.mean,
            work_s,
        )

    def estimate_min_time(self, route: str) -> float:
        """Return the seconds that a request must have left to be started."""
        return self._times.expect(route) * scheduling.MIN_START_FRACTION

    def estimate_wait(self, route: str) -> choosing.ExpectedWait:
        """Return the expected wait of one more request of a route."""
        now = self._clock()
        slots = self.limit
        if slots < 1 or self._find_refusal(now) is not None:
            return choosing.ExpectedWait(math.inf, 0.0, slots)
        load = self.load
        work_s = load.work_s
        # Requests that were given up hold places, but not for a known time.
        slots = max(1, slots - self.abandoned_count)
        if work_s is None:
            work_s = (load.in_flight + load.queued) * load.latency_s
        wait_s = work_s / slots
        send_rate = self._find_send_rate(now)
        wait_s = max(wait_s, send_rate.estimate_wait(load.queued))
        return choosing.ExpectedWait(wait_s, self._times.expect(route), slots)

    async def handle(self, message):
        """Handle one message."""
        match message:
            case gating.Admit(head=head):
                return self._admit(head)
            case gating.CheckAdmission(head=head):
                return self._estimate_admission(head)
            case gating.PendingBodyCount(count=count):
                self._expected_bodies = count
            case gating.WorkFinished():
                self._finish_request(message)
            case gating.StopAdmitting():
                self._stopping = True
            case leasing.TargetStatus():
                if message.life != self._target_status.life:
                    self._limit = concurrencylimit.ConcurrencyLimit()
                    self._abandoned_ends = []
                self._target_status = message
                self._note_cold_period(self._clock())
                self._start_waiting()
            case leasing.TargetUnreachable():
                now = self._clock()
                self._suspect_until = now + SUSPECTED_COLD_S
                self._note_cold_period(now)
            case StartWaiting():
                self._start_waiting()
            case leasing.AskKeyLoad():
                return self._report_keys()
            case journaling.StateChanged(state=current):
                self._set_state(current)

    async def tick(self) -> None:
        """Refuse queued requests whose wait has become too long."""
        self._note_cold_period(self._clock())
        self._refuse_late()
        self.tick_s = CHECK_INTERVAL_S if self._queue else IDLE_S

    def _set_state(self, current) -> None:
        """Take the state; organisations are served by fair queueing."""
        is_fair = bool(current.organisations)
        if is_fair is not bool(self._state.organisations):
            order = scheduling.RankedQueue if is_fair else workorder.WorkQueue
            waiting, self._queue = self._queue.drain(), order(self._times)
            for pending_request in waiting:
                self._queue.push(pending_request, self._clock())
        self._state = current
        self._note_cold_period(self._clock())

    def _report_keys(self) -> leasing.KeyLoadReport:
        return leasing.KeyLoadReport(
            self._keys.list_segments(self._holdings.rows, self._clock()),
            keyload.estimate_capacity(
                self._target_status.slots, self._times.lasting_mean
            ),
        )

    def _admit(self, head):
        now = self._clock()
        key = ranges.parse_key(head.route_key)
        if key is not None:
            self._keys.add(key, now)
        refusal = self._find_refusal(now)
        if refusal is not None:
            return refusal
        pending_request = self._build_pending_request(head)
        if not self._queue and self._find_start_delay(now) == 0.0:
            return self._start(pending_request, now)
        if head.request_id in self._queue:
            return refuse(
                requests.Code.REQUEST_BAD,
                'a request with this id is waiting; use a new id',
            )
        self._queue.add_arrival(pending_request)
        refusal = self._find_overload(pending_request, now)
        return refusal or self._enqueue(pending_request, now)

    def _estimate_admission(self, head) -> gating.AdmissionEstimate:
        now = self._clock()
        refusal = self._find_refusal(now)
        if refusal is None and (
            self._queue or self._find_start_delay(now) > 0.0
        ):
            refusal = self._find_overload(
                self._build_pending_request(head), now
            )
        return gating.AdmissionEstimate(
            refusal, self._times.expect(head.route)
        )

    def _build_pending_request(self, head) -> scheduling.PendingRequest:
        organisation = self._state.organisations.get(head.organisation)
        return scheduling.PendingRequest(
            head.request_id,
            head.organisation,
            head.route,
            head.rank,
            head.deadline,
            organisation.weight if organisation else 1.0,
            None,
            head.objective,
            head.standing,
        )

    def _find_refusal(self, now) -> requests.Refusal | None:
        """Return a refusal if no new request may be admitted now."""
        if self._stopping:
            return refuse(
                requests.Code.STOPPING,
                'the node stops; send to another one or come back',
                retry_after_s=RESTART_S,
            )
        return self._find_status_refusal(now)

    def _find_status_refusal(self, now) -> requests.Refusal | None:
        """Return a refusal if the target is absent, leaving or out."""
        return gaterefusals.find_status_refusal(
            *(self._target_status, now),
            *(self._leave_grace_s, self._zone_grace_s),
        )

    def find_measured_time(self, route: str) -> float:
        """Return the expected run time of a route, inf if none is measured."""
        return self._times.find_measured(route)

    @property
    def limit(self) -> int:
        """Return how many requests may be at the target at once."""
        slots = self._target_status.slots
        return slots if self._is_fair else self._limit.find(slots)

    @property
    def _is_fair(self) -> bool:
        """Return whether fairness between organisations decides.

        Then targets are expected to take as long as they did, whatever they
        report, and hold as many requests as they have slots.
        """
        return bool(self._state.organisations)

    @property
    def reports_speed(self) -> bool:
        """Return whether the target has ever reported its slowness."""
        return self._times.reports_speed

    @property
    def slowness(self) -> float:
        """Return how many times slower than usual the target is now."""
        return self._times.slowness

    @property
    def abandoned_count(self) -> int:
        """Return how many given-up requests the target may still run."""
        ends, now = self._abandoned_ends, self._clock()
        while ends and ends[0] <= now:
            ends.pop(0)
        return len(ends)

    def _find_start_delay(self, now) -> float:
        """Return the seconds until a request may start, inf if full."""
        room = self.limit - len(self._running)
        if room <= 0:
            return float('inf')
        if self._abandoned_ends and self.abandoned_count >= room:
            return self._abandoned_ends[-room] - now
        return self._find_send_rate(now).delay_s

    def _find_send_rate(self, now) -> coldstart.SendRate:
        """Return how fast the target may get requests."""
        rate = self._find_cold_rate(now)
        if not rate:
            return coldstart.UNLIMITED
        delay_s = self._cold_window.find_send_delay(rate, now)
        return coldstart.SendRate(rate, delay_s)

    def _is_cold(self, now) -> bool:
        return now < max(self._target_status.cold_until, self._suspect_until)

    def _find_cold_rate(self, now) -> float:
        """Return the requests per second of a cold target, 0 if not cold."""
        return self._declared_cold_rate if self._is_cold(now) else 0.0

    @property
    def _declared_cold_rate(self) -> float:
        declared_service = self._state.services.get(self._service)
        return declared_service.cold_rate if declared_service else 0.0

    @property
    def cold_rate(self) -> float:
        """Return the requests per second of a cold target, 0 if not cold."""
        return self._find_cold_rate(self._clock())

    @property
    def sent_count(self) -> int:
        """Return the number of requests sent in the last second."""
        return self._cold_window.count(self._clock())

    def _note_cold_period(self, now) -> None:
        """Log the beginning and the end of the target's cold time."""
        match self._cold_period.update(
            self._is_cold(now), self._declared_cold_rate, now
        ):
            case coldstart.Began(rate=rate, sent_before=sent):
                self._log_cold_start(rate, sent, now)
            case coldstart.Ended(lasted_s=lasted_s, sent=sent, most=most):
                eliot.log_message(
                    'gate: target is no longer cold',
                    life=self._target_status.life,
                    lasted_s=round(lasted_s, 2),
                    sent=sent,
                    most_in_1s=most,
                )

    def _log_cold_start(self, rate, sent, now) -> None:
        status, source = self._target_status, leasing.ColdSource.UNREACHABLE
        until, told_at = self._suspect_until, now
        if status.cold_until >= until:
            until, source = status.cold_until, status.cold_source
            told_at = status.cold_told_at
        eliot.log_message(
            'gate: target is cold',
            life=status.life,
            source=source,
            told_age_s=round(now - told_at, 3),
            left_s=round(until - now, 2),
            # 0 while the declaration of the service is not known.
            rate=rate,
            sent_1s=sent,
            process_age_s=round(now - self._created_at, 2),
        )

    def _find_overload(self, pending_request, now) -> requests.Refusal | None:
        """Return a refusal if the expected wait exceeds the deadline."""
        ahead = self._queue.measure_ahead(pending_request, now)
        factor = self._find_factor(pending_request).value
        wait_s = scheduling.estimate_wait(
            ahead, self.limit, self._times.mean, factor
        )
        send_rate = self._find_send_rate(now)
        wait_s = max(wait_s, send_rate.estimate_wait(ahead.count))
        needed = wait_s + self._times.expect(pending_request.route)
        if now + needed <= pending_request.deadline:
            return None
        inputs = {
            'ahead': ahead.count,
            'work_s': round(ahead.work_s, 3),
            'running': len(self._running),
            'slots': self.limit,
            'cold': int(bool(send_rate.rate)),
            'factor': round(factor, 2),
            'needed_s': round(needed, 3),
        }
        return self._refuse_wait(
            pending_request,
            'the wait would pass the deadline; retry later',
            *(wait_s, now, inputs),
        )

    def _find_factor(self, pending_request) -> scheduling.WaitFactor:
        """Return the factor on the expected waits of a request's lane.

        Later requests of a higher rank delay the lower ones only. Between
        organisations all requests share one factor.
        """
        lane = None if self._is_fair else pending_request.lane
        return self._wait_factors[lane]

    def _refuse_wait(self, pending_request, message, wait_s, now, inputs):
        refusal = gaterefusals.refuse_wait(
            *(pending_request, message, wait_s, now, inputs),
            *(self._is_fair,),
        )
        self._logger.log_message(
            'gate: request refused',
            request=pending_request.request_id,
            route=pending_request.route,
            reason=message,
            **dict(refusal.inputs),
        )
        return refusal

    def _enqueue(self, pending_request, now) -> asyncio.Future:
        reply = asyncio.get_running_loop().create_future()
        self._queue.push(
            dataclasses.replace(pending_request, reply=reply), now
        )
        self._refuse_displaced(now)
        self._schedule_start(now)
        self.tick_within(CHECK_INTERVAL_S)
        return reply

    def _refuse_late(self) -> None:
        now = self._clock()
        late = scheduling.list_late(
            self._queue.list_waiting(now),
            self.limit,
            self._times,
            self._find_send_rate(now),
            now,
            self._queue.expect,
        )
        for overdue in late:
            self._refuse_overdue(overdue, now)

    def _refuse_displaced(self, now) -> None:
        """Refuse the last of each lane if a new request makes it late.

        This is cheap; the next review finds the others.
        """
        send_rate = self._find_send_rate(now)
        for last in self._queue.list_last():
            ahead = self._queue.measure_ahead(last, now)
            needed_s = scheduling.estimate_needed(
                *(last, ahead.count, ahead.work_s),
                *(self.limit, self._times, send_rate),
            )
            if now + needed_s > last.deadline:
                self._refuse_overdue(
                    scheduling.Late(last, ahead.count, needed_s), now
                )

    def _refuse_overdue(self, overdue, now) -> None:
        pending_request = overdue.pending_request
        self._queue.remove(pending_request.request_id)
        if pending_request.reply.done():
            return
        self._find_factor(pending_request).count_expiry()
        inputs = {
            'ahead': overdue.ahead,
            'running': len(self._running),
            'slots': self.limit,
            'needed_s': round(overdue.needed_s, 3),
        }
        wait_s = 0.0 if self._is_fair else overdue.needed_s
        pending_request.reply.set_result(
            self._refuse_wait(
                pending_request,
                'the wait has become too long; retry later',
                *(wait_s, now, inputs),
            )
        )

    def _start(self, pending_request, now) -> gating.Admitted:
        count = len(self._running) + 1
        if self._abandoned_ends:
            count += self.abandoned_count
        self._running[pending_request.request_id] = pending_request, now, count
        self._cold_window.add(now)
        self._note_sent(now)
        if self._is_fair:
            return gating.Admitted(self.load)
        return gating.Admitted(
            self.load, self._times.expect(pending_request.route)
        )

    def _note_sent(self, now) -> None:
        self._note_cold_period(now)
        self._cold_period.count_sent(now)
        # Also drops what is older than the window.
        sent = self._cold_window.count(now)
        if not self._has_started_work:
            self._has_started_work = True
            eliot.log_message(
                'gate: first request of this process',
                life=self._target_status.life,
                process_age_s=round(now - self._created_at, 2),
                cold=int(self._is_cold(now)),
                rate=self._declared_cold_rate,
                sent_1s=sent,
            )

    def _start_waiting(self) -> None:
        now = self._clock()
        refusal = self._find_status_refusal(now)
        if refusal is not None:
            for pending_request in self._queue.drain():
                if not pending_request.reply.done():
                    pending_request.reply.set_result(refusal)
            return
        while self._queue and self._find_start_delay(now) == 0.0:
            pending_request = self._queue.pop(now)
            if pending_request.reply.done():
                continue
            min_time_s = self.estimate_min_time(pending_request.route)
            if now + min_time_s > pending_request.deadline:
                self._find_factor(pending_request).count_expiry()
                pending_request.reply.set_result(
                    refuse(
                        requests.Code.DEADLINE,
                        'too little time is left to run it',
                        retry_after_s=gaterefusals.RETRY_AFTER_S,
                        inputs=(('least_s', round(min_time_s, 3)),),
                    )
                )
                continue
            self._find_factor(pending_request).count_start()
            pending_request.reply.set_result(self._start(pending_request, now))
        self._schedule_start(now)

    def _schedule_start(self, now) -> None:
        """Schedule the next start if no finished request will cause it.

        That is while a cold target may not take a request, or while all free
        places are held by requests that were given up.
        """
        if not self._queue:
            return
        delay_s = self._find_start_delay(now)
        if not 0.0 < delay_s < float('inf'):
            return
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = asyncio.get_running_loop().call_later(
            timers.round_up(delay_s), self.tell_reliably, StartWaiting()
        )

    def _finish_request(self, finished) -> None:
        waiting = self._queue.remove(finished.request_id)
        if waiting is not None:
            waiting.reply.cancel()
            min_time_s = self.estimate_min_time(waiting.route)
            # If time is left, the caller has gone away, which does not
            # count as an expiry.
            if self._clock() + min_time_s >= waiting.deadline:
                self._find_factor(waiting).count_expiry()
        started_request = self._running.pop(finished.request_id, None)
        if started_request is not None and (
            finished.latency_s is None or self._limit.is_learnt
        ):
            self._learn_limit(finished, started_request[2])
        slowness = None if self._is_fair else finished.slowness
        if slowness is not None:
            self._times.report_slowness(slowness)
        if started_request is not None and finished.latency_s is not None:
            self._times.record(
                started_request[0].route, finished.latency_s, slowness
            )
        elif started_request is not None:
            self._count_lost(started_request[0])
        if finished.shed:
            self._logger.log_message(
                'gate: target refused request',
                request=finished.request_id,
                running=len(self._running),
                slots=self._target_status.slots,
            )
        self._start_waiting()

    def _learn_limit(self, finished, count) -> None:
        """Adapt the limit to how a request ended.

        ``count`` is the number of requests that were at the target after it
        was sent.
        """
        now, slots = self._clock(), self._target_status.slots
        if self._is_fair:
            return
        if finished.occupied_until > now:
            bisect.insort(self._abandoned_ends, finished.occupied_until)
        if finished.latency_s is not None:
            self._limit.count_answer(slots)
            return
        if not (finished.shed or finished.is_dropped):
            return
        if self._limit.lower(count, slots, finished.shed, now):
            self._logger.log_message(
                'gate: limit lowered',
                request=finished.request_id,
                limit=round(self._limit.value, 2),
                at_target=count,
                slots=slots,
                refused=finished.shed,
            )

    def _count_lost(self, pending_request) -> None:
        """Count a wait that left too little time for the answer.

        Between organisations it would make more refusals late.
        """
        if pending_request.reply is None or self._is_fair:
            return
        if self._clock() >= pending_request.deadline:
            self._find_factor(pending_request).count_expiry()


class StartWaiting:
    """Sent by a timer when the target may take another request."""
