"""Takeover within the time bound, and each safeguard against two owners."""

import math

import pytest

from sesamejunction.decisions import nodelease
from sesamejunction.decisions import ownership
from sesamejunction.decisions import witness
from sesamejunction.model import owning
from sesamejunction.model import timing
from sesamejunction.tasks import witnesses
from test import fleetmodel

# Node 1 owns the slots, 2 and 3 are its successors, 4 to 6 its witnesses.
OWNER, FIRST, SECOND = 1, 2, 3
WITNESSES = (4, 5, 6)
BOUND_S = 1.0


def build_fleet(monkeypatch, count=9, fenced=True, **options):
    fleet = fleetmodel.Fleet(monkeypatch, 0, **options)
    for number in range(1, count + 1):
        fleet.start(number, number, fenced=fenced)
    ring = list(range(1, count + 1))
    for number in ring:
        others = [one for one in (*WITNESSES, 7, 8, 9) if one != number]
        fleet.name_witnesses(number, *others[:3])
    for slot in range(2):
        fleet.arrange(slot, OWNER, FIRST, SECOND)
    fleet.run(1.0)
    assert fleet.find_servers(0) == [OWNER]
    return fleet


# Guards against keys that stay without service. Rows: the nodes lost with the
# owner, whether the log is down, whether targets check grants, and the member
# that must serve within the bound.
LOSSES = {
    'owner': ((), False, True, FIRST),
    'owner, targets without grants': ((), False, False, FIRST),
    'owner, log down': ((), True, False, FIRST),
    'owner and first successor': ((FIRST,), True, False, SECOND),
    'owner and one witness': ((4,), True, False, FIRST),
}


@pytest.mark.parametrize('case', LOSSES)
@pytest.mark.parametrize('way', ['dead', 'paused'])
def test_successor_serves_within_bound(monkeypatch, case, way):
    lost, log_down, fenced, heir = LOSSES[case]
    fleet = build_fleet(monkeypatch, fenced=fenced)
    fleet.log_up = not log_down
    for one in (OWNER, *lost):
        setattr(fleet.nodes[one], way, True)
    taken = fleet.run_until(
        lambda: fleet.find_servers(0) == fleet.find_servers(1) == [heir],
        3.0,
    )
    assert taken < BOUND_S
    setattr(fleet.nodes[OWNER], way, False)
    if way == 'paused':
        fleet.run(1.0)
        assert fleet.nodes[OWNER].ended


def test_slots_pass_on_when_the_lease_runs_out(monkeypatch):
    # Guards against a slot that waits forever for requests at a hung target.
    fleet = build_fleet(monkeypatch, fenced=False)
    owner = fleet.nodes[OWNER]
    fleetmodel.enter_slot(owner, 0, 'r.1')
    owner.leases.tell(owning.StopRenewing())
    assert fleet.run_until(lambda: owner.ended, 1.0) < timing.LEASE_DURATION_S
    taken = fleet.run_until(lambda: fleet.find_servers(0) == [FIRST], 1.0)
    assert taken < timing.UNFENCED_HOLD_S + 0.1


def cut_two_witnesses(fleet):
    fleet.isolate(OWNER, 5, 6)
    fleet.run(2.0)


def cut_one_witness(fleet):
    fleet.isolate(OWNER, 4)
    fleet.run(2.0)


def change_to_unreleased_set(fleet):
    # Former witnesses that read the log late do not know the new set.
    for one in (5, 6):
        fleet.nodes[one].lagging = True
    fleet.isolate(OWNER, 5, 6)
    fleet.name_witnesses(OWNER, 7, 8, 9)
    fleet.run(2.0)


def lose_new_witnesses_after_change(fleet):
    # Former witnesses promise once more just before they release, while the
    # new ones receive nothing more. Equal delays keep the messages in order.
    fleet.delay_s = 0.0002
    fleet.nodes[OWNER].leases._renew_at = math.inf
    fleet.name_witnesses(OWNER, 7, 8, 9)
    fleet.run(0.05)
    fleet.nodes[OWNER].leases._renew_at = 0.0
    fleet.nodes[OWNER].leases.tick_within(0.0)
    fleet.isolate(OWNER, *WITNESSES)
    fleet.run(0.1)
    fleet.isolate(OWNER, 7, 8, 9)
    fleet.cut_links = {
        one for one in fleet.cut_links if not set(one) & set(WITNESSES)
    }
    fleet.run(2.0)


def restart_witness(fleet, incarnation):
    # Witness 4 is the only one to declare, restarts, and then 6 is cut off.
    fleet.isolate(OWNER, 4)
    fleet.run(1.0)
    fleet.cut_links.clear()
    fleet.start(incarnation, 4)
    fleet.run(0.5)
    fleet.isolate(OWNER, 6)
    fleet.run(2.0)


def move_past_member_behind(fleet):
    fleet.nodes[FIRST].lagging = True
    fleet.arrange(0, 7, 8, 9)
    fleet.run(0.5)
    fleet.nodes[OWNER].dead = True
    fleet.run(2.0)


def drift_apart(fleet):
    fleet.isolate(OWNER)
    fleet.run(1.0)


def ask_only_owner(view, slot):
    owner = slot.log_order.previous[0]
    ready = ownership._find_ready(
        view, slot, owner, slot.log_order.previous_epoch
    )
    return [] if ready is not None or owner == view.incarnation else [owner]


# Each row disables one rule in a case that the rule exists for. Rows: the
# attribute to patch with its weakened value, and the case.
SAFEGUARDS = {
    'two promises of three': (
        (nodelease, 'PROMISES_NEEDED', 1),
        cut_two_witnesses,
    ),
    'two declarations of three': (
        (witness, 'DECLARATIONS_NEEDED', 1),
        cut_one_witness,
    ),
    'two releases before the new set counts': (
        (nodelease, 'RELEASES_NEEDED', 1),
        change_to_unreleased_set,
    ),
    'a new witness waits one full promise': (
        (witness, 'FULL_PROMISE_S', 0.0),
        lose_new_witnesses_after_change,
    ),
    'all members of the old order release': (
        (ownership, 'list_unreleased', ask_only_owner),
        move_past_member_behind,
    ),
    'drift margin': ((timing, 'DRIFT_MARGIN_S', 0.0), drift_apart),
}


def build_fleet_for(monkeypatch, case):
    if case is not drift_apart:
        return build_fleet(monkeypatch)
    # Drift within the margin: the holder's clock is slow, all others are fast.
    fleet = build_fleet(monkeypatch, step_s=0.002)
    for node in fleet.nodes.values():
        rate = 0.985 if node.incarnation == OWNER else 1.015
        node.clock_offset += (node.rate - rate) * fleet.time
        node.rate = rate
    fleet.run(1.0)
    return fleet


@pytest.mark.parametrize('rule', SAFEGUARDS)
def test_safeguards_prevent_two_owners(monkeypatch, rule):
    play = SAFEGUARDS[rule][1]
    play(build_fleet_for(monkeypatch, play))


@pytest.mark.parametrize('rule', SAFEGUARDS)
def test_check_finds_missing_safeguards(monkeypatch, rule):
    (module, name, weakened), play = SAFEGUARDS[rule]
    monkeypatch.setattr(module, name, weakened)
    monkeypatch.setattr(witnesses, 'POLL_S', 0.1)
    fleet = build_fleet_for(monkeypatch, play)
    with pytest.raises(AssertionError, match='is served by|but serves'):
        play(fleet)


# Guards against a witness that loses its declaration by a restart. A restarted
# witness is another incarnation and makes no promises; under its old id, there
# would be two owners.
@pytest.mark.parametrize(('incarnation', 'safe'), [(14, True), (4, False)])
def test_restarted_witness_abstains(monkeypatch, incarnation, safe):
    fleet = build_fleet(monkeypatch)
    if safe:
        restart_witness(fleet, incarnation)
        return
    with pytest.raises(AssertionError, match='is served by|but serves'):
        restart_witness(fleet, incarnation)


def lose_witness_after_deaf_join(fleet):
    """Add a joining node that receives nothing as a witness, lose another."""
    fleet.start(10, 10)
    fleet.cut_links = {(one, 10) for one in fleet.nodes}
    fleet.name_witnesses(10, 7, 8, 9)
    fleet.name_witnesses(OWNER, 4, 5, 10)
    fleet.run(1.0)
    fleet.log_up = False
    fleet.run(1.2)
    fleet.cut_links.clear()
    fleet.run(0.5)
    fleet.nodes[4].dead = True
    fleet.run(2.0)
    return fleet.nodes[OWNER].ended


def lose_witness_after_cut_link(fleet):
    """Cut the link to one witness, which declares, then lose another one."""
    fleet.isolate(OWNER, 4)
    fleet.run(3.0)
    fleet.cut_links.clear()
    fleet.run(1.0)
    fleet.nodes[5].dead = True
    fleet.run(2.0)
    return fleet.nodes[OWNER].ended


def change_first_set_of_dead_witnesses(fleet):
    """Replace the witnesses of a joining node, two of which are lost."""
    for one in (4, 5):
        fleet.nodes[one].dead = True
    fleet.start(10, 10)
    fleet.name_witnesses(10, *WITNESSES)
    fleet.run(0.1)
    fleet.name_witnesses(10, 7, 8, 9)
    fleet.run(4.0)
    return not fleet.nodes[10].ended


def lose_two_witnesses_of_a_witness(fleet):
    """End a witness by the loss of two of its own, one also the owner's."""
    fleet.name_witnesses(6, 4, 8, 9)
    fleet.run(1.0)
    fleet.log_up = False
    for one in (4, 8):
        fleet.nodes[one].dead = True
    fleet.run(2.0)
    assert fleet.nodes[6].ended
    return fleet.nodes[OWNER].ended


class Always:
    """Descriptor that is always true, whatever is assigned to it."""

    def __get__(self, *_owner):
        return True

    def __set__(self, *_value):
        pass


# Each row guards against one loss that ends live nodes, or that keeps one out
# of service permanently. Rows: the attribute to patch with a value that
# disables the rule, and a case that returns whether a live node was lost.
SURVIVAL = {
    'a node without a first lease declares nobody': (
        (witnesses.Witnesses, '_leased', Always()),
        lose_witness_after_deaf_join,
    ),
    'a silent witness is replaced': (
        (nodelease, 'SILENT_S', math.inf),
        lose_witness_after_cut_link,
    ),
    'an ended incarnation stays a witness': (
        (fleetmodel.Node, 'stays_witness', False),
        lose_two_witnesses_of_a_witness,
    ),
    'a node without a first lease ends': (
        (nodelease, 'FIRST_LEASE_S', math.inf),
        change_first_set_of_dead_witnesses,
    ),
}


@pytest.mark.parametrize('rule', SURVIVAL)
@pytest.mark.parametrize('kept', [True, False])
def test_live_nodes_survive_other_losses(monkeypatch, rule, kept):
    (module, name, weakened), play = SURVIVAL[rule]
    fleet = build_fleet(monkeypatch)
    if not kept:
        monkeypatch.setattr(module, name, weakened, raising=False)
    assert play(fleet) is not kept
