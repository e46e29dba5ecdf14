"""Task that owns the table of loads, the retry budget and latencies."""

import random

from hdrh import histogram

from sesamejunction.decisions import attempts
from sesamejunction.decisions import loadbalancing
from sesamejunction.model import choosing
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import state
from sesamejunction.queries import routes
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# One digit is enough to time a second try, and makes reading the percentile
# cheap; longer times count as the longest.
LONGEST_US = 60_000_000
DIGITS = 1
SECOND_TRY_PERCENTILE = 95
# Samples before the percentile is used, and after which it is renewed.
SAMPLES = 64
# Below this a second try costs more than the wait that it saves.
SHORTEST_SECOND_S = 0.002


class Latencies:
    """Time to the answer's head of one service; renewed by halves."""

    def __init__(self):
        self._histogram = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
        self._count = 0
        self.percentile_s = None

    def record(self, latency_s: float) -> None:
        """Count one latency in seconds."""
        micros = min(LONGEST_US, max(1, int(latency_s * 1e6)))
        self._histogram.record_value(micros)
        self._count += 1
        if self._count < SAMPLES:
            return
        at = self._histogram.get_value_at_percentile(SECOND_TRY_PERCENTILE)
        self.percentile_s = max(SHORTEST_SECOND_S, at / 1e6)
        self._histogram.reset()
        self._count = 0


class Chooser(actor.Actor):
    """Chooses candidates and learns from what became of attempts."""

    name = 'chooser'

    def __init__(self, incarnation: int, zone: str, draw=random.randrange):
        super().__init__()
        self._incarnation = incarnation
        self._zone = zone
        self._draw = draw
        self._state = state.State()
        self._ended = set()
        self._silent = frozenset()
        self._views = {}
        self._latencies = {}
        self._budget = attempts.RetryBudget()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case choosing.ChooseCandidate():
                return self._choose(message)
            case choosing.AttemptEnded():
                self._learn(message)
            case choosing.TakeRetry():
                self._budget, allowed = attempts.take_retry(
                    self._budget, clock.read_boot_clock()
                )
                return allowed
            case journaling.StateChanged(state=current):
                self._take_state(current)
            case owning.MemberEnded(incarnation=incarnation):
                self._ended.add(incarnation)
            case owning.MembersSilent(incarnations=silent):
                self._silent = silent

    def _take_state(self, current):
        self._state = current
        self._ended.intersection_update(current.members)
        for gone in self._views.keys() - current.members.keys():
            del self._views[gone]
        for gone in self._latencies.keys() - current.services.keys():
            del self._latencies[gone]

    def _choose(self, message):
        head = message.head
        service = self._state.services.get(head.service)
        if service is None:
            return choosing.NoCandidate('the service was removed', True)
        if message.first:
            self._budget = attempts.count_request(
                self._budget, clock.read_boot_clock()
            )
        if routes.needs_owner(service, head):
            return self._choose_owner(service, message)
        return self._choose_target(service, message)

    def _choose_owner(self, service, message):
        key = routes.find_placement_key(service, message.head)
        candidates = [
            one
            for one in routes.list_owners(self._state, service, key)
            if one.member.incarnation not in self._ended
        ]
        left = [
            one
            for one in candidates
            if one.member.incarnation not in message.tried
        ]
        if message.owner is not None:
            for one in left:
                if routes.format_address(one.member) == message.owner:
                    return choosing.Chosen(one)
        left = [
            one for one in left if one.member.incarnation not in self._silent
        ]
        if left:
            return choosing.Chosen(left[0])
        if candidates and service.routing is state.Routing.RANGE:
            owner = candidates[0].member
            if owner.incarnation in self._silent:
                return choosing.NoCandidate(
                    f'{owner.name}, which owns the key, is silent', True
                )
        return choosing.NoCandidate('no node owns the key now')

    def _choose_target(self, service, message):
        members = {
            one.member.incarnation: one
            for one in routes.list_targets(self._state, service)
            if one.member.incarnation not in self._ended
            and one.member.incarnation not in self._silent
        }
        left = {
            one: self._views.get(one, loadbalancing.TargetStats())
            for one in members
            if one not in message.tried
        }
        if not left:
            return choosing.NoCandidate(
                'no target takes this now', bool(message.tried)
            )
        zones = {one: members[one].member.zone for one in left}
        now = clock.read_boot_clock()
        best = loadbalancing.choose_target(
            left, zones, self._zone, self._draw, now
        )
        self._views[best] = loadbalancing.start_attempt(left[best])
        known = self._latencies.get(service.name)
        second = known.percentile_s if known and len(left) > 1 else None
        return choosing.Chosen(members[best], second)

    def _learn(self, message):
        if message.latency_s is not None:
            known = self._latencies.get(message.service)
            if known is None:
                known = self._latencies[message.service] = Latencies()
            known.record(message.latency_s)
        view = self._views.get(message.incarnation)
        if view is None:
            return
        self._views[message.incarnation] = loadbalancing.end_attempt(
            view, message, clock.read_boot_clock()
        )
