"""Actor that fetches a topic's copy from a peer that is ahead."""

import eliot

from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


class CopyFetcher(actor.Actor):
    """Asks one peer at a time and passes its copy to the follower.

    While a call is in progress, only the latest peer that is ahead is
    remembered, so an unresponsive peer delays it by one call at most.
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
                    await self._fetch_copy(member)

    async def _fetch_copy(self, member) -> None:
        asked_at = clock.read_boot_clock()
        follower = self._follower
        try:
            reply = await self._links.ask(
                member,
                registry.GetCopy(follower.topic_name, follower.view.end),
            )
        except errors.PeerUnavailable as error:
            eliot.log_message(
                'journal: no copy from peer',
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
