"""Reads topics from other nodes of the availability zone."""

from sesamejunction.decisions import sources
from sesamejunction.model import registry
from sesamejunction.tasks import clock

# A member that gave no news is not asked again for this time.
FAILED_S = 5.0


class TopicSources:
    """Chooses the source of each topic and asks other nodes for news.

    ``states`` and ``presence`` are the views of the members and of those that
    are silent.
    """

    def __init__(self, incarnation, zone, states, presence, links):
        self._incarnation = incarnation
        self._zone = zone
        self._states = states
        self._presence = presence
        self._links = links
        self._failed_until = {}
        # The latest choice of each topic with the inputs that it depends on.
        self._choices = {}
        # The readers of each topic with the members that they depend on.
        self._readers = {}

    def choose(self, topic: str) -> sources.ReadLog | sources.ReadPeer:
        """Return the present source of a topic."""
        members, presence = self._states.current.members, self._presence
        failed, heard = self._list_failed(), presence.last_heard_at
        inputs = members, presence.silent, failed, len(heard)
        known = self._choices.get(topic)
        if (
            known is not None
            and known[0][0] is members
            and known[0][1:] == inputs[1:]
        ):
            return known[1]
        # Members that this node has never heard of may have ended before it
        # started, as all have after a loss of power.
        excluded = presence.silent | failed | (members.keys() - heard.keys())
        source = sources.choose_source(
            members, self._incarnation, self._zone, topic, excluded
        )
        self._choices[topic] = inputs, source
        return source

    def find_member(self, incarnation: int) -> sources.ReadPeer | None:
        """Return a member as a source, None if it is gone or has failed."""
        member = self._states.current.members.get(incarnation)
        if member is None or incarnation in self._list_failed():
            return None
        return sources.ReadPeer(member)

    def find_reader_rank(self, topic: str) -> tuple[int, int]:
        """Return this node's place among the readers and their number.

        A node that replaces a reader, or that is not registered yet, takes
        the last place.
        """
        readers = self._list_readers(topic)
        if self._incarnation in readers:
            return readers.index(self._incarnation), len(readers)
        return len(readers), len(readers) + 1

    def is_reader(self, topic: str) -> bool:
        """Return whether this node is among the readers of a topic."""
        return self._incarnation in self._list_readers(topic)

    def _list_readers(self, topic) -> list[int]:
        members = self._states.current.members
        known = self._readers.get(topic)
        if known is None or known[0] is not members:
            known = members, sources.list_readers(members, topic)
            self._readers[topic] = known
        return known[1]

    def note_failed(self, source: sources.ReadPeer) -> None:
        """Ask other members for a while."""
        self._failed_until[source.member.incarnation] = (
            clock.read_boot_clock() + FAILED_S
        )

    async def fetch_news(
        self, source: sources.ReadPeer, question: registry.AskNews
    ) -> registry.NewsAnswer:
        """Return the member's news; raises PeerUnavailable without any."""
        return await self._links.ask(source.member, question)

    def _list_failed(self) -> frozenset[int]:
        if not self._failed_until:
            return frozenset()
        now = clock.read_boot_clock()
        self._failed_until = {
            member_id: until
            for member_id, until in self._failed_until.items()
            if until > now
        }
        return frozenset(self._failed_until)
