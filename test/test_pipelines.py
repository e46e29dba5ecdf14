"""Order and bounds of the requests of one connection."""

import pytest

from sesamejunction.decisions import pipelines

LIMITS = pipelines.Limits(running=2, waiting=2, held_bytes=100)

# Guards against a quick lookup that waits for a slow one before it, answers
# in another order than the requests, a once-only request that the caller
# sends again although it ran, and connections that hold memory without
# bounds. A step names requests in the order of arrival: arrivals of
# (r)epeatable or (o)nce-only requests, f0 for the answer to request 0, F0 for
# a large one, c0 for one that closes, s for a planned stop. The results are
# the requests that start, the answers sent and, after a closing one (!), what
# is dropped.
STEPS = {
    'one at a time': ('r f0 r f1', '+0 -0 +1 -1'),
    'side by side, sent in order': ('r r f1 f0', '+0 +1 -0 -1'),
    'at most two run': ('r r r f1 f0', '+0 +1 +2 -0 -1'),
    'large answers that wait hold the rest': (
        *('r r F1 r f0 f2', '+0 +1 -0 -1 +2 -2'),
    ),
    'once-only waits for its turn': ('r o f0 f1', '+0 -0 +1 -1'),
    'nothing starts behind once-only': ('o r r f0', '+0 -0 +1 +2'),
    'closing answer drops what is behind': ('o r r c0', '+0 -0! x1 x2'),
    'a stop closes behind what runs': ('r r s r f0 f1', '+0 +1 -0 -1! x2'),
    'a stop runs a lone request': ('s r f0', '+0 -0!'),
    'once-only behind a stop never runs': ('r o s f0', '+0 -0! x1'),
}


def play(text):
    """Play steps; return the starts and answers in order."""
    pipeline, is_stopping, results, count = (
        *(pipelines.Pipeline(LIMITS), False, [], 0),
    )
    for step in text.split():
        if step in 'ro':
            pipeline.add(count, step == 'r')
            count += 1
        elif step == 's':
            is_stopping = True
        else:
            size = 100 if step[0] == 'F' else 1
            pipeline.finish(int(step[1:]), size, step[0] == 'c')
        is_active = True
        while is_active:
            started = pipeline.take_startable(is_stopping)
            results += [f'+{number}' for number in started]
            sent = pipeline.take_sendable(is_stopping)
            if sent is not None:
                results.append(f'-{sent.number}{"!" * sent.closes}')
                results += [f'x{number}' for number in sent.dropped]
            is_active = sent is not None
    return ' '.join(results)


@pytest.mark.parametrize(('text', 'expected'), STEPS.values(), ids=STEPS)
def test_requests_start_and_answers_leave_in_order(text, expected):
    assert play(text) == expected


# Columns: requests added, bytes of the answer to the second one, whether
# reading pauses.
@pytest.mark.parametrize(
    ('kinds', 'held', 'pauses'),
    [
        pytest.param('rr', 0, False, id='all run'),
        pytest.param('rrr', 0, False, id='one waits'),
        pytest.param('rrrr', 0, True, id='two wait'),
        pytest.param('rr', 100, True, id='answer waits'),
    ],
)
def test_reading_pauses_at_the_bounds(kinds, held, pauses):
    pipeline = pipelines.Pipeline(LIMITS)
    for number, kind in enumerate(kinds):
        pipeline.add(number, kind == 'r')
    pipeline.take_startable(False)
    if held:
        pipeline.finish(1, held, False)
    assert pipeline.must_pause is pauses
