"""Simulated fleet of token holders and allocators on a lossy network."""

import dataclasses

from sesamejunction.decisions import shares
from sesamejunction.decisions import tokenallocator
from sesamejunction.decisions import tokenholder
from sesamejunction.model import messages
from sesamejunction.model import requests
from sesamejunction.model import state

NAME = 'embalagens'
ORGANISATION = state.Organisation(NAME, 40.0, 40.0)
FLEET = state.FleetSettings(max_nodes=4)


@dataclasses.dataclass
class Node:
    """One incarnation; its clock differs from the others by ``offset``."""

    holder: tokenholder.TokenHolder
    allocator: tokenallocator.Allocator
    offset: float
    pending: list = dataclasses.field(default_factory=list)


class Simulation:
    """Delivers messages, advances time and records admitted requests."""

    def __init__(
        self,
        holder=tokenholder.TokenHolder,
        allocator=tokenallocator.Allocator,
    ):
        self._holder = holder
        self._allocator = allocator
        self.now = 0.0
        self.nodes = {}
        self.network = []
        self.admitted = []
        self._incarnation = 0
        self._epoch = 1
        # When the process that owned the slot before as the same member
        # ended; None if another member may have owned it since.
        self._former_ended_at = None
        self.owner = None
        for _ in range(3):
            self.join()
        self.owner = min(self.nodes)
        self._update()
        # Fills the bucket, so that the tests work close to the limit.
        self.open_pool()
        self.advance(ORGANISATION.burst / ORGANISATION.rate + 2)

    def join(self):
        if len(self.nodes) < FLEET.max_nodes:
            self._incarnation += 1
            node_id = self._incarnation
            self.nodes[node_id] = Node(
                self._holder(node_id),
                self._allocator(node_id),
                node_id * 1000.0,
            )
            self._update()

    def leave(self, node_id):
        if len(self.nodes) > 1:
            del self.nodes[node_id]
            if node_id == self.owner:
                self.fail_over(min(self.nodes))
            self._update()

    def restart(self, node_id):
        self.leave(node_id)
        self.join()

    def restart_owner(self, _node_id):
        """Replace the owner's process; its pool opens with a request."""
        del self.nodes[self.owner]
        self._former_ended_at = self.now
        self._epoch += 2
        self.join()
        self.owner = self._incarnation
        self._update()

    def fail_over(self, node_id):
        self.owner = node_id
        self._former_ended_at = None
        # Two epochs, since a member that owns the slot and is first in the
        # next epoch's order would keep its bucket.
        self._epoch += 2
        self.open_pool()
        self._update()

    def open_pool(self):
        node = self.nodes[self.owner]
        node.allocator.open_pool(
            NAME,
            shares.split_shared_quota(ORGANISATION, FLEET),
            requests.Token(self._epoch, 0),
            self.now + node.offset,
            None
            if self._former_ended_at is None
            else self._former_ended_at + node.offset,
        )

    def advance(self, seconds):
        self.now += seconds

    def spend(self, node_id, count):
        node = self.nodes[node_id]
        for _ in range(count):
            at = self.now + node.offset
            node.holder.count_demand(NAME, at)
            receipt = node.holder.spend_token(NAME, at)
            if receipt is not None:
                self.admitted.append(self.now)
                node.pending.append((self.now, receipt))

    def give_back(self, node_id):
        node = self.nodes[node_id]
        if node.pending:
            spent_at, receipt = node.pending.pop()
            node.holder.return_token(NAME, receipt, self.now + node.offset)
            self.admitted.remove(spent_at)

    def ask(self, node_id):
        node = self.nodes[node_id]
        self.network += node.holder.build_requests(self.now + node.offset)

    def exchange(self, node_id):
        count = len(self.network)
        self.ask(node_id)
        while len(self.network) > count:
            self.deliver(count)

    def return_all(self, node_id):
        node = self.nodes[node_id]
        self.network += node.holder.return_unspent(self.now + node.offset)

    def deliver(self, index, keep=False):
        if not self.network:
            return
        index %= len(self.network)
        to, message = self.network[index]
        if not keep:
            del self.network[index]
        node = self.nodes.get(to)
        if node is None:
            return
        at = self.now + node.offset
        match message:
            case messages.ShareRequest(holder=holder) if to == self.owner:
                self.open_pool()
                reply = node.allocator.answer(message, (NAME,), at)
                if reply is not None:
                    self.network.append((holder, reply))
            case messages.ShareReply():
                node.holder.take_reply(message, at)

    def drop(self, index):
        if self.network:
            del self.network[index % len(self.network)]

    def find_excess(self):
        """Return the largest excess over burst + rate x window of any window.

        It is the largest deficit of one bucket with all admitted requests.
        """
        level, last, worst = ORGANISATION.burst, 0.0, 0.0
        for at in sorted(self.admitted):
            level += (at - last) * ORGANISATION.rate
            level = min(ORGANISATION.burst, level) - 1
            last = at
            worst = max(worst, -level)
        return worst if worst > 1e-6 else 0.0

    def _update(self):
        # The candidates are the owner, and then others that do not answer.
        order = [self.owner] if self.owner else []
        order += [node_id for node_id in self.nodes if node_id != self.owner][
            :2
        ]
        for node in self.nodes.values():
            node.holder.set_organisation(
                NAME,
                shares.split_local_quota(ORGANISATION, FLEET),
                shares.split_shared_quota(ORGANISATION, FLEET),
                tuple(order),
                self.now + node.offset,
            )
