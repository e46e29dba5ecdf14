"""Transfers records of once-only requests when a slot changes its owner."""

import dataclasses

from sesamejunction.decisions import handover
from sesamejunction import errors
from sesamejunction.model import once
from sesamejunction.model import owning
from sesamejunction.tasks import clock


class Handovers:
    """Adds records to outgoing releases and imports those received.

    ``once_actor`` is the actor that holds this node's records. Exported
    records are kept, since a release is sent again until the receiver
    confirms it.
    """

    def __init__(self, once_actor):
        self._once = once_actor
        self._exported = {}

    async def add_records(self, release, before, after) -> owning.SlotRelease:
        """Return the release with the slot's records.

        ``before`` and ``after`` are the slot before and after the release.
        They are None if this node has no state of the slot, and then it has
        no records either. ``known_since`` of the release is the wall-clock
        time from which its records are complete.
        """
        if before is None or after.token is not None:
            known_since = clock.read_wall_clock()
            return dataclasses.replace(release, known_since=known_since)
        key = release.service, release.slot
        if before.token is not None:
            self._exported[key] = await self._export_records(before)
        exported = self._exported.get(key)
        if exported is None:
            return release
        return dataclasses.replace(
            release, known_since=exported.known_since, entries=exported.entries
        )

    def take(self, release) -> None:
        """Pass received records to the actor that finds repeated requests."""
        if release.entries:
            # Must not be dropped, and must be queued before any request of
            # the slot.
            self._once.tell_reliably(
                once.Transfer(
                    release.service,
                    release.slot,
                    release.known_since,
                    release.entries,
                )
            )

    def forget(self, key) -> None:
        """Forget the records of a slot whose move is complete."""
        self._exported.pop(key, None)

    async def _export_records(self, slot) -> once.Transfer:
        known_since = handover.find_given_since(slot)
        export = once.Export(slot.service, slot.number, known_since)
        try:
            return await self._once.ask(export)
        except errors.SesameError:
            # Without records, none of the requests until now are known.
            return once.Transfer(
                slot.service, slot.number, clock.read_wall_clock(), ()
            )
