"""Moves records of once-only requests with the slots of the owners task."""

import dataclasses

from sesamejunction.decisions import handover
from sesamejunction import errors
from sesamejunction.model import once
from sesamejunction.model import owning
from sesamejunction.tasks import clock


class Handovers:
    """Adds records to releases given and hands over those received.

    Records given are kept, since a release is repeated until its receiver
    has it.
    """

    def __init__(self, task):
        self._once = task
        self._given = {}

    async def add_records(self, release, before, after) -> owning.SlotRelease:
        """Return the release with the records of the slot.

        ``before`` and ``after`` are the slot around the release, None when
        this node keeps nothing of it; then it knows of no record.
        """
        if before is None or after.token is not None:
            known_since = clock.read_wall_clock()
            return dataclasses.replace(release, known_since=known_since)
        key = release.service, release.slot
        if before.token is not None:
            self._given[key] = await self._export(before)
        given = self._given.get(key)
        if given is None:
            return release
        return dataclasses.replace(
            release, known_since=given.known_since, entries=given.entries
        )

    def take(self, release) -> None:
        """Hand received records to the task that judges repeats."""
        if release.entries:
            # Never dropped, and before any request of the slot.
            self._once.tell_reliably(
                once.Transfer(
                    release.service,
                    release.slot,
                    release.known_since,
                    release.entries,
                )
            )

    def forget(self, key) -> None:
        """Forget the records given with a slot that all have settled."""
        self._given.pop(key, None)

    async def _export(self, slot) -> once.Transfer:
        known_since = handover.find_given_since(slot)
        export = once.Export(slot.service, slot.number, known_since)
        try:
            return await self._once.ask(export)
        except errors.SesameError:
            # Nothing is known of what ran here until now.
            return once.Transfer(
                slot.service, slot.number, clock.read_wall_clock(), ()
            )
