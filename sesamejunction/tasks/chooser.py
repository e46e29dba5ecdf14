"""Actor that picks the node for each attempt of a request."""

import asyncio
import random

from hdrh import histogram

from sesamejunction.border import logs
from sesamejunction.decisions import loadbalancing
from sesamejunction.decisions import retrybudget
from sesamejunction.model import choosing
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.queries import routes
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import finishchoices

# One significant digit is precise enough for the hedging delay and makes
# reading the percentile cheap. Longer latencies are counted as MAX_LATENCY_US.
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 1
HEDGE_PERCENTILE = 95
# The percentile is recalculated, and the histogram reset, after this many
# samples.
SAMPLES_PER_PERCENTILE = 64
# With a shorter hedging delay the second attempt costs more than it saves.
MIN_HEDGE_DELAY_S = 0.002
# Part of the credit that retries of a reason leave to others. A hedged attempt
# only shortens the wait for an answer that may still come.
RESERVED_CREDIT = {choosing.RetryReason.LATE: 0.5}
# Statistics of targets without an attempt. Creating them for each of 44
# targets would take 35 us for each choice.
NO_STATS = loadbalancing.TargetStats()


class Latencies:
    """Percentile of a service's latency up to the response head.

    ``percentile_s`` is None until enough latencies are recorded.
    """

    def __init__(self):
        self._histogram = histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._count = 0
        self.percentile_s = None

    def record(self, latency_s: float) -> None:
        """Add one latency in seconds."""
        micros = min(MAX_LATENCY_US, max(1, int(latency_s * 1e6)))
        self._histogram.record_value(micros)
        self._count += 1
        if self._count < SAMPLES_PER_PERCENTILE:
            return
        percentile_us = self._histogram.get_value_at_percentile(
            HEDGE_PERCENTILE
        )
        self.percentile_s = max(MIN_HEDGE_DELAY_S, percentile_us / 1e6)
        self._histogram.reset()
        self._count = 0


class Chooser(actor.Actor):
    """Chooses the owner or the least loaded target for each attempt.

    It also holds the retry budget of each service, and the latency
    percentiles that set the delay of hedged attempts. Results of attempts
    update the statistics of the targets. ``count_retry`` is called with the
    labels of each retry that was allowed or denied. ``retry_limits`` are the
    operators' limits for the whole fleet. ``waits`` asks other nodes for
    expected waits (tasks/waitquestions), None for the choice without them.
    """

    name = 'chooser'

    def __init__(
        self,
        incarnation: int,
        zone: str,
        draw=random.randrange,
        count_retry=lambda labels: None,
        retry_limits: retrybudget.Limits = retrybudget.DEFAULT_LIMITS,
        waits=None,
        count_choice=lambda labels: None,
    ):
        super().__init__()
        self._incarnation = incarnation
        self._zone = zone
        self._draw = draw
        self._state = state.State()
        self._ended = set()
        self._silent = frozenset()
        # By service, the targets of the state that accept work.
        self._targets = {}
        self._target_stats = {}
        self._latencies = {}
        self._budgets = {}
        self._retry_limits = retry_limits
        self._count_retry = count_retry
        self._logger = logs.ThrottledLogger()
        self._finish_choices = finishchoices.FinishChoices(
            incarnation, zone, waits, draw, count_choice
        )

    async def handle(self, message):
        """Handle one message."""
        match message:
            case choosing.ChooseCandidate():
                return self._choose(message)
            case choosing.AttemptEnded():
                self._record_result(message)
            case choosing.WaitsAnswered(choice=choice, answers=answers):
                self._finish_choices.take_answers(choice, answers)
                # If the request has ended, its attempt would never end.
                if not choice.reply.done():
                    choice.reply.set_result(self._decide(choice))
            case choosing.TakeRetry():
                return self._take_retry(message)
            case choosing.ReturnRetry(service=service):
                self._return_retry(service)
            case journaling.StateChanged(state=current):
                self._apply_state(current)
            case owning.MemberEnded(incarnation=incarnation):
                self._ended.add(incarnation)
            case owning.MembersSilent(incarnations=silent):
                self._silent = silent

    def _find_budget(self, service, now) -> retrybudget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retrybudget.open_budget(self._retry_limits, now)
        return budget

    def _count_request(self, head) -> None:
        """Add a request to its service's budget.

        A request that a retry may have caused, such as a call of a target
        that runs one, is charged as a retry in part.
        """
        now = clock.read_boot_clock()
        limits, members = self._retry_limits, len(self._state.members)
        budget = retrybudget.add_request(
            self._find_budget(head.service, now), limits, members, now
        )
        if head.repeat_share > 0:
            budget = retrybudget.charge_retry(
                budget, limits, members, now, head.repeat_share
            )
        self._budgets[head.service] = budget

    def _take_retry(self, message) -> bool:
        now = clock.read_boot_clock()
        self._budgets[message.service], allowed = retrybudget.take_retry(
            self._find_budget(message.service, now),
            self._retry_limits,
            len(self._state.members),
            now,
            RESERVED_CREDIT.get(message.reason, 0.0),
        )
        labels = {
            'service': message.service,
            'reason': message.reason.value,
            'outcome': 'allowed' if allowed else 'denied',
        }
        self._count_retry(labels)
        if not allowed:
            self._logger.log_message(
                'caller: retry denied',
                request=message.request_id,
                service=message.service,
                reason=message.reason.value,
                credit=round(self._budgets[message.service].credit, 2),
                members=len(self._state.members),
            )
        return allowed

    def _return_retry(self, service) -> None:
        budget = self._budgets.get(service)
        if budget is not None:
            self._budgets[service] = retrybudget.return_retry(budget)

    def _apply_state(self, current):
        self._state = current
        self._targets = {}
        self._ended.intersection_update(current.members)
        for gone in self._target_stats.keys() - current.members.keys():
            del self._target_stats[gone]
        self._finish_choices.forget_gone(current)
        for gone in self._latencies.keys() - current.services.keys():
            del self._latencies[gone]
        for gone in self._budgets.keys() - current.services.keys():
            del self._budgets[gone]

    def _choose(self, message):
        head = message.head
        service = self._state.services.get(head.service)
        if service is None:
            return choosing.NoCandidate('the service was removed', True)
        if message.first:
            self._count_request(head)
        if routes.needs_owner(service, head):
            return self._choose_owner(service, message)
        return self._choose_target(service, message)

    def _choose_owner(self, service, message):
        key = routes.find_placement_key(service, message.head)
        candidates = [
            candidate
            for candidate in routes.list_owners(self._state, service, key)
            if candidate.member.incarnation not in self._ended
        ]
        untried = [
            candidate
            for candidate in candidates
            if candidate.member.incarnation not in message.tried
        ]
        if message.owner is not None:
            for candidate in untried:
                if routes.format_address(candidate.member) == message.owner:
                    return choosing.Chosen(candidate)
        untried = [
            candidate
            for candidate in untried
            if candidate.member.incarnation not in self._silent
        ]
        if untried:
            return choosing.Chosen(untried[0])
        if candidates and service.routing is state.Routing.RANGE:
            owner = candidates[0].member
            if owner.incarnation in self._silent:
                return choosing.NoCandidate(
                    f'{owner.name}, which owns the key, is silent', True
                )
        return choosing.NoCandidate('no node owns the key now')

    def _choose_target(self, service, message):
        targets = {
            target.member.incarnation: target
            for target in self._list_targets(service)
            if target.member.incarnation not in self._ended
            and target.member.incarnation not in self._silent
        }
        untried = {
            member_id: self._find_stats(member_id)
            for member_id in targets
            if member_id not in message.tried
        }
        if not untried:
            # A silent target may answer soon. Without a registered one,
            # waiting is in vain.
            is_gone = not any(
                member.service == service.name
                for member in self._state.members.values()
            )
            return choosing.NoCandidate(
                'no target takes this now', is_gone or bool(message.tried)
            )
        if self._finish_choices.apply_to(self._state, service, targets):
            return self._choose_by_finish(message, targets, untried)
        zones = {
            member_id: targets[member_id].member.zone for member_id in untried
        }
        best = loadbalancing.choose_target(
            *(untried, zones, self._zone, self._draw),
            clock.read_boot_clock(),
        )
        return self._start_attempt(
            service.name, targets[best], len(untried) > 1
        )

    def _list_targets(self, service) -> list[requests.Candidate]:
        """Return the targets that accept work, as the state declares them."""
        targets = self._targets.get(service.name)
        if targets is None:
            targets = routes.list_targets(self._state, service)
            self._targets[service.name] = targets
        return targets

    def _start_attempt(self, service, candidate, has_other):
        """Record an attempt at the candidate and return it as chosen."""
        member_id = candidate.member.incarnation
        self._target_stats[member_id] = loadbalancing.start_attempt(
            self._find_stats(member_id)
        )
        latencies = self._latencies.get(service)
        hedge_delay_s = (
            latencies.percentile_s if latencies and has_other else None
        )
        return choosing.Chosen(candidate, hedge_delay_s)

    def _choose_by_finish(self, message, targets, untried):
        """Return the target chosen, or its future while nodes are asked."""
        head = message.head
        eligible = loadbalancing.list_not_ejected(
            untried, clock.read_boot_clock()
        )
        choice = self._finish_choices.begin(
            *(head, {one: targets[one] for one in eligible}),
            len(untried) > 1,
        )
        if not choice.stale:
            return self._decide(choice)
        choice.reply = asyncio.get_running_loop().create_future()
        self._finish_choices.ask(
            choice,
            lambda answers: self.tell_reliably(
                choosing.WaitsAnswered(choice, answers)
            ),
        )
        return choice.reply

    def _decide(self, choice):
        best = self._finish_choices.decide(choice, self._find_stats)
        return self._start_attempt(
            choice.service, choice.candidates[best], choice.has_other
        )

    def _find_stats(self, member_id) -> loadbalancing.TargetStats:
        return self._target_stats.get(member_id, NO_STATS)

    def _record_result(self, message):
        if message.latency_s is not None:
            latencies = self._latencies.get(message.service)
            if latencies is None:
                latencies = self._latencies[message.service] = Latencies()
            latencies.record(message.latency_s)
        if message.load is not None and message.load.work_s is not None:
            self._finish_choices.note_report(message.incarnation)
        stats = self._target_stats.get(message.incarnation)
        if stats is None:
            return
        self._target_stats[message.incarnation] = loadbalancing.end_attempt(
            stats, message, clock.read_boot_clock()
        )
