"""Lease, slot and share actors for tests and benchmarks of one process.

They hold no lease, wait for no releases and limit no rates. A real node uses
tasks/leases, tasks/owners and tasks/shares.
"""

import time

from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import sharing
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


class PermissiveLease:
    """A lease that never ends."""

    @property
    def current(self):
        """Return a lease renewed just now."""
        return owning.Lease(clock.read_boot_clock() + timing.LEASE_DURATION_S)


class PermissiveOwners(actor.Actor):
    """Serves each slot in whose order this node is first."""

    name = 'permissive-owners'

    def __init__(self, incarnation: int, since: float | None = None):
        super().__init__()
        self._incarnation = incarnation
        self._state = state.State()
        self._since = time.time() if since is None else since

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
            case owning.CountHeldSlots():
                return 0
            case owning.EnterSlot(service=service, slot=slot):
                return self._enter(service, slot)

    def _enter(self, service, slot):
        table = self._state.tables.get(service)
        log_order = table and table.orders[slot]
        if not log_order or log_order.order[0] != self._incarnation:
            return owning.NotServing(
                log_order.order[0] if log_order else None,
                log_order.epoch if log_order else 0,
            )
        now = clock.read_boot_clock()
        return owning.Serving(
            requests.Token(log_order.epoch, 0),
            now + timing.LEASE_DURATION_S,
            now + timing.LEASE_DURATION_S + timing.UNFENCED_HOLD_S,
            self._since,
        )


class PermissiveShares(actor.Actor):
    """Grants every request a token."""

    name = 'permissive-shares'

    async def handle(self, message):
        """Handle one message."""
        match message:
            case sharing.TakeToken():
                return sharing.TokenTaken()
