"""Task that finds this node's hot keys and proposes their slots."""

import collections
import dataclasses

import eliot

from sesamejunction.decisions import hotkeys as rules
from sesamejunction.decisions import successors
from sesamejunction.model import hotkeys
from sesamejunction.model import journaling
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

PROPOSE_S = 10.0
FLUSH_S = 0.1
# Keys below this part of a batch cannot reach the share that matters.
SMALL_PART = 0.01
DUMPED_KEYS = 5


class BatchingKeyCounter:
    """Counts keys on the request path and tells the task in batches.

    It belongs to the task that serves requests; counting a key is one
    dictionary update.
    """

    def __init__(self, actor_of_keys: actor.Actor):
        self._actor = actor_of_keys
        self._counts = collections.defaultdict(collections.Counter)
        self._flush_at = float('-inf')

    def count(self, service: str, key_hash: int, now: float) -> None:
        """Count a served request; ``now`` is boot-clock seconds."""
        self._counts[service][key_hash] += 1
        if now >= self._flush_at:
            self._flush_at = now + FLUSH_S
            self._flush()

    def _flush(self) -> None:
        for service, counts in self._counts.items():
            total = counts.total()
            floor = total * SMALL_PART
            kept = tuple(
                hotkeys.KeyCount(key, count)
                for key, count in counts.items()
                if count >= floor
            )
            self._actor.tell(hotkeys.KeysServed(service, total, kept))
        self._counts.clear()


@dataclasses.dataclass(frozen=True, slots=True)
class HotKeysDump:
    """Decayed load by service with the largest keys, for operators."""

    loads: tuple[hotkeys.KeyLoad, ...]
    owned: int


class HotKeys(actor.Actor):
    """Keeps a sketch for each service and proposes at most every 10 s."""

    name = 'hotkeys'
    tick_s = 1.0

    def __init__(
        self,
        incarnation: int,
        appender: actor.Actor,
        now=clock.read_boot_clock,
    ):
        super().__init__()
        self._incarnation = incarnation
        self._appender = appender
        self._now = now
        self._state = state.State()
        self._sketches = {}
        self._since = {}
        self._propose_at = float('-inf')

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
                self._note_owned()
            case hotkeys.KeysServed():
                self._count(message)

    def dump(self) -> HotKeysDump:
        """Return the largest keys by hash and the hot slots owned here."""
        now = self._now()
        loads = tuple(
            hotkeys.KeyLoad(
                service,
                sketch.read_total(now),
                sketch.read_counts(now)[:DUMPED_KEYS],
            )
            for service, sketch in self._sketches.items()
        )
        return HotKeysDump(loads, len(self._since))

    async def tick(self) -> None:
        """Propose one placing or removal when the interval has passed."""
        now = self._now()
        if now < self._propose_at:
            return
        for service in self._list_services():
            record = self._plan(service, now)
            if record is not None:
                self._propose_at = now + PROPOSE_S
                eliot.log_message('plan: hot key', kind=type(record).__name__)
                self._appender.tell(journaling.Propose(record))
                return

    def _count(self, served) -> None:
        now = self._now()
        sketch = self._sketches.setdefault(served.service, rules.Sketch())
        sketch.add_total(served.total, now)
        for one in served.counts:
            sketch.add(one.key_hash, one.count, now)

    def _list_services(self) -> set[str]:
        return self._sketches.keys() | {service for service, _ in self._since}

    def _plan(self, service, now):
        sketch = self._sketches.get(service, rules.Sketch())
        load = hotkeys.KeyLoad(
            service,
            sum(one.read_total(now) for one in self._sketches.values()),
            sketch.read_counts(now),
        )
        owned_s = {
            slot: now - since
            for (name, slot), (_, since) in self._since.items()
            if name == service
        }
        return rules.plan_placement(
            self._state, self._incarnation, load
        ) or rules.plan_removal(self._state, self._incarnation, load, owned_s)

    def _note_owned(self) -> None:
        """Note since when this node owns each hot slot at its epoch."""
        now = self._now()
        owned = {}
        for service, table in self._state.tables.items():
            for slot in table.hot_keys.values():
                arranged = table.orders[slot]
                owner = successors.find_owner(self._state, arranged)
                if owner != self._incarnation:
                    continue
                known = self._since.get((service, slot))
                if known is None or known[0] != arranged.epoch:
                    known = (arranged.epoch, now)
                owned[service, slot] = known
        self._since = owned
