"""Keys of many targets with few places each are placed by their load."""

import pytest

from bench import keyplacement
from sesamejunction.decisions import keyload
from sesamejunction.model import ranges


# Guards against many targets of which some refuse most requests for their keys
# while the others have room: eight moves a plan, chosen by the requests of one
# second, refused a quarter of 105 targets' requests at the start and later.
# Columns: site, most refused in the first 5 s and later, keys moved of all.
@pytest.mark.parametrize(
    ('site', 'first', 'later', 'moved'),
    [
        pytest.param(keyplacement.LARGE, 0.18, 0.03, 0.08, id='105 targets'),
        pytest.param(keyplacement.MIDDLE, 0.16, 0.03, 0.08, id='33 targets'),
        pytest.param(keyplacement.SMALL, 0.01, 0.01, 0.08, id='5 targets'),
    ],
)
@pytest.mark.parametrize('seed', [1, 2])
def test_few_requests_are_refused_while_targets_have_room(
    site, first, later, moved, seed
):
    model = keyplacement.Model(site, seed)
    refused = model.play(12.0)
    assert refused[0] <= first
    assert refused[1] <= later
    assert model.moved_keys <= moved * 65536


@pytest.mark.parametrize('rate', [2.0, 5.0, 40.0, 400.0])
def test_rates_are_measured_at_any_rate(rate):
    """Guards against counts that change their meaning with the half-life."""
    counter, now = keyload.KeyLoad(), 0.0
    whole = ranges.Range(0, ranges.LAST_KEY, 1, ranges.Life('m', 't', 1))
    for number in range(int(rate * 20)):
        now = number / rate
        counter.add(number % 7, now)
        if number % max(1, int(rate / 2)) == 0:
            counter.list_segments((whole,), now)
    segments = counter.list_segments((whole,), now)
    assert sum(one[2] for one in segments) == pytest.approx(rate, rel=0.25)
