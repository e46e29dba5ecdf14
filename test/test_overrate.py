"""An organisation that sends more than its rate, simulated at 14 nodes."""

import pytest

from bench import shares as simulating

# An eighth of the latency objective of 500 ms: a refusal that takes longer
# costs the caller time in which it could have tried again.
HELD_S = 0.0625
# The organisation gets its whole rate all the same.
ADMITTED = 0.97


# Guards against requests over the rate that wait 0.26 s to be refused, and
# against a queue so short that the rate is not used up.
@pytest.mark.parametrize('times', [1.2, 2.0, 5.0])
def test_refusals_over_the_rate_are_quick(times):
    load = simulating.Load('hot', 243.0, 243.0, times)
    one = simulating.Simulation(simulating.Case('', 14, 64, (load,)))
    one.run()
    admitted = one.seen['hot'] - one.refused['hot']
    assert sum(one.held) / len(one.held) <= HELD_S
    assert admitted >= ADMITTED * one.within['hot']
