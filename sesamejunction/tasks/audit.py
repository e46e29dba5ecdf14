"""Counts replies and logs those that a caller may ask about."""

import collections

import eliot

from sesamejunction.model import requests
from sesamejunction.tasks import clock

# Lines of one kind a second; further ones are counted and summed up.
LINES_A_SECOND = 20


class LineLimit:
    """Allows some lines a second of each kind and counts the dropped."""

    def __init__(self, limit: int = LINES_A_SECOND):
        self._limit = limit
        self._second = 0
        self._lines = collections.Counter()

    def allow(self, kind: str, now: float) -> bool:
        """Return whether one more line of the kind may be written."""
        if int(now) != self._second:
            self._second = int(now)
            dropped = {
                one: count - self._limit
                for one, count in self._lines.items()
                if count > self._limit
            }
            self._lines.clear()
            if dropped:
                eliot.log_message('node: lines dropped', counts=dropped)
        self._lines[kind] += 1
        return self._lines[kind] <= self._limit


class Audit:
    """Takes the outcome of each request of this node's callers."""

    def __init__(self):
        self.outcomes = collections.Counter()
        self._limit = LineLimit()

    def count(self, head: requests.Head, outcome, taken_s: float) -> None:
        """Count an outcome; log it unless the target answered well."""
        match outcome:
            case requests.Answer(status=status) if status < 500:
                self.outcomes['answered'] += 1
                return
            case requests.Answer(status=status):
                kind, reason = 'target failed', str(status)
            case requests.Refusal():
                kind = outcome.outcome.value
                reason = f'{outcome.code.value}: {outcome.message}'
        self.outcomes[kind] += 1
        now = clock.read_boot_clock()
        if self._limit.allow(kind, now):
            eliot.log_message(
                'caller: request failed',
                request=head.request_id,
                route=head.route,
                service=head.service,
                organisation=head.organisation,
                key=head.route_key,
                outcome=kind,
                reason=reason,
                taken_s=round(taken_s, 3),
                left_s=round(head.deadline - now, 3),
            )

    def count_refused(self, request_id: str, refused) -> None:
        """Count a request that was refused before it was routed."""
        kind = f'status {refused.status}'
        self.outcomes[kind] += 1
        if self._limit.allow(kind, clock.read_boot_clock()):
            eliot.log_message(
                'caller: request refused',
                request=request_id,
                status=refused.status,
                reason=str(refused),
            )
