"""Computes the measures of a replay from results and run histories."""

import collections
import dataclasses
import itertools
import statistics

from hdrh import histogram

from sesamejunction.model import replaying
from sesamejunction.model import requests

# One hour; longer latencies are missing from the histograms.
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
ALL_SERVICES = 'all'
OVER_RATE = requests.Code.OVER_RATE.value
TOO_MANY_REQUESTS = 429
# Errors of the caller, after which the key still counts as available.
CALLER_FAULTS = frozenset(
    refusal_code.value
    for refusal_code in (
        requests.Code.OVER_RATE,
        requests.Code.KEY_UNKNOWN,
        requests.Code.KEY_FORBIDDEN,
        requests.Code.SERVICE_UNKNOWN,
        requests.Code.ROUTE_KEY_MISSING,
        requests.Code.IDEMPOTENCY_KEY_BAD,
        requests.Code.REQUEST_BAD,
    )
)
# Required outcomes that limit a number of calls.
COUNT_OUTCOMES = ('orders_run_twice', 'answers_lost_or_cut', 'answers_crossed')
CallOutcome = replaying.CallOutcome


def measure_replay(results, histories, rates, bounds) -> replaying.Measures:
    """Return all measures, with a verdict for each required outcome.

    ``histories`` is empty if no target was queried. ``rates`` is empty if no
    declarations were given; every call then counts as within its rate.
    """
    qualities = measure_organisations(results, rates)
    changes = count_owner_changes(results)
    measures = replaying.Measures(
        calls=len(results),
        send_lag_p99_ms=measure_send_lag(results),
        fates=count_fates(results),
        latencies=measure_latencies(results),
        imbalances=measure_imbalances(results, histories),
        owner_changes=sum(changes.values()),
        keys_with_owner_change=len(changes),
        outages=measure_outages(results),
        organisations=qualities,
        worst_served=min(
            (quality for quality in qualities if quality.within_rate),
            key=lambda quality: quality.share,
            default=None,
        ),
        refused_within_rate=sum(
            quality.refused_within for quality in qualities
        ),
        orders_run_twice=(
            count_orders_run_twice(results, histories) if histories else None
        ),
        answers_lost_or_cut=sum(
            call_result.reply.fate
            in (CallOutcome.UNKNOWN, CallOutcome.CUT, CallOutcome.LOST)
            for call_result in results
        ),
        answers_crossed=count_crossed_answers(results),
    )
    return dataclasses.replace(
        measures, verdicts=evaluate_bounds(bounds, measures, results)
    )


def count_fates(results) -> tuple[replaying.OutcomeCount, ...]:
    """Return the number of calls by outcome and refusal code."""
    calls_by_outcome = collections.Counter(
        (result.reply.fate, result.reply.code) for result in results
    )
    return tuple(
        replaying.OutcomeCount(fate, code, calls)
        for (fate, code), calls in calls_by_outcome.most_common()
    )


def measure_latencies(results) -> tuple[replaying.Latency, ...]:
    """Return the latencies of each service, followed by the total."""
    groups = collections.defaultdict(list)
    for result in results:
        groups[result.call.service].append(result)
    rows = [_measure_latency(*pair) for pair in sorted(groups.items())]
    return (*rows, _measure_latency(ALL_SERVICES, results))


def measure_send_lag(results) -> float:
    """Return the p99 of the delay between schedule and sending, in ms."""
    distribution = _build_histogram(
        result.sent_s - result.scheduled_s for result in results
    )
    return distribution.get_value_at_percentile(99) / 1000


def _build_histogram(durations_s) -> histogram.HdrHistogram:
    distribution = histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for duration_s in durations_s:
        distribution.record_value(max(1, round(duration_s * 1e6)))
    return distribution


def _measure_latency(service, results) -> replaying.Latency:
    distribution = _build_histogram(
        result.latency_s
        for result in results
        if result.reply.fate is CallOutcome.ANSWERED
    )
    p50, p99, p999 = (
        distribution.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    )
    return replaying.Latency(
        service, len(results), distribution.get_total_count(), p50, p99, p999
    )


def measure_imbalances(results, histories):
    """Return the load imbalance between the targets of each service.

    Counts the runs in the targets' histories. Without histories, counts
    calls by the answer's SJ-Target or SJ-Owner, which misses idle targets.
    """
    counts = collections.defaultdict(collections.Counter)
    for history in histories:
        counts[history.service][history.target] += len(history.executions)
    if not histories:
        for call_result in results:
            target = call_result.reply.target or call_result.reply.owner
            if call_result.reply.fate is CallOutcome.ANSWERED and target:
                counts[call_result.call.service][target] += 1
    rows = []
    for service, target_counts in sorted(counts.items()):
        mean = statistics.fmean(target_counts.values())
        most = max(target_counts.values())
        rows.append(
            replaying.Imbalance(
                service,
                len(target_counts),
                mean,
                most,
                most / mean if mean else 1.0,
            )
        )
    return tuple(rows)


def count_owner_changes(results) -> collections.Counter:
    """Return the owner changes seen by callers, by service and key."""
    seen = collections.defaultdict(list)
    for result in sorted(results, key=lambda result: result.done_s):
        if result.call.key is not None and result.reply.owner:
            seen[result.call.service, result.call.key].append(
                result.reply.owner
            )
    changes = collections.Counter()
    for key, owners in seen.items():
        changes[key] = sum(
            before != after for before, after in itertools.pairwise(owners)
        )
    # The unary plus drops keys without a change.
    return +changes


def measure_outages(results) -> tuple[replaying.Outage, ...]:
    """Return the outages of keys, the longest first.

    An outage lasts from the scheduled time of the first failed call to the
    reply of the next answered one, or to the last reply of the replay. Calls
    that failed through an error of the caller are ignored.
    """
    replay_end_s = max(
        (call_result.done_s for call_result in results), default=0.0
    )
    groups = collections.defaultdict(list)
    for call_result in results:
        caller_failed = call_result.reply.code in CALLER_FAULTS
        if call_result.call.key is not None and not caller_failed:
            groups[call_result.call.service, call_result.call.key].append(
                call_result
            )
    rows = []
    for (service, key), group in groups.items():
        outage_lengths = _list_outage_lengths(group, replay_end_s)
        if outage_lengths:
            rows.append(
                replaying.Outage(
                    service, key, max(outage_lengths), sum(outage_lengths)
                )
            )
    return tuple(sorted(rows, key=lambda outage: -outage.longest_s))


def _list_outage_lengths(group, replay_end_s) -> list[float]:
    outage_lengths = []
    failed_since = None
    for result in sorted(group, key=lambda result: result.scheduled_s):
        if result.reply.fate is not CallOutcome.ANSWERED:
            failed_since = (
                result.scheduled_s if failed_since is None else failed_since
            )
        elif failed_since is not None:
            outage_lengths.append(result.done_s - failed_since)
            failed_since = None
    if failed_since is not None:
        outage_lengths.append(replay_end_s - failed_since)
    return outage_lengths


def find_within_rate(results, rates) -> list[bool]:
    """Return for each result whether it is within the declared rate.

    Simulates one fleet-wide token bucket per organisation on the scheduled
    times. It starts full and is refilled at the rate, up to the burst.
    """
    declared = {
        declared_rate.organisation: declared_rate for declared_rate in rates
    }
    tokens = {
        declared_rate.organisation: declared_rate.burst
        for declared_rate in rates
    }
    refilled_at = dict.fromkeys(tokens, 0.0)
    within = [True] * len(results)
    indexes = sorted(range(len(results)), key=lambda n: results[n].scheduled_s)
    for index in indexes:
        name = results[index].call.organisation
        if name not in declared:
            continue
        now = results[index].scheduled_s
        refilled = (
            tokens[name] + (now - refilled_at[name]) * declared[name].rate
        )
        tokens[name] = min(declared[name].burst, refilled)
        refilled_at[name] = now
        within[index] = tokens[name] >= 1
        tokens[name] -= within[index]
    return within


def measure_organisations(results, rates):
    """Return the measure of each organisation, sorted by name."""
    groups = collections.defaultdict(list)
    for result, within in zip(results, find_within_rate(results, rates)):
        groups[result.call.organisation].append((result, within))
    rows = []
    for name, group in sorted(groups.items()):
        within_rate_results = [result for result, within in group if within]
        in_time = sum(result.in_time for result in within_rate_results)
        refused = sum(
            result.reply.status == TOO_MANY_REQUESTS
            or result.reply.code == OVER_RATE
            for result in within_rate_results
        )
        share = (
            in_time / len(within_rate_results) if within_rate_results else 1.0
        )
        rows.append(
            replaying.OrganisationMeasure(
                name,
                len(group),
                len(within_rate_results),
                in_time,
                refused,
                share,
            )
        )
    return tuple(rows)


def count_orders_run_twice(results, histories) -> int:
    """Return the number of once-only calls that ran more than once."""
    sent = {
        (call_result.call.organisation, call_result.idempotency_key)
        for call_result in results
        if call_result.call.once and call_result.idempotency_key
    }
    runs = collections.Counter(
        (run.organisation, run.idempotency_key)
        for history in histories
        for run in history.executions
    )
    return sum(runs[sent_call] > 1 for sent_call in sent)


def count_crossed_answers(results) -> int | None:
    """Return the number of answers that have the id of another call.

    Returns None if no answer has the id of a call.
    """
    if not any(result.reply.named for result in results):
        return None
    return sum(result.reply.fate is CallOutcome.CROSSED for result in results)


def evaluate_bounds(
    bounds, measures, results
) -> tuple[replaying.Verdict, ...]:
    """Return a verdict for each required outcome."""
    verdicts = []
    for name in COUNT_OUTCOMES:
        wanted = getattr(bounds, name)
        if wanted is not None:
            verdicts.append(_evaluate_count(name, wanted, measures))
    for goal in bounds.goals:
        verdicts.append(_evaluate_goal(goal, results, True))
    for goal in bounds.report:
        verdicts.append(_evaluate_goal(goal, results, False))
    return tuple(verdicts)


def _evaluate_count(name, wanted, measures) -> replaying.Verdict:
    measured_value = getattr(measures, name)
    met = None if measured_value is None else measured_value <= wanted
    measured = (
        'not measured' if measured_value is None else str(measured_value)
    )
    title = name.replace('_', ' ')
    return replaying.Verdict(title, f'at most {wanted}', measured, met, True)


def _evaluate_goal(goal, results, binding) -> replaying.Verdict:
    matching = [
        result
        for result in results
        if result.call.service == goal.service
        and goal.method in (None, result.call.method)
    ]
    name = f'{goal.service} {goal.method or "calls"}'
    title = f'{name} answered within {goal.within_ms:g} ms'
    wanted = f'at least {goal.share:.2%}'
    if not matching:
        return replaying.Verdict(title, wanted, 'not measured', None, binding)
    met_count = sum(
        result.reply.fate is CallOutcome.ANSWERED
        and result.latency_s * 1000 <= goal.within_ms
        for result in matching
    )
    share = met_count / len(matching)
    return replaying.Verdict(
        title, wanted, f'{share:.2%}', share >= goal.share, binding
    )


def has_failed(measures: replaying.Measures) -> bool:
    """Return whether a binding outcome was not met or not measured."""
    return any(
        verdict.binding and not verdict.met for verdict in measures.verdicts
    )
