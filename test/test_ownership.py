"""Property test: no slot has two owners under any sequence of failures."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sesamejunction.model import owning
from test import fleetmodel

COUNT = 7
SLOTS = 2
SOAK = os.environ.get('HYPOTHESIS_PROFILE') == 'soak'
PORTS = strategies.integers(1, COUNT)
ORDERS = strategies.permutations(range(1, COUNT + 1))
ALL = list(range(1, COUNT + 1))
CHOSEN = strategies.integers(0, SLOTS - 1)
# Bit n cuts the link to the n-th witness, first those of the new set, then
# those of the old one.
MASKS = strategies.integers(0, 63)
PAUSES = strategies.sampled_from((0.05, 0.3, 0.55, 0.8, 1.2))
# Rate errors within the drift margin: 20 ms in 600 ms between two clocks.
RATES = strategies.sampled_from((0.985, 0.995, 1.0, 1.005, 1.015))


class FleetMachine(stateful.RuleBasedStateMachine):
    """Applies failures, moves and stops; the fleet checks every step."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.fleet = None
        self.running = []

    @stateful.initialize(
        rates=strategies.lists(RATES, min_size=COUNT, max_size=COUNT),
        seed=strategies.integers(0, 1000),
    )
    def build(self, rates, seed):
        fleet = self.fleet = fleetmodel.Fleet(self.patch, 0, SLOTS, seed=seed)
        self.at_port = {}
        for port, rate in enumerate(rates, 1):
            fleet.start(port, port, rate, fenced=seed % 2 == 0)
            self.at_port[port] = fleet.nodes[port]
        for port in self.at_port:
            self.name(port, ALL[::-1])
        for slot in range(SLOTS):
            self.arrange(slot, [1, 2, 3])
        fleet.run(0.6)

    def find_owner(self, slot):
        """Return the node that serves the slot, or some node if none does."""
        found = self.fleet.find_servers(slot)
        return self.fleet.nodes[found[0] if found else slot + 1]

    def find_witnesses(self, holder):
        found = self.fleet.states[-1].witness_sets.get(holder)
        if found is None:
            return []
        return [*found.witnesses, *(found.previous or ())]

    @stateful.rule(slot=CHOSEN, seconds=PAUSES)
    def pause_owner(self, slot, seconds):
        node = self.find_owner(slot)
        node.paused = True
        self.fleet.run(seconds)
        node.paused = False

    @stateful.rule(port=PORTS, seconds=PAUSES)
    def pause_other(self, port, seconds):
        self.at_port[port].paused = True
        self.fleet.run(seconds)
        self.at_port[port].paused = False

    @stateful.rule(slot=CHOSEN)
    def kill_owner(self, slot):
        self.find_owner(slot).dead = True
        self.fleet.run(0.5)

    @stateful.rule(port=PORTS)
    def restart(self, port):
        fleet = self.fleet
        if fleet.log_up:
            self.at_port[port].dead = True
            incarnation = 10 * len(fleet.nodes) + port
            fleet.start(incarnation, port, fenced=fleet.time < 2.0)
            self.at_port[port] = fleet.nodes[incarnation]
            self.name(port, ALL)

    @stateful.rule(slot=CHOSEN, chosen=MASKS, seconds=PAUSES)
    def cut_owner(self, slot, chosen, seconds):
        """Cut the links between the owner and some of its witnesses."""
        holder = self.find_owner(slot).incarnation
        others = self.find_witnesses(holder)
        others = [one for at, one in enumerate(others) if chosen >> at & 1]
        self.fleet.isolate(holder, *(others or self.fleet.nodes))
        self.fleet.run(seconds)

    @stateful.rule()
    def heal(self):
        self.fleet.cut_links.clear()
        self.fleet.loss, self.fleet.delay_s = 0.0, 0.002
        self.fleet.run(0.3)

    @stateful.rule(
        loss=strategies.sampled_from((0.1, 0.4)),
        delay_s=strategies.sampled_from((0.002, 0.05, 0.3)),
        seconds=PAUSES,
    )
    def disturb(self, loss, delay_s, seconds):
        self.fleet.loss, self.fleet.delay_s = loss, delay_s
        self.fleet.run(seconds)

    @stateful.rule(up=strategies.booleans())
    def switch_log(self, up):
        self.fleet.log_up = up

    @stateful.rule(port=PORTS, lagging=strategies.booleans())
    def delay_log(self, port, lagging):
        self.at_port[port].lagging = lagging

    @stateful.rule(slot=CHOSEN, order=ORDERS)
    def arrange(self, slot, order):
        order = [self.at_port[port].incarnation for port in order[:3]]
        self.fleet.arrange(slot, *order)
        self.fleet.run(0.05)

    @stateful.rule(port=PORTS, order=ORDERS)
    def name(self, port, order):
        others = [self.at_port[one].incarnation for one in order]
        holder = self.at_port[port].incarnation
        chosen = [one for one in others if one != holder][:3]
        self.fleet.name_witnesses(holder, *chosen)

    @stateful.rule(slot=CHOSEN, order=ORDERS, seconds=PAUSES)
    def rename_owner(self, slot, order, seconds):
        holder = self.find_owner(slot)
        if self.at_port.get(holder.port) is holder:
            self.name(holder.port, order)
            self.fleet.run(seconds)

    @stateful.rule(order=ORDERS, same=strategies.booleans())
    def move_hot_key(self, order, same):
        """Place the hot key, or move it back to its fixed slot."""
        fleet = self.fleet
        table = fleet.states[-1].tables[fleetmodel.SERVICE]
        chosen = [self.at_port[port].incarnation for port in order[:3]]
        if not table.hot_keys:
            fleet.place_hot_key(*(table.orders[0].order if same else chosen))
        elif table.orders[0].order == table.orders[-1].order:
            fleet.remove_hot_key()
        else:
            fleet.arrange(fleetmodel.HOT_SLOT, *table.orders[0].order)
        fleet.run(0.1)

    @stateful.rule(slot=CHOSEN)
    def stop_owner(self, slot):
        self.find_owner(slot).owners.tell(owning.StopOwning())
        self.fleet.run(0.2)

    @stateful.rule(slot=CHOSEN)
    def enter(self, slot):
        node = self.find_owner(slot)
        request = (fleetmodel.SERVICE, slot, str(len(self.running)))
        node.owners.tell(owning.EnterSlot(*request))
        self.running.append((node, owning.LeaveSlot(*request)))

    @stateful.rule()
    def leave(self):
        for node, message in self.running:
            node.owners.tell(message)
        self.running.clear()

    @stateful.rule(order=ORDERS)
    def recover(self, order):
        """End all faults and give every slot an order of live members."""
        self.leave()
        self.fleet.log_up = True
        for port, node in self.at_port.items():
            node.lagging = False
            if node.dead or node.ended:
                self.restart(port)
        self.heal()
        self.fleet.run(1.0)
        for slot in range(SLOTS):
            self.arrange(slot, order)
        self.fleet.run(0.5)

    def teardown(self):
        self.patch.undo()


# Guards against two owners under combined faults: message loss, delay and
# reordering, pauses, restarts, clock drift, log outages, and changes of orders
# and witnesses. The fleet's check runs after every step of 10 ms.
@pytest.mark.timeout(3600 if SOAK else 60)
def test_property_one_owner():
    stateful.run_state_machine_as_test(
        FleetMachine,
        settings=hypothesis.settings(
            max_examples=1000 if SOAK else 30,
            stateful_step_count=50 if SOAK else 30,
            derandomize=not SOAK,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
