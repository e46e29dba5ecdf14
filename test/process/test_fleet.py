"""The demonstration fleet shares no ports and leaves no processes."""

import pytest

from demo import fleet


def test_two_fleets_get_different_ports():
    # Guards against concurrent fleets that use the same ports.
    with fleet.PortAllocator() as first, fleet.PortAllocator() as second:
        taken = first.allocate(200) + second.allocate(200)
    assert len(set(taken)) == 400


@pytest.mark.process
@pytest.mark.parametrize('error', [None, KeyboardInterrupt, RuntimeError])
def test_no_process_is_left(error):
    # Guards against processes that survive an interrupted test.
    running = fleet.Fleet((('catalogue', 1),), 2, ('a',))

    def use():
        with running:
            assert all(
                one.poll() is None for one in running.processes.values()
            )
            if error is not None:
                raise error

    if error is None:
        use()
    else:
        with pytest.raises(error):
            use()
    assert len(running.processes) == 3
    assert all(one.poll() is not None for one in running.processes.values())
    assert not running.logs.exists()
