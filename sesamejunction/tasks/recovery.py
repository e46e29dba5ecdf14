"""Actor that writes facts again which the store may have lost."""

import asyncio
import dataclasses

import eliot

from sesamejunction.border import registrycodec
from sesamejunction.decisions import eras as deciding
from sesamejunction.decisions import rangeleases
from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

TICK_S = 0.1
# Tick interval while the store is in the era that is known.
IDLE_S = 10.0
# Delay between two rounds of questions to the reachable members. It doubles
# with each append that fails up to the maximum, as the store may be down.
ROUND_PAUSE_S = 0.3
MAX_ROUND_PAUSE_S = 2.4
# Time for the answers of a round. A frozen member does not delay the others.
ANSWERS_S = 1.0
# Facts that are decided on from the ones before, and must not be lost. Of the
# secret only the one in use is right.
FACTS = ('plan', 'allocators', 'secret')


# Above all ends: a question with it asks for no facts.
ALL_KNOWN = registry.Position(
    registry.MAX_ERA, (1 << registry.OFFSET_BITS) - 1
).pack()


class Recovery(actor.Actor):
    """Restores the facts of earlier eras if this node is the planner.

    ``follower`` has the copy of the fleet's topic, ``topic`` appends to it.
    ``is_planner`` tells whether this node plans; ``links`` asks the members
    in ``states`` that are not silent by ``presence``. ``registrar`` gets the
    first copy of each era. ``eras`` is the view of the store's era.
    ``count`` is called for each fact that is written again.
    """

    name = 'recovery'
    tick_s = IDLE_S

    def __init__(
        self,
        incarnation,
        follower,
        topic,
        states,
        presence,
        links,
        eras,
        is_planner,
        registrar,
        count=lambda: None,
    ):
        super().__init__()
        self._incarnation = incarnation
        self._follower = follower
        self._topic = topic
        self._states = states
        self._presence = presence
        self._links = links
        self._eras = eras
        self._is_planner = is_planner
        self._registrar = registrar
        self._count = count
        self._learnt_at = clock.read_boot_clock()
        # The newest copy whose facts were checked, and when it was current.
        self._settled = registry.TopicCopy(0, {})
        self._as_of = float('-inf')
        self._phase = state.EraPhase.OPEN
        self._phase_since = float('-inf')
        self._era = 0
        self._running = None
        self._next_round_at = float('-inf')
        self._pause_s = ROUND_PAUSE_S

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.EraChanged():
                self._learnt_at = clock.read_boot_clock()
                self.tick_within(0.0)
            case registry.TopicChanged(topic=topic) if (
                topic == self._follower.topic_name
            ):
                self._note_copy()
                self.tick_within(0.0)
            case registry.AskFloor(era=era, end=end):
                # From now on, no copy of an earlier era is taken here.
                self._eras.learn(era, 'another node')
                self._note_copy()
                return self._build_answer(end)

    def _note_copy(self) -> None:
        """Note the phase of the follower's copy, and the copy if settled."""
        copy, view = self._follower.copy, self._follower.view
        if copy is None:
            return
        item = copy.items.get('era')
        phase = deciding.find_phase(copy.end, registrycodec.decode_era(item))
        era = registry.find_era(copy.end)
        if (era, phase) != (self._era, self._phase):
            self._phase, self._phase_since = phase, clock.read_boot_clock()
        if phase is not state.EraPhase.LOST:
            self._settled, self._as_of = copy, view.as_of
        else:
            self._as_of = self._find_as_of()
        if era > self._era:
            self._registrar.tell(
                registry.TopicChanged(self._follower.topic_name, copy)
            )
        self._era = era

    def _find_as_of(self) -> float:
        """Return when the settled copy was last known to be current."""
        as_of = self._follower.view.find_as_of(self._settled.end)
        return max(self._as_of, as_of)

    def _build_answer(self, end) -> registry.FloorAnswer:
        items = {}
        if self._settled.end > end:
            items = list_facts(self._settled)
        age_s = clock.read_boot_clock() - self._find_as_of()
        return registry.FloorAnswer(self._settled.end, age_s, items)

    async def tick(self) -> None:
        """Take the next step to settle the present era, if any is left."""
        is_open = self._phase is state.EraPhase.OPEN
        self.tick_s = IDLE_S if is_open else TICK_S
        now = clock.read_boot_clock()
        is_busy = self._running is not None and not self._running.done()
        if is_open or is_busy or now < self._next_round_at:
            return
        if self._is_planner():
            self._next_round_at = now + self._pause_s
            self._running = asyncio.ensure_future(self._settle(now))

    async def _settle(self, now) -> None:
        copy = self._follower.copy
        try:
            if self._phase is state.EraPhase.LOST:
                await self._restore(copy)
            elif now - self._phase_since > rangeleases.FORMER_OWNER_WAIT_S:
                era = registry.find_era(copy.end)
                await self._append(
                    registry.EraRecord(era, is_open=True), copy.end
                )
        except errors.AppendConflict:
            self._follower.tell(registry.TopicGrown(self._follower.view.end))
        except errors.LogUnavailable as error:
            eliot.log_message('plan: not restored', reason=str(error))
            self._pause_s = min(MAX_ROUND_PAUSE_S, 2 * self._pause_s)
            self._next_round_at = clock.read_boot_clock() + self._pause_s
            self._follower.tell(registry.AppendFailed())

    async def _restore(self, copy) -> None:
        """Write the facts of earlier eras again, if enough is known."""
        era = registry.find_era(copy.end)
        if registry.find_era(self._settled.end) == era:
            # A record of an earlier era, which was under way, has replaced
            # the one of this era.
            item = self._settled.items['era']
            await self._append(registrycodec.decode_era(item), copy.end)
            return
        floor, facts = await self._gather_floors(era)
        if registry.find_era(floor.end) >= era or facts is None:
            return
        settlement = deciding.choose_settlement(
            deciding.Outlook(
                floor,
                self._learnt_at,
                rangeleases.FORMER_OWNER_WAIT_S,
            ),
            clock.read_boot_clock(),
        )
        eliot.log_message(
            'plan: facts of an earlier era',
            settlement=settlement,
            era=era + registry.FIRST_ERA,
            floor=floor,
            facts=sorted(facts),
        )
        if settlement is not deciding.Settlement.WAIT:
            is_kept = settlement is deciding.Settlement.KEEP
            await self._write_facts(copy, facts, is_kept)

    async def _write_facts(self, copy, facts, is_kept) -> None:
        era, end = registry.find_era(copy.end), copy.end
        for key, item in {**list_facts(copy), **facts}.items():
            try:
                record = registrycodec.decode_record(key, item.value)
            except errors.CodecError:
                continue
            if not is_kept:
                record = renew_epochs(record, end + 1)
            known = copy.items.get(key)
            value = registrycodec.encode_record(record, era)
            if known is None or known.value != value:
                end = await self._append(record, end)
                self._count()
        await self._append(registry.EraRecord(era, is_open=not is_kept), end)

    async def _append(self, record, end) -> int:
        """Append a record and return the end of the topic after it."""
        entry = registry.Entry(
            registrycodec.build_record_key(record),
            registrycodec.encode_record(record, registry.find_era(end)),
        )
        offset = await self._topic.append(entry, end)
        self._pause_s = ROUND_PAUSE_S
        eliot.log_message('plan: restored', key=entry.key, offset=offset)
        self._follower.tell(registry.TopicGrown(offset))
        return offset + 1

    async def _gather_floors(self, era):
        """Return the floor of all reachable members, and its facts.

        Only the member with the newest facts is asked for them, as they are
        large. Without its answer, the facts are None.
        """
        question = registry.AskFloor(era, ALL_KNOWN)
        members = [
            member
            for member_id, member in self._states.current.members.items()
            if member_id != self._incarnation
            and member_id not in self._presence.silent
        ]
        asked_at = clock.read_boot_clock()
        replies = await asyncio.gather(
            *(self._ask(member, question) for member in members)
        )
        own_end = self._settled.end
        floors = [deciding.Floor(own_end, self._find_as_of())]
        newest, owner = own_end, None
        for member, reply in zip(members, replies, strict=True):
            if reply is None:
                continue
            floors.append(deciding.Floor(reply.end, asked_at - reply.age_s))
            if reply.end > newest:
                newest, owner = reply.end, member
        facts = list_facts(self._settled)
        if owner is not None:
            reply = await self._ask(owner, registry.AskFloor(era, own_end))
            facts = reply and reply.items
        return deciding.join_floors(floors), facts

    async def _ask(self, member, question) -> registry.FloorAnswer | None:
        try:
            async with asyncio.timeout(ANSWERS_S):
                return await self._links.ask(member, question)
        except (TimeoutError, errors.SesameError):
            return None


def list_facts(copy: registry.TopicCopy) -> dict[str, registry.TopicItem]:
    """Return the items of a copy that must not be lost."""
    return {
        key: item
        for key, item in copy.items.items()
        if key.partition('/')[0] in FACTS
    }


def renew_epochs(record: registry.Record, epoch: int) -> registry.Record:
    """Return a record whose epochs are all new, as no grant is valid."""
    match record:
        case registry.PlanRecord(ranges=owned):
            renewed = tuple(
                dataclasses.replace(key_range, epoch=epoch, previous=())
                for key_range in owned
            )
            return dataclasses.replace(record, ranges=renewed)
        case state.Allocators(places=places):
            return state.Allocators(
                tuple(
                    dataclasses.replace(
                        place, epoch=epoch, previous=(place.member,)
                    )
                    for place in places
                )
            )
    return record
