"""Actor that detects hot keys and proposes a separate slot for each."""

import collections

import eliot

from sesamejunction.decisions import hotkeys as rules
from sesamejunction.decisions import successors
from sesamejunction.model import hotkeys
from sesamejunction.model import journaling
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

PROPOSAL_INTERVAL_S = 10.0
# Interval at which served requests are reported to the actor.
FLUSH_INTERVAL_S = 0.1
# Keys with a smaller share of a batch are too rare to become hot; they are not
# reported.
MIN_BATCH_SHARE = 0.01
# Keys listed for each service in a dump.
DUMPED_KEYS = 5


class BatchingKeyCounter:
    """Counts keys on the request path and reports them in batches.

    Owned by the code that serves requests, so that counting a key costs one
    dictionary update.
    """

    def __init__(self, hot_key_actor: actor.Actor):
        self._actor = hot_key_actor
        self._counts = collections.defaultdict(collections.Counter)
        self._flush_at = float('-inf')

    def count(self, service: str, key_hash: int, now: float) -> None:
        """Count a served request; ``now`` is boot-clock seconds."""
        self._counts[service][key_hash] += 1
        if now >= self._flush_at:
            self._flush_at = now + FLUSH_INTERVAL_S
            self._flush()

    def _flush(self) -> None:
        for service, counts in self._counts.items():
            total = counts.total()
            min_count = total * MIN_BATCH_SHARE
            kept = tuple(
                hotkeys.KeyCount(key, count)
                for key, count in counts.items()
                if count >= min_count
            )
            self._actor.tell(hotkeys.KeysServed(service, total, kept))
        self._counts.clear()


@valueclass.define
class HotKeysDump:
    """Decayed load and most frequent keys by service.

    ``owned`` is the number of hot keys' slots that this node owns.
    """

    loads: tuple[hotkeys.KeyLoad, ...]
    owned: int


class HotKeys(actor.Actor):
    """Keeps a sketch of key counts for each service.

    Makes at most one proposal every PROPOSAL_INTERVAL_S.
    """

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
        # Epoch and start of ownership by service and slot of a hot key.
        self._owned_since = {}
        self._propose_at = float('-inf')

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
                self._update_owned()
            case hotkeys.KeysServed():
                self._add_counts(message)

    def dump(self) -> HotKeysDump:
        """Return the most frequent keys by hash, and the owned slots."""
        now = self._now()
        loads = tuple(
            hotkeys.KeyLoad(
                service,
                sketch.read_total(now),
                sketch.read_counts(now)[:DUMPED_KEYS],
            )
            for service, sketch in self._sketches.items()
        )
        return HotKeysDump(loads, len(self._owned_since))

    async def tick(self) -> None:
        """Propose to place or remove a hot key if the interval is over."""
        now = self._now()
        if now < self._propose_at:
            return
        for service in self._list_services():
            record = self._plan_record(service, now)
            if record is not None:
                self._propose_at = now + PROPOSAL_INTERVAL_S
                eliot.log_message(
                    'plan: hot key proposal', kind=type(record).__name__
                )
                self._appender.tell(journaling.Propose(record))
                return

    def _add_counts(self, batch) -> None:
        now = self._now()
        sketch = self._sketches.setdefault(batch.service, rules.Sketch())
        sketch.add_total(batch.total, now)
        for key_count in batch.counts:
            sketch.add(key_count.key_hash, key_count.count, now)

    def _list_services(self) -> set[str]:
        return self._sketches.keys() | {
            service for service, _ in self._owned_since
        }

    def _plan_record(self, service, now):
        sketch = self._sketches.get(service, rules.Sketch())
        load = hotkeys.KeyLoad(
            service,
            sum(
                service_sketch.read_total(now)
                for service_sketch in self._sketches.values()
            ),
            sketch.read_counts(now),
        )
        owned_s = {
            slot: now - since
            for (name, slot), (_, since) in self._owned_since.items()
            if name == service
        }
        return rules.plan_placement(
            self._state, self._incarnation, load
        ) or rules.plan_removal(self._state, self._incarnation, load, owned_s)

    def _update_owned(self) -> None:
        """Update since when this node owns each hot key's slot.

        A new epoch of the slot counts as a new ownership.
        """
        now = self._now()
        owned = {}
        for service, table in self._state.tables.items():
            for slot in table.hot_keys.values():
                log_order = table.orders[slot]
                owner = successors.find_owner(self._state, log_order)
                if owner != self._incarnation:
                    continue
                known = self._owned_since.get((service, slot))
                if known is None or known[0] != log_order.epoch:
                    known = (log_order.epoch, now)
                owned[service, slot] = known
        self._owned_since = owned
