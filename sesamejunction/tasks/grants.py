"""Actor that sends the target a new grant at each lease renewal."""

import typing

import eliot

from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import owning
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


class GrantSender(typing.Protocol):
    """Transport for grants."""

    async def send(self, port: int, grant: owning.TargetGrant) -> None:
        """Send to the target's port; raises PeerUnavailable on failure."""


class Grants(actor.Actor):
    """Sends the newest grant if the target checks grants.

    A grant allows the target to run requests until the lease ends. Only the
    first of consecutive failures is logged.
    """

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
                await self._send_grant(message)

    async def _send_grant(self, grant) -> None:
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
