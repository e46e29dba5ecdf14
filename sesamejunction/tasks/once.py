"""Actor that owns the idempotency records of once-only requests."""

import time

from sesamejunction.decisions import idempotency
from sesamejunction.model import once
from sesamejunction.tasks import actor


class Once(actor.Actor):
    """Ensures that each once-only request runs at most once here."""

    name = 'once'

    def __init__(self, read_wall_clock=time.time):
        super().__init__()
        self._read_wall_clock = read_wall_clock
        self._ledger = idempotency.Ledger()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case once.Begin(owned_since=since):
                now = self._read_wall_clock()
                return self._ledger.begin(message, since, now)
            case once.RecordResult():
                self._ledger.settle(message)
            case once.Forget():
                self._ledger.forget(message)
            case once.Export():
                return self._export(message)
            case once.Transfer():
                self._ledger.merge_transfer(message)

    def _export(self, message) -> once.Transfer:
        slot_key = message.service, message.slot
        entries = self._ledger.export(*slot_key)
        full_transfer = once.Transfer(*slot_key, message.known_since, entries)
        return idempotency.limit_transfer(
            full_transfer, self._read_wall_clock()
        )
