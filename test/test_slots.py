"""Slots of one node: draining, planned stops, hot keys and isolated nodes."""

import dataclasses
import math

import pytest

from sesamejunction.decisions import isolation
from sesamejunction.decisions import ownership
from sesamejunction.decisions import witness
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import records
from sesamejunction.model import state
from test import fleetmodel

SLOT = ownership.Slot('catalogue', 0, state.SlotOrder(1, (1, 2, 3)))
MOVED = state.SlotOrder(2, (4, 1, 2), (1, 2, 3), 1)
OWNER = ownership.NodeView(1)
served, _ = ownership.update_ownership(OWNER, SLOT, 10.0)
busy = ownership.enter_slot(served, 'a', 10.0)


# Guards against requests that run at two owners at once. A slot with running
# requests is not released, accepts no new ones, and opens again if the
# claimant has gone. Rows: slot, requested epoch, whether it is released, and
# whether a new request may enter at once and later.
@pytest.mark.parametrize(
    ('slot', 'epoch', 'given', 'enters', 'enters_later'),
    [
        (served, 1, False, True, True),
        (dataclasses.replace(served, log_order=MOVED), 1, True, False, False),
        (dataclasses.replace(busy, log_order=MOVED), 1, False, False, True),
        (dataclasses.replace(busy, log_order=MOVED), 2, False, True, True),
    ],
    ids=('record not read', 'idle', 'busy', 'newest epoch'),
)
def test_release_waits(slot, epoch, given, enters, enters_later):
    slot, released = ownership.give_release(slot, epoch, 20.0)
    assert released == given
    slot, _ = ownership.update_ownership(OWNER, slot, 20.0)
    assert (ownership.enter_slot(slot, 'b', 20.01) is not None) == enters
    later = 20.0 + ownership.DRAIN_S
    assert (ownership.enter_slot(slot, 'b', later) is not None) == enters_later


# Guards against a claimant that stops the owner although another member has
# not released yet: successors are asked first, the owner last and alone.
@pytest.mark.parametrize(
    ('releases', 'ended', 'asked'),
    [
        ({}, {}, (2, 3)),
        ({2: 1}, {}, (3,)),
        ({2: 1}, {3: 0.0}, (1,)),
        ({2: 1, 3: 1}, {}, (1,)),
    ],
)
def test_owner_is_asked_last(releases, ended, asked):
    slot = dataclasses.replace(SLOT, log_order=MOVED, releases=releases)
    role = ownership.find_role(ownership.NodeView(4, ended), slot, 30.0)
    assert role == ownership.NeedsReleases(1, asked)


# Guards against concurrent work by an ended owner's target, which may still
# finish its requests. The successor for a service without fencing may start at
# once only after a release.
@pytest.mark.parametrize(
    ('unfenced', 'releases', 'expected'),
    [
        ({'catalogue'}, {}, ownership.OwnsFrom),
        ({'catalogue'}, {1: 1}, ownership.Owns),
        (set(), {}, ownership.Owns),
    ],
)
def test_hold_after_ending(unfenced, releases, expected):
    view = ownership.NodeView(2, {1: 40.0}, frozenset(unfenced))
    slot = dataclasses.replace(SLOT, releases=releases)
    assert isinstance(ownership.find_role(view, slot, 40.1), expected)
    late = ownership.find_role(view, slot, 40.25)
    assert isinstance(late, ownership.Owns)


# Guards against a hot key that is served in its fixed and its hot slot at
# once. Rows: the fixed slot and whether the hot slot may be released.
@pytest.mark.parametrize(
    ('base', 'given'),
    [(served, True), (busy, False)],
    ids=('idle', 'request runs in the fixed slot'),
)
def test_hot_slot_waits_for_fixed_slot(base, given):
    hot = ownership.Slot('catalogue', 4, MOVED)
    hot = ownership.inherit_slot(hot, 0, base)
    hot, released = ownership.give_release(hot, 1, 50.0)
    assert released == given
    hot = ownership.leave_slot(hot, 'a')
    assert ownership.give_release(hot, 1, 50.0)[1]


# Guards against "outcome unknown" for a key that stays at its node, and
# against records taken as complete although another owner may have served.
@pytest.mark.parametrize(
    ('previous', 'since'), [((1, 2, 3), 10.0), ((1, 3, 2), 50.0)]
)
def test_hot_slot_keeps_start_of_ownership(previous, since):
    log_order = state.SlotOrder(3, (4, 1, 2), previous, 2)
    hot = ownership.Slot('catalogue', 4, log_order)
    hot = ownership.inherit_slot(hot, 0, served)
    hot, _ = ownership.update_ownership(OWNER, hot, 50.0)
    assert hot.token and hot.since == since
    hot, _ = ownership.give_release(hot, 2, 51.0)
    assert hot.since == -math.inf


def test_moving_hot_slot_keeps_its_owner():
    # Guards against a hot slot without an owner: that its owner has released
    # the fixed slot earlier does not matter for a later move.
    fixed = dataclasses.replace(SLOT, released=1)
    hot = dataclasses.replace(served, number=4, log_order=MOVED)
    assert ownership.inherit_slot(hot, 0, fixed).released == 0
    hot = dataclasses.replace(hot, token=None)
    assert ownership.inherit_slot(hot, 0, fixed).released == 1


# Guards against a witness that ends the lease of a holder which reads the log
# late, and against promises after a release or declaration.
@pytest.mark.parametrize(
    ('watch', 'renewed'),
    [
        (witness.Watch(1, 1), True),
        (witness.release_watch(witness.Watch(1, 1)), False),
        (witness.Watch(1, 1, declared=True), False),
    ],
    ids=('watching', 'released', 'declared'),
)
def test_stopped_witness_promises_no_more(watch, renewed):
    renew = messages.RenewLease(1, 1, 5.0, 0, 0.0)
    found = witness.take_renewal(watch, renew, 60.0)
    assert (found.promised_until > 60.0) == renewed


LOST = math.inf


# Guards against refusing requests in a mere outage of the log, and against
# serving them from an old state (the table of design 5.3).
@pytest.mark.parametrize(
    ('contact', 'serves'),
    [
        (isolation.Contact(True, 0.1, LOST, 9.0), True),
        (isolation.Contact(True, 9.0, 0.1, 1.0), True),
        (isolation.Contact(True, 9.0, 0.1, 2.1), False),
        (isolation.Contact(True, LOST, LOST), True),
        (isolation.Contact(True, 61.0, 70.0, 0.0, 60.0), False),
        (isolation.Contact(True, 61.0, 0.1, 0.0, 60.0), True),
        (isolation.Contact(False, 0.1, 0.1), False),
    ],
)
def test_requests_are_accepted_by_log_contact(contact, serves):
    judged = isolation.check_contact(contact)
    assert isinstance(judged, isolation.Serves) == serves


# Guards against an interruption by a planned stop, with and without the log,
# and against a stop that ends while a request still runs.
@pytest.mark.parametrize('log_up', [True, False])
def test_planned_stop_hands_over(monkeypatch, log_up):
    fleet = fleetmodel.Fleet(monkeypatch, 5)
    for number in range(1, 6):
        others = [one for one in range(1, 6) if one != number]
        fleet.name_witnesses(number, *others[:3])
    for slot in range(2):
        fleet.arrange(slot, 1, 2, 3)
    fleet.run(1.0)
    owners = fleet.nodes[1].owners
    owners.tell(owning.EnterSlot('catalogue', 0, 'a'))
    fleet.run(0.1)
    fleet.log_up = log_up
    fleet.append(records.MemberLeaving(1))
    owners.tell(owning.StopOwning())
    moved = fleet.run_until(lambda: fleet.find_servers(1) == [2], 1.0)
    assert moved < 0.1
    # A slot counts as held until the receivers have confirmed its release.
    fleet.run(0.1)
    assert fleet.find_servers(0) == [1]
    assert fleetmodel.drive(owners.handle(owning.CountHeldSlots())) == 1
    owners.tell(owning.LeaveSlot('catalogue', 0, 'a'))
    assert fleet.run_until(lambda: fleet.find_servers(0) == [2], 1.0) < 0.2
    fleet.run(0.1)
    assert fleetmodel.drive(owners.handle(owning.CountHeldSlots())) == 0


# Guards against a planned stop that cuts requests because the witnesses stop
# first, as in the stop of a whole fleet.
@pytest.mark.parametrize('stopping', [True, False])
def test_lost_lease_in_planned_stop(monkeypatch, stopping):
    fleet = fleetmodel.Fleet(monkeypatch, 4)
    fleet.name_witnesses(1, 2, 3, 4)
    fleet.arrange(0, 1)
    fleet.run(1.0)
    node = fleet.nodes[1]
    node.owners.tell(owning.EnterSlot('catalogue', 0, 'a'))
    if stopping:
        for task in node.tasks:
            task.tell(owning.StopOwning())
    fleet.isolate(1)
    fleet.run(1.0)
    assert not fleet.find_servers(0)
    assert node.ended != stopping
    held = fleetmodel.drive(node.owners.handle(owning.CountHeldSlots()))
    assert held == 1
