"""Task that extends the target's grant with each lease renewal."""

import typing

import eliot

from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import owning
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


class GrantSender(typing.Protocol):
    """Sends a grant to the target; raises PeerUnavailable."""

    async def send(self, port: int, grant: owning.TargetGrant) -> None:
        """Send to the target's announced port."""


class Grants(actor.Actor):
    """Sends the newest grant to a target that checks grants."""

    name = 'grants'

    def __init__(self, sender: GrantSender):
        super().__init__()
        self._sender = sender
        self._target = None
        self._sent = None
        self._failing = False

    async def handle(self, message):
        """Handle one message."""
        match message:
            case gating.TargetAnnounced():
                self._target = message
            case owning.TargetGrant():
                await self._extend(message)

    async def _extend(self, grant) -> None:
        target = self._target
        if target is None or not target.checks_grants:
            return
        if grant == self._sent or grant.end <= clock.read_boot_clock():
            return
        try:
            await self._sender.send(target.port, grant)
        except errors.PeerUnavailable as error:
            if not self._failing:
                eliot.log_message('lease: grant not sent', reason=str(error))
            self._failing = True
            return
        self._sent = grant
        self._failing = False
