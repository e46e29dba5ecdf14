"""Counts request outcomes and logs failed requests."""

import dataclasses

from sesamejunction.border import logs
from sesamejunction.model import requests
from sesamejunction.tasks import clock


class Audit:
    """Records the outcome of each caller request that this node routed.

    ``describe`` takes a request head and returns log fields: the owner and
    the declarations that this node knows, with their versions and ages.
    """

    def __init__(self, metrics, describe):
        self._metrics = metrics
        self._describe = describe
        self._logger = logs.ThrottledLogger()

    def record_outcome(
        self, head: requests.Head, outcome, taken_s: float
    ) -> None:
        """Count an outcome; log it unless the status is below 500."""
        match outcome:
            case requests.Answer(status=status) if status < 500:
                self._record_metrics('answered', '', taken_s)
                return
            case requests.Answer(status=status):
                kind, reason = 'target failed', str(status)
            case requests.Refusal():
                kind = outcome.outcome.value
                reason = f'{outcome.code.value}: {outcome.message}'
        code = getattr(outcome, 'code', None)
        self._record_metrics(kind, code.value if code else '', taken_s)
        now = clock.read_boot_clock()
        # The refusing node logs these inputs too, but its rate limit may have
        # dropped that line.
        inputs = dict(getattr(outcome, 'inputs', ()))
        if outcome.load is not None:
            # Most targets do not report their speed.
            inputs['target_load'] = {
                name: value
                for name, value in dataclasses.asdict(outcome.load).items()
                if value is not None
            }
        self._logger.log_message(
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
            inputs=inputs,
            **self._describe(head),
        )

    def record_refusal(self, request_id: str, refused) -> None:
        """Count and log a request that was refused before routing."""
        self._metrics.requests.inc(
            {'outcome': 'refused', 'reason': f'status {refused.status}'}
        )
        self._logger.log_message(
            'caller: request refused',
            request=request_id,
            status=refused.status,
            reason=str(refused),
        )

    def _record_metrics(self, outcome, reason, taken_s) -> None:
        self._metrics.requests.inc({'outcome': outcome, 'reason': reason})
        self._metrics.observe('request_seconds', taken_s, outcome=outcome)
