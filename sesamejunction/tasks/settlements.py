"""Creates the records that mark slot moves as complete."""

import collections
import math

from sesamejunction.decisions import ownership
from sesamejunction.model import records

# Time after which an unconfirmed settlement is proposed again.
RETRY_S = 2.0


class Settlements:
    """Tracks proposed settlements, to limit how often they are repeated."""

    def __init__(self):
        self._proposed = {}

    def collect(self, slots, now: float) -> list[records.SlotsSettled]:
        """Return a record for each service with moves to settle.

        ``slots`` are the slots to check, with None for removed ones; ``now``
        is in boot-clock seconds.
        """
        batches = collections.defaultdict(list)
        for slot in slots:
            if slot is None or not ownership.needs_settling(slot):
                continue
            key, epoch = (slot.service, slot.number), slot.log_order.epoch
            proposed, at = self._proposed.get(key, (0, -math.inf))
            if proposed == epoch and now < at + RETRY_S:
                continue
            self._proposed[key] = (epoch, now)
            batches[slot.service].append(
                records.SettledEntry(slot.number, epoch)
            )
        return [
            records.SlotsSettled(service, tuple(entries))
            for service, entries in batches.items()
        ]
