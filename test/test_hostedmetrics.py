"""Tests that a monitoring system can read the metrics of a node."""

import collections
import re

import pytest

from sesamejunction.border import hostedmetrics

SAMPLE = re.compile(r'(\w+)(?:\{(.*)\})? (\S+)')
LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
TIMES = ('request', 'queue', 'target', 'hop', 'connect', 'loop_late')


def parse(text):
    """Return the types of metrics and their samples by name."""
    kinds, samples = {}, collections.defaultdict(list)
    for line in text.splitlines():
        if line.startswith('# TYPE '):
            name, kind = line.removeprefix('# TYPE ').split()
            kinds[name] = kind
        elif line and not line.startswith('#'):
            name, labels, value = SAMPLE.fullmatch(line).groups()
            label_pairs = dict(LABEL.findall(labels or ''))
            samples[name].append((label_pairs, float(value)))
    return kinds, samples


@pytest.fixture
def exposed():
    metrics = hostedmetrics.HostedMetrics()
    for reason in ('', 'over-rate', 'overloaded', 'overloaded'):
        outcome = 'not-run' if reason else 'answered'
        metrics.requests.inc({'outcome': outcome, 'reason': reason})
    metrics.target_requests.inc({'outcome': 'answered'})
    metrics.log_calls.inc({'outcome': 'a "quoted" \\ one'})
    metrics.key_rows_granted.inc({})
    metrics.reads_dropped.inc({'topic': 'one'})
    for name in TIMES:
        for seconds in (0.004, 0.03, 7.0):
            metrics.observe(f'{name}_seconds', seconds, outcome='answered')
    for name in ('declared_age_seconds', 'hold_margin_seconds'):
        metrics.set(name, 0.5)
    return parse(metrics.render())


def test_metric_names_follow_conventions(exposed):
    # Guards against counters without _total and histograms without _seconds in
    # their names.
    kinds, _ = exposed
    assert all(name.startswith('sesamejunction_') for name in kinds)
    for name, kind in kinds.items():
        assert name.endswith('_total') is (kind == 'counter'), name
        assert kind != 'histogram' or name.endswith('_seconds'), name


@pytest.mark.parametrize('name', TIMES)
def test_histogram_buckets_are_cumulative(exposed, name):
    # Guards against buckets that are not cumulative, from which no quantile
    # can be computed.
    _, samples = exposed
    full_name = f'sesamejunction_{name}_seconds'
    buckets = samples[f'{full_name}_bucket']
    counts = [count for _, count in buckets]
    assert counts == sorted(counts)
    assert [labels['le'] for labels, _ in buckets][-1] == '+Inf'
    assert counts[0] == 1
    assert counts[-1] == 3 == samples[f'{full_name}_count'][0][1]
    assert samples[f'{full_name}_sum'][0][1] == pytest.approx(7.034)


# Guards against refusals within and over the rate of an organisation that
# cannot be told apart: labels and number of requests.
@pytest.mark.parametrize(
    ('outcome', 'reason', 'count'),
    [
        ('answered', '', 1),
        ('not-run', 'over-rate', 1),
        ('not-run', 'overloaded', 2),
    ],
)
def test_requests_by_outcome_and_reason(exposed, outcome, reason, count):
    _, samples = exposed
    labels = {'outcome': outcome, 'reason': reason}
    assert (labels, count) in samples['sesamejunction_requests_total']


# Guards against counts that are lost or repeated when the metrics are scraped
# again, and against a value equal to a bucket bound that falls into the next
# bucket: name of the sample, its labels, and its values in three scrapes.
@pytest.mark.parametrize(
    ('name', 'labels', 'values'),
    [
        ('requests_total', {'outcome': 'answered'}, (2, 2, 3)),
        ('hop_seconds_count', {}, (2, 2, 3)),
        ('hop_seconds_sum', {}, (0.055, 0.055, 10.055)),
        ('hop_seconds_bucket', {'le': '0.005'}, (1, 1, 1)),
        ('hop_seconds_bucket', {'le': '0.025'}, (1, 1, 1)),
        ('hop_seconds_bucket', {'le': '0.05'}, (2, 2, 2)),
        ('hop_seconds_bucket', {'le': '3.2'}, (2, 2, 2)),
        ('hop_seconds_bucket', {'le': '+Inf'}, (2, 2, 3)),
    ],
)
def test_counts_continue_after_rendering(name, labels, values):
    metrics = hostedmetrics.HostedMetrics()
    pages = []
    for page in ((0.005, 0.05), (), (10.0,)):
        for seconds in page:
            metrics.requests.inc({'outcome': 'answered'})
            metrics.observe('hop_seconds', seconds)
        pages.append(parse(metrics.render())[1])
    rendered_values = [
        value
        for samples in pages
        for known, value in samples[f'sesamejunction_{name}']
        if known == labels
    ]
    assert rendered_values == pytest.approx(list(values))
