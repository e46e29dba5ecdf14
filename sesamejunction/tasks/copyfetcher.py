"""Task that fetches a topic's copy from a peer that is ahead."""

import eliot

from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


class CopyFetcher(actor.Actor):
    """Asks one peer at a time and hands its copy to the follower.

    A peer that is found ahead while another is asked replaces those found
    before it, so a silent peer delays the next by one call only.
    """

    def __init__(self, follower, links):
        super().__init__()
        self.name = f'copies {follower.topic_name}'
        self._follower = follower
        self._links = links

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.PeerAhead(member=member, end=end):
                if end > self._follower.view.end:
                    await self._fetch(member)

    async def _fetch(self, member) -> None:
        asked_at = clock.read_boot_clock()
        follower = self._follower
        try:
            reply = await self._links.ask(
                member,
                registry.GetCopy(follower.topic_name, follower.view.end),
            )
        except errors.PeerUnavailable as error:
            eliot.log_message(
                'journal: no copy',
                topic=follower.topic_name,
                member=member.name,
                reason=str(error),
            )
            return
        if reply.body is None:
            return
        follower.tell(registry.TakeCopy(reply.body, asked_at - reply.age))
        eliot.log_message(
            'journal: copy from a peer',
            topic=follower.topic_name,
            member=member.name,
            end=reply.body.end,
        )
