"""Measures of a replay, from the results and the targets' histories."""

import collections
import dataclasses
import itertools
import statistics

from hdrh import histogram

from sesamejunction.model import replaying
from sesamejunction.model import requests

HIGHEST_US = 3_600_000_000
DIGITS = 3
ALL = 'all'
OVER_RATE = requests.Code.OVER_RATE.value
TOO_MANY_REQUESTS = 429
# The caller's own fault, so that the key counts as available.
CALLER_FAULTS = frozenset(
    one.value
    for one in (
        requests.Code.OVER_RATE,
        requests.Code.KEY_UNKNOWN,
        requests.Code.KEY_FORBIDDEN,
        requests.Code.SERVICE_UNKNOWN,
        requests.Code.ROUTE_KEY_MISSING,
        requests.Code.IDEMPOTENCY_KEY_BAD,
        requests.Code.REQUEST_BAD,
    )
)
# Outcomes that are a number of calls.
COUNTED = ('orders_run_twice', 'answers_lost_or_cut', 'answers_crossed')
CallOutcome = replaying.CallOutcome


def measure_replay(results, histories, rates, bounds) -> replaying.Measures:
    """Return all measures with the verdicts on the bounds.

    ``histories`` is empty when no target was asked; ``rates`` is empty when
    no declarations were given, and then every call counts as within rate.
    """
    served = measure_organisations(results, rates)
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
        organisations=served,
        worst_served=min(
            (one for one in served if one.within_rate),
            key=lambda one: one.share,
            default=None,
        ),
        refused_within_rate=sum(one.refused_within for one in served),
        orders_run_twice=(
            count_doubled(results, histories) if histories else None
        ),
        answers_lost_or_cut=sum(
            one.reply.fate
            in (CallOutcome.UNKNOWN, CallOutcome.CUT, CallOutcome.LOST)
            for one in results
        ),
        answers_crossed=count_crossed(results),
    )
    return dataclasses.replace(
        measures, verdicts=judge(bounds, measures, results)
    )


def count_fates(results) -> tuple[replaying.OutcomeCount, ...]:
    """Return the number of calls of each fate and refusal code."""
    found = collections.Counter(
        (one.reply.fate, one.reply.code) for one in results
    )
    return tuple(
        replaying.OutcomeCount(fate, code, calls)
        for (fate, code), calls in found.most_common()
    )


def measure_latencies(results) -> tuple[replaying.Latency, ...]:
    """Return the latencies of each service, then of all together."""
    groups = collections.defaultdict(list)
    for one in results:
        groups[one.call.service].append(one)
    rows = [_measure_latency(*pair) for pair in sorted(groups.items())]
    return (*rows, _measure_latency(ALL, results))


def measure_send_lag(results) -> float:
    """Return the p99 delay of sending behind the schedule, in ms."""
    recorded = _record(one.sent_s - one.scheduled_s for one in results)
    return recorded.get_value_at_percentile(99) / 1000


def _record(seconds) -> histogram.HdrHistogram:
    recorded = histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
    for one in seconds:
        recorded.record_value(max(1, round(one * 1e6)))
    return recorded


def _measure_latency(service, results) -> replaying.Latency:
    recorded = _record(
        one.latency_s
        for one in results
        if one.reply.fate is CallOutcome.ANSWERED
    )
    p50, p99, p999 = (
        recorded.get_value_at_percentile(at) / 1000 for at in (50, 99, 99.9)
    )
    return replaying.Latency(
        service, len(results), recorded.get_total_count(), p50, p99, p999
    )


def measure_imbalances(results, histories):
    """Return the imbalance of each service.

    Counts the targets' own runs, or without histories the calls by the
    answer's SJ-Target or SJ-Owner, which misses targets without any call.
    """
    counts = collections.defaultdict(collections.Counter)
    for one in histories:
        counts[one.service][one.target] += len(one.executions)
    if not histories:
        for one in results:
            target = one.reply.target or one.reply.owner
            if one.reply.fate is CallOutcome.ANSWERED and target:
                counts[one.call.service][target] += 1
    rows = []
    for service, found in sorted(counts.items()):
        mean = statistics.fmean(found.values())
        most = max(found.values())
        rows.append(
            replaying.Imbalance(
                service, len(found), mean, most, most / mean if mean else 1.0
            )
        )
    return tuple(rows)


def count_owner_changes(results) -> collections.Counter:
    """Return the owner changes that callers saw, by service and key."""
    seen = collections.defaultdict(list)
    for one in sorted(results, key=lambda one: one.done_s):
        if one.call.key is not None and one.reply.owner:
            seen[one.call.service, one.call.key].append(one.reply.owner)
    changes = collections.Counter()
    for key, owners in seen.items():
        changes[key] = sum(
            before != after for before, after in itertools.pairwise(owners)
        )
    return +changes


def measure_outages(results) -> tuple[replaying.Outage, ...]:
    """Return the keys that were unavailable, the longest time first.

    The time runs from the scheduled moment of the first failed call to the
    reply of the next served one, or to the last reply of the replay. A call
    that the organisation itself spoiled counts as neither.
    """
    last = max((one.done_s for one in results), default=0.0)
    groups = collections.defaultdict(list)
    for one in results:
        spoiled = one.reply.code in CALLER_FAULTS
        if one.call.key is not None and not spoiled:
            groups[one.call.service, one.call.key].append(one)
    rows = []
    for (service, key), group in groups.items():
        gaps = _list_gaps(group, last)
        if gaps:
            rows.append(replaying.Outage(service, key, max(gaps), sum(gaps)))
    return tuple(sorted(rows, key=lambda one: -one.longest_s))


def _list_gaps(group, last) -> list[float]:
    gaps = []
    since = None
    for one in sorted(group, key=lambda one: one.scheduled_s):
        if one.reply.fate is not CallOutcome.ANSWERED:
            since = one.scheduled_s if since is None else since
        elif since is not None:
            gaps.append(one.done_s - since)
            since = None
    if since is not None:
        gaps.append(last - since)
    return gaps


def find_within_rate(results, rates) -> list[bool]:
    """Return for each result whether one fleet-wide bucket admits it.

    The bucket fills at the declared rate up to the burst, starts full and
    is run on the scheduled times.
    """
    declared = {one.organisation: one for one in rates}
    tokens = {one.organisation: one.burst for one in rates}
    filled = dict.fromkeys(tokens, 0.0)
    within = [True] * len(results)
    order = sorted(range(len(results)), key=lambda n: results[n].scheduled_s)
    for number in order:
        name = results[number].call.organisation
        if name not in declared:
            continue
        now = results[number].scheduled_s
        grown = tokens[name] + (now - filled[name]) * declared[name].rate
        tokens[name] = min(declared[name].burst, grown)
        filled[name] = now
        within[number] = tokens[name] >= 1
        tokens[name] -= within[number]
    return within


def measure_organisations(results, rates):
    """Return the service of each organisation, sorted by name."""
    groups = collections.defaultdict(list)
    for one, within in zip(results, find_within_rate(results, rates)):
        groups[one.call.organisation].append((one, within))
    rows = []
    for name, group in sorted(groups.items()):
        admitted = [one for one, within in group if within]
        in_time = sum(one.in_time for one in admitted)
        refused = sum(
            one.reply.status == TOO_MANY_REQUESTS
            or one.reply.code == OVER_RATE
            for one in admitted
        )
        share = in_time / len(admitted) if admitted else 1.0
        rows.append(
            replaying.OrganisationMeasure(
                name, len(group), len(admitted), in_time, refused, share
            )
        )
    return tuple(rows)


def count_doubled(results, histories) -> int:
    """Return the once-only calls that targets ran more than once."""
    sent = {
        (one.call.organisation, one.idempotency_key)
        for one in results
        if one.call.once and one.idempotency_key
    }
    runs = collections.Counter(
        (run.organisation, run.idempotency_key)
        for one in histories
        for run in one.executions
    )
    return sum(runs[one] > 1 for one in sent)


def count_crossed(results) -> int | None:
    """Return the answers that name another call, None if none names any."""
    if not any(one.reply.named for one in results):
        return None
    return sum(one.reply.fate is CallOutcome.CROSSED for one in results)


def judge(bounds, measures, results) -> tuple[replaying.Verdict, ...]:
    """Return a verdict on every stated outcome."""
    verdicts = []
    for name in COUNTED:
        wanted = getattr(bounds, name)
        if wanted is not None:
            verdicts.append(_judge_count(name, wanted, measures))
    for goal in bounds.goals:
        verdicts.append(_judge_goal(goal, results, True))
    for goal in bounds.report:
        verdicts.append(_judge_goal(goal, results, False))
    return tuple(verdicts)


def _judge_count(name, wanted, measures) -> replaying.Verdict:
    found = getattr(measures, name)
    met = None if found is None else found <= wanted
    measured = 'not measured' if found is None else str(found)
    title = name.replace('_', ' ')
    return replaying.Verdict(title, f'at most {wanted}', measured, met, True)


def _judge_goal(goal, results, binding) -> replaying.Verdict:
    chosen = [
        one
        for one in results
        if one.call.service == goal.service
        and goal.method in (None, one.call.method)
    ]
    name = f'{goal.service} {goal.method or "calls"}'
    title = f'{name} answered within {goal.within_ms:g} ms'
    wanted = f'at least {goal.share:.2%}'
    if not chosen:
        return replaying.Verdict(title, wanted, 'not measured', None, binding)
    good = sum(
        one.reply.fate is CallOutcome.ANSWERED
        and one.latency_s * 1000 <= goal.within_ms
        for one in chosen
    )
    share = good / len(chosen)
    return replaying.Verdict(
        title, wanted, f'{share:.2%}', share >= goal.share, binding
    )


def has_failed(measures: replaying.Measures) -> bool:
    """Return whether a binding outcome was missed or not measured."""
    return any(one.binding and not one.met for one in measures.verdicts)
