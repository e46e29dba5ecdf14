"""Settings, connections and steps that all operator commands share."""

import asyncio
import contextlib
import time

from sesamejunction.border import declarationedit
from sesamejunction.border import loghttp
from sesamejunction.border import operatorclient
from sesamejunction.border import settings
from sesamejunction.border import ticketlog
from sesamejunction.commands import tickets as commands
from sesamejunction import errors
from sesamejunction.model import state
from sesamejunction.model import ticketing


class Session:
    """Ports and settings of one operator command."""

    def __init__(self, ctl_settings: settings.CtlSettings, ports, client):
        self.ctl_settings = ctl_settings
        self.ports = ports
        self.client = client
        self.view = commands.LogView(ports.log)

    async def apply_and_follow(self, edit, **content) -> None:
        """Apply the next ticket, write the edit, then wait for all nodes.

        The edit of the declarations was checked by the caller, so that a bad
        file stops the command before anything has changed.
        """
        applied = await commands.apply_change(
            self.ports, self.view, self.ctl_settings.author, **content
        )
        if edit is not None:
            declarationedit.write_edit(edit)
            print(f'written to {edit.path}; commit it')
        await self.follow(applied)

    async def follow(self, applied: ticketing.AppliedTicket) -> None:
        """Wait until all nodes confirm a ticket and print the result.

        Raises an error that names the number of unconfirmed nodes.
        """
        result = 'already in force' if applied.already_applied else 'accepted'
        print(f'ticket {applied.number}: {result}')
        followed = await commands.wait_for_confirmations(
            self.ports,
            self.view,
            applied.offset,
            self.ctl_settings.follow_limit_s,
            self.ctl_settings.follow_concurrency,
        )
        for member in followed.unconfirmed:
            print(
                f'not confirmed: {member.name} ({member.address}): '
                f'{member.reason}'
            )
        if followed.unconfirmed:
            raise errors.TicketNotConfirmed(
                f'ticket {applied.number} is in force, but '
                f'{len(followed.unconfirmed)} nodes did not confirm it within '
                f'{followed.taken_s:.1f} s; look at them, then run follow'
            )
        print(
            f'confirmed by {followed.confirmed} nodes after '
            f'{followed.taken_s:.2f} s'
        )

    async def find_member(self, name: str) -> state.Member:
        """Return the live member with a name; raises UsageError if unknown."""
        current = await self.view.catch_up()
        matches = [
            member
            for member in current.members.values()
            if member.name == name
        ]
        if not matches:
            known = ', '.join(
                sorted(member.name for member in current.members.values())
            )
            raise errors.UsageError(
                f'no live member is called {name}; members are {known}'
            )
        return matches[0]


def run_session(flags, command) -> None:
    """Run one command with its settings and connections."""
    ctl_settings = settings.read_settings(settings.CtlSettings, flags)
    key = ctl_settings.read_operator_key()

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            log = await stack.enter_async_context(
                loghttp.LogClient(str(ctl_settings.log_url))
            )
            client = await stack.enter_async_context(
                operatorclient.OperatorClient(key)
            )
            ports = commands.Ports(
                ticketlog.TicketLog(log),
                client,
                time.monotonic,
                asyncio.sleep,
            )
            await command(Session(ctl_settings, ports, client))

    asyncio.run(run())
