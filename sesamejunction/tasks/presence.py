"""Actor that probes other members to detect which are alive."""

import random

import eliot

from sesamejunction.decisions import memberages
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

PROBE_INTERVAL_S = 0.5
# Delay between probes and the check for silent members, in which the echoes
# arrive. If the check ran just before the next round, all ages would be half a
# second higher, and one of 150 members would seem silent every few seconds.
ECHO_WAIT_S = 0.1
# A check that runs later than this was delayed by this node's own event loop:
# echoes may be unread, and ages would include the delay.
LATE_CHECK_S = 0.3
# Members probed in each round. Their echoes report when they last heard from
# the other members.
FAN_OUT = 6
# Limit of (incarnation, age) pairs in one echo, to keep it within a datagram.
# Pairs are sent only if prober and responder know different sets of members,
# as while nodes start.
MAX_NAMED_AGES = 60
# A member that no probed member has heard from for this time is silent. Three
# rounds of probes, so that a lost datagram or a short pause does not matter.
SILENCE_LIMIT_S = 1.5
# A live member answers the first probe within this time.
FIRST_ECHO_TIMEOUT_S = 0.6
# Older reports are not sent: the member is silent in any case.
MAX_REPORTED_AGE_S = 10.0
NEVER = float('-inf')


class PresenceView:
    """The liveness of members, read directly by other actors.

    ``last_heard_at`` is the boot-clock time by incarnation at which this node
    or a probed member last heard from it. ``silent`` holds the members not
    heard from for SILENCE_LIMIT_S, ``without_log`` those that cannot reach
    the log. ``echoed_at`` is when a member last answered a probe of this node.
    """

    def __init__(self):
        self.last_heard_at = {}
        self.silent = frozenset()
        self.without_log = set()
        self.echoed_at = NEVER

    def count_reachable(self) -> int:
        """Return the number of members heard from recently."""
        limit = clock.read_boot_clock() - SILENCE_LIMIT_S
        return sum(at >= limit for at in self.last_heard_at.values())


class Presence(actor.Actor):
    """Probes members and publishes the set of silent ones.

    ``view`` is the PresenceView that it updates. ``followers`` are in the
    same order on all members; they get the positions of peers in their
    topics. ``fetchers``, in the same order, get a member that is ahead while
    the log does not answer.
    """

    name = 'presence'
    tick_s = ECHO_WAIT_S

    def __init__(
        self, incarnation, datagrams, view, followers, subscribers, fetchers
    ):
        super().__init__()
        self._incarnation = incarnation
        self._datagrams = datagrams
        self._view = view
        self._followers = followers
        self._subscribers = subscribers
        self._fetchers = fetchers
        self._state = state.State()
        self._started_at = clock.read_boot_clock()
        # Until the first probes can be answered, this node is not alone.
        view.echoed_at = self._started_at
        self._registered_at = {}
        self._awaits_echoes = False
        self._probed_at = NEVER
        self._is_postponed = False
        self._sorted_members = ()
        self._digest = 0

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._apply_state(current)
            case packets.Received(sender, messages.Probe() as probe):
                self._record_heard(sender, clock.read_boot_clock())
                self._datagrams.tell(
                    packets.SendTo(sender, self._build_echo(probe))
                )
            case packets.Received(sender, messages.Echo() as echo):
                if sender == echo.member:
                    self._handle_echo(echo)

    async def tick(self) -> None:
        """Send probes, or publish the silent members after the echoes."""
        now = clock.read_boot_clock()
        is_late = now - self._probed_at >= ECHO_WAIT_S + LATE_CHECK_S
        if self._awaits_echoes and is_late and not self._is_postponed:
            self._is_postponed = True
            self._send_probes(now)
            return
        self._awaits_echoes = not self._awaits_echoes
        if self._awaits_echoes:
            self._send_probes(now)
            self.tick_s = ECHO_WAIT_S
        else:
            self._is_postponed = False
            self._publish_silent(now)
            self.tick_s = PROBE_INTERVAL_S - ECHO_WAIT_S

    def _send_probes(self, now) -> None:
        self._probed_at = now
        self._set_log_contact(self._incarnation, self._has_log)
        peers = self._list_peers()
        probe = messages.Probe(
            self._incarnation, now, self._list_topics(now), self._digest
        )
        for member_id in random.sample(peers, min(FAN_OUT, len(peers))):
            self._datagrams.tell(packets.SendTo(member_id, probe))

    def _list_peers(self) -> list[int]:
        return [
            member_id
            for member_id in self._state.members
            if member_id != self._incarnation
        ]

    def _apply_state(self, current) -> None:
        now = clock.read_boot_clock()
        before, self._state = self._state, current
        members = current.members
        if members is before.members:
            return
        self._sorted_members = tuple(sorted(members))
        self._digest = memberages.digest_members(self._sorted_members)
        # A new member counts as alive when it registers. Those registered
        # before this process started may have ended long ago, so they only
        # get the time to answer a first probe.
        assumed_at = (
            now
            if self._registered_at
            else now - SILENCE_LIMIT_S + FIRST_ECHO_TIMEOUT_S
        )
        self._view.without_log &= members.keys()
        self._registered_at = {
            member_id: self._registered_at.get(member_id, assumed_at)
            for member_id in members
        }
        for gone in self._view.last_heard_at.keys() - members.keys():
            del self._view.last_heard_at[gone]

    def _publish_silent(self, now) -> None:
        silent = frozenset(
            peer_id
            for peer_id in self._list_peers()
            if now
            - max(
                self._view.last_heard_at.get(peer_id, 0.0),
                self._registered_at[peer_id],
            )
            > SILENCE_LIMIT_S
        )
        if silent == self._view.silent:
            return
        for peer_id in silent ^ self._view.silent:
            member = self._state.members.get(peer_id)
            fields = {
                'member': member and member.name,
                'incarnation': peer_id,
                'age_s': round(
                    now - self._view.last_heard_at.get(peer_id, 0.0), 2
                ),
            }
            if peer_id in silent:
                eliot.log_message('peer: silent', **fields)
            else:
                eliot.log_message('peer: heard again', **fields)
        self._view.silent = silent
        for subscribed_actor in self._subscribers:
            subscribed_actor.publish(owning.MembersSilent(silent))

    @property
    def _has_log(self) -> bool:
        return all(
            topic_follower.is_connected for topic_follower in self._followers
        )

    def _set_log_contact(self, member, has_log) -> None:
        if has_log:
            self._view.without_log.discard(member)
        else:
            self._view.without_log.add(member)

    def _record_heard(self, member, at) -> None:
        if at > self._view.last_heard_at.get(member, NEVER):
            self._view.last_heard_at[member] = at

    def _list_topics(self, now) -> tuple[messages.TopicAge, ...]:
        return tuple(
            messages.TopicAge(
                max(0, topic_follower.view.end),
                now - topic_follower.view.as_of,
            )
            if topic_follower.view.end >= 0
            else messages.TopicAge(0, float('inf'))
            for topic_follower in self._followers
        )

    def _build_echo(self, probe) -> messages.Echo:
        now = clock.read_boot_clock()
        heard, packed = (), None
        if probe.members == self._digest:
            packed = self._pack_ages(now)
        else:
            heard = self._list_heard(now)
        return messages.Echo(
            self._incarnation,
            probe.sent_at,
            self._list_topics(now),
            heard,
            self._has_log,
            packed,
        )

    def _pack_ages(self, now) -> messages.PackedAges:
        count = len(self._sorted_members)
        first = random.randrange(count) if count > memberages.MAX_AGES else 0
        members = memberages.select_members(
            self._sorted_members, first, memberages.MAX_AGES
        )
        ages = memberages.pack_ages(members, self._view.last_heard_at, now)
        return messages.PackedAges(self._digest, first, ages)

    def _list_heard(self, now) -> tuple[tuple[int, float], ...]:
        heard = [
            (member_id, now - at)
            for member_id, at in self._view.last_heard_at.items()
            if now - at < MAX_REPORTED_AGE_S
        ]
        if len(heard) > MAX_NAMED_AGES:
            heard = random.sample(heard, MAX_NAMED_AGES)
        return tuple(heard)

    def _handle_echo(self, echo) -> None:
        # Ages are subtracted from the time at which the probe was sent. The
        # member measured them later, so the times are never too recent.
        self._record_heard(echo.member, echo.sent_at)
        self._view.echoed_at = max(self._view.echoed_at, echo.sent_at)
        self._set_log_contact(echo.member, echo.has_log)
        for member_id, age in echo.heard:
            if member_id in self._state.members:
                self._record_heard(member_id, echo.sent_at - age)
        packed = echo.packed
        # The set of members may have changed since the probe was sent.
        if packed is not None and packed.members == self._digest:
            members = memberages.select_members(
                self._sorted_members, packed.first, len(packed.ages)
            )
            heard, sent_at = self._view.last_heard_at, echo.sent_at
            for member_id, age in memberages.unpack_ages(members, packed.ages):
                at = sent_at - age
                if at > heard.get(member_id, NEVER):
                    heard[member_id] = at
        member = self._state.members.get(echo.member)
        for follower, fetcher, topic in zip(
            self._followers, self._fetchers, echo.topics, strict=False
        ):
            ahead = topic.end > follower.view.end
            if ahead and member and not follower.is_connected:
                fetcher.publish(registry.PeerAhead(member, topic.end))
            follower.tell(
                registry.PeerPosition(
                    echo.member, topic.end, echo.sent_at - topic.age
                )
            )
