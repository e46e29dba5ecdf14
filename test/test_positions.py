"""Decisions use the age of the copy that they are based on."""

import types

import pytest

from sesamejunction.commands import hosting
from sesamejunction.decisions import rangeleases as deciding
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import owning
from sesamejunction.model import routing
from sesamejunction.model import state
from sesamejunction.platform import config
from sesamejunction.platform import frontend
from sesamejunction.tasks import follower
from sesamejunction.tasks import targetlease
from sesamejunction.tasks import terms
from test import fakes

# A node was cut off for 60 s and gets a current copy from a peer.
OLD_AS_OF = 1000.0
NOW = 1060.0


def make_view(*steps):
    """Return a view after copies given as (end, time)."""
    view = follower.PositionView()
    for end, as_of in steps:
        view.move_to(end)
        view.as_of = max(view.as_of, as_of)
    return view


@pytest.mark.parametrize(
    ('steps', 'end', 'as_of'),
    [
        pytest.param([(3, 10.0)], 3, 10.0, id='the present copy'),
        pytest.param([(3, 10.0), (4, 20.0)], 4, 20.0, id='a newer copy'),
        pytest.param([(3, 10.0), (4, 20.0)], 3, 10.0, id='the one before'),
        pytest.param(
            [(3, 10.0), (3, 12.0), (5, 20.0)], 3, 12.0, id='confirmed'
        ),
        pytest.param([(3, 10.0)], 2, float('-inf'), id='never read'),
        pytest.param(
            [(one, 10.0 + one) for one in range(999)],
            *(3, float('-inf')),
            id='too long ago',
        ),
    ],
)
def test_as_of_time_belongs_to_its_copy(steps, end, as_of):
    assert make_view(*steps).find_as_of(end) == as_of


ROUTE = routing.Route(
    *('r', 'h', '/', routing.RouteKind.REPEATABLE, (), 1, 1.0, 1.0, 0, False)
)
KEY = state.CallerKey(config.hash_caller_key('secret'), 'one')


def make_front(view, current):
    ports = types.SimpleNamespace(clock=lambda: NOW, states=None)
    return frontend.Frontend(
        frontend.FrontendContext(ports, view, 's', None, hosting.OpenRuns())
    )


# Guards against accepting a revoked key: the copy that revokes it has arrived
# and is current, but the state from before the outage is in force until the
# copy is decoded (found by scale-2 --seed 64842903777: CONFIG).
@pytest.mark.parametrize(
    ('steps', 'in_force', 'trusted'),
    [
        pytest.param([(3, OLD_AS_OF), (4, NOW)], 3, False, id='on its way'),
        pytest.param([(3, OLD_AS_OF), (4, NOW)], 4, True, id='in force'),
        pytest.param([(3, NOW - 1.0), (4, NOW)], 3, True, id='in touch'),
        pytest.param([(3, OLD_AS_OF)], 3, False, id='cut off'),
    ],
)
def test_keys_are_checked_by_the_age_of_what_is_in_force(
    steps, in_force, trusted
):
    current = state.State(
        organisations={'one': state.Organisation('one', 1.0, 1.0)},
        caller_keys={KEY.digest: KEY},
        declared_end=in_force,
    )
    made = make_front(make_view(*steps), current)
    request = types.SimpleNamespace(headers={'Authorization': 'Token secret'})
    if trusted:
        assert made._find_organisation(current, ROUTE, request) == 'one'
        return
    with pytest.raises(frontend.RequestRefused) as refused:
        made._find_organisation(current, ROUTE, request)
    assert refused.value.status == 503


class RecordingLease:
    """Replaces the lease; records the time used to renew it."""

    granted_rows = ()
    life = None

    def __init__(self):
        self.renewed_by = None

    def renew(self, as_of, now):
        self.renewed_by = as_of
        return leasing.Renewal()


# Guards against renewing keys by the age of a newer plan that assigns them to
# another node but is not in force here yet.
@pytest.mark.parametrize(
    ('in_force', 'as_of'), [(3, OLD_AS_OF), (4, NOW)], ids=['old', 'new']
)
async def test_keys_are_renewed_by_the_age_of_the_plan_in_force(
    in_force, as_of
):
    view = make_view((3, OLD_AS_OF), (4, NOW))
    made = targetlease.TargetLease(
        targetlease.Identity('n', 1, 'a', '10.0.0.1', 1, 's'),
        view,
        *(fakes.FakeTask(), fakes.FakeTask(), None),
    )
    await made.handle(journaling.StateChanged(state.State(offset=in_force)))
    made._lease = RecordingLease()
    made._waiting = fakes.FakeTask()
    made._answer_if_changed(NOW)
    assert made._lease.renewed_by == as_of


@pytest.mark.parametrize(
    ('in_force', 'as_of'), [(3, OLD_AS_OF), (4, NOW)], ids=['old', 'new']
)
async def test_shares_are_given_by_the_age_of_the_term_in_force(
    in_force, as_of
):
    # Guards against an allocator that continues by the age of the record
    # that replaces it.
    made = terms.Terms(
        1, make_view((3, OLD_AS_OF), (4, NOW)), fakes.FakeTask()
    )
    order = state.SlotOrder(1, (1,))
    current = state.State(
        offset=in_force,
        tables={state.SHARES_SERVICE: state.SlotTable((order,) * 4)},
    )
    await made.handle(journaling.StateChanged(current))
    found = await made.handle(owning.EnterSlot(state.SHARES_SERVICE, 2, 'r'))
    assert found.lease_end == as_of + deciding.AUTHORITY_S


# Guards against tokens that are held back after a restart of the allocator,
# and against tokens at once while another member's grants are valid. Columns:
# former allocators of the place, known end of the last one.
@pytest.mark.parametrize(
    ('previous', 'ended_at'),
    [
        pytest.param((7,), 5.0, id='earlier process of this member'),
        pytest.param((8,), None, id='another member'),
        pytest.param((7, 8), None, id='both'),
        pytest.param((), 5.0, id='none'),
    ],
)
def test_end_of_former_allocators_is_known(previous, ended_at):
    made = terms.Terms(1, None, fakes.FakeTask(), 'n', 5.0)
    made._predecessors = {7}
    place = state.AllocatorPlace(1, 'n', 3, previous)
    made._state = state.State(allocators=state.Allocators((place,)))
    assert made._find_former_end(3) == ended_at
