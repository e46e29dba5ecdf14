"""Logs are bounded, never block, contain no secrets and can be explained."""

import json
import os

from hypothesis import given
from hypothesis import strategies
import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import logs
from sesamejunction.commands import ports as porting
from sesamejunction.commands import wholebodies
from sesamejunction.model import requests
from sesamejunction.platform import frontend
from sesamejunction.platform import serverclient
from sesamejunction.queries import explain
from sesamejunction.tasks import audit

HEAD = requests.Head(
    'id.1', 'orders', 'POST', '/', '7', None, 'one', 100.0, False
)


class Recorder:
    """Replaces eliot.log_message."""

    def __init__(self):
        self.lines = []

    def __call__(self, message_type, **fields):
        self.lines.append((message_type, fields))


def test_lines_are_limited_by_kind_and_counted(monkeypatch):
    clock = iter([0.0] * 30 + [1.0] * 5)
    recorder = Recorder()
    monkeypatch.setattr(logs.eliot, 'log_message', recorder)
    limit = logs.ThrottledLogger(5, lambda: next(clock))
    for _ in range(30):
        limit.log_message('gate: test')
    assert len(recorder.lines) == 5
    limit.log_message('gate: test')
    kinds = [kind for kind, _ in recorder.lines]
    assert kinds.count('gate: test') == 6
    assert ('node: lines dropped', {'counts': {'gate: test': 25}}) in (
        recorder.lines
    )


def test_stalled_reader_loses_lines_only():
    """Guards against requests that block on standard output."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    stream = logs.NonBlockingStream(write_end)
    line = b'x' * 999 + b'\n'
    for _ in range(500):
        stream.write(line)
    assert stream.dropped > 0
    taken = os.read(read_end, 1 << 20)
    for _ in range(3):
        stream.write(line)
    os.set_blocking(read_end, False)
    taken += os.read(read_end, 1 << 20)
    assert all(len(one) == 999 for one in taken.split(b'\n')[:-1])
    os.close(read_end)
    os.close(write_end)


LOAD = requests.Load(3, 9, 4, 0.02)
DECISION_INPUTS = (('ahead', 9), ('needed_s', 0.31))
OUTCOMES = {
    'answered': (wholebodies.build_answer(200, (), b''), None, {}),
    'target failed': (
        wholebodies.build_answer(500, (), b''),
        'target failed',
        {},
    ),
    'refused': (
        porting.refuse(
            requests.Code.OVERLOADED, 'full', load=LOAD, inputs=DECISION_INPUTS
        ),
        'not-run',
        {
            'ahead': 9,
            'needed_s': 0.31,
            'target_load': {
                'in_flight': 3,
                'queued': 9,
                'limit': 4,
                'latency_s': 0.02,
            },
        },
    ),
    'unknown': (
        requests.Refusal(requests.Code.LOST, requests.Outcome.UNKNOWN, 'cut'),
        'unknown',
        {},
    ),
}


@pytest.mark.parametrize(
    ('outcome', 'kind', 'decision_inputs'), OUTCOMES.values(), ids=OUTCOMES
)
def test_failed_requests_are_logged_with_their_inputs(
    outcome, kind, decision_inputs, monkeypatch
):
    recorder = Recorder()
    monkeypatch.setattr(logs.eliot, 'log_message', recorder)
    inputs = {'declared': 7, 'declared_age_s': 0.2, 'epoch': 12}
    metrics = hostedmetrics.HostedMetrics()
    audit.Audit(metrics, lambda head: inputs).record_outcome(
        HEAD, outcome, 0.25
    )
    if kind is None:
        assert not recorder.lines
    else:
        ((_, fields),) = recorder.lines
        assert fields['request'] == 'id.1'
        assert fields['outcome'] == kind
        assert fields['reason']
        assert fields['inputs'] == decision_inputs
        assert inputs.items() <= fields.items()
    assert 'sesamejunction_requests_total{' in metrics.render()


TEXT = strategies.text(
    strategies.characters(min_codepoint=33, max_codepoint=126), max_size=20
)


@given(TEXT, TEXT, strategies.sampled_from(['Authorization', 'authorization']))
def test_caller_keys_reach_neither_targets_nor_lines(key, value, name):
    """Guards against a caller key in a forwarded request head."""
    secret = f'secret-{key}'
    raw = (
        (name.encode(), f'Token {secret}'.encode()),
        (b'X-Tenant', value.encode()),
        (b'Accept', b'text/plain'),
    )
    passed = tuple(frontend.list_forwarded_headers(raw))
    assert passed == (('Accept', 'text/plain'),)
    data = b''.join(serverclient.encode_request(HEAD, b'', 10, None))
    assert secret.encode() not in data


def test_explain_orders_the_lines_of_one_request():
    lines = [
        f'12.5 node-a {json.dumps(one)}'
        for one in (
            {'request': 'id.1', 'timestamp': 3.0, 'message_type': 'caller: b'},
            {'request': 'idx.1', 'timestamp': 1.0, 'message_type': 'other'},
            {'request': 'id.1.1', 'timestamp': 2.0, 'message_type': 'gate: a'},
        )
    ] + ['id no json', 'id {broken']
    found = explain.explain_request('id', lines)
    assert [one['message_type'] for one in found] == ['gate: a', 'caller: b']
    assert 'request=id.1' in explain.describe_message(found[1])
