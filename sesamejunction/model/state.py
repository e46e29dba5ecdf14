"""State folded from the log: members, services, organisations and keys."""

import collections.abc
import dataclasses
import enum

from sesamejunction.model import ranges as keyranges
from sesamejunction.model import routing
from sesamejunction.model import valueclass

# Internal service whose slots name the allocator of each organisation.
SHARES_SERVICE = '_shares'
SHARES_SLOTS = 64
# Per service.
MAX_HOT_KEYS = 64


class Standing(enum.Enum):
    """Whether the operator allows new work in a zone or at a target."""

    IN = 'in'
    OUT = 'out'


class Routing(enum.Enum):
    """How requests for a service are routed to a target."""

    KEY = 'key'
    RANGE = 'range'
    LOAD = 'load'


@valueclass.define
class Member:
    """One incarnation of a node, with its local target.

    ``slots`` is the target's maximum concurrency, ``cold_slots`` that during
    a cold start. Ports are TCP; ``peer_port`` is also the UDP port. ``life``
    is the target's current process run, used where process runs own key
    ranges, and None without a target. ``leaving`` means that the target
    leaves, ``stopping`` that only its node does.
    """

    incarnation: int
    name: str
    zone: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    service: str
    slots: int
    cold_slots: int
    checks_grants: bool
    leaving: bool = False
    life: keyranges.Life | None = None
    stopping: bool = False


@valueclass.define
class WitnessSet:
    """Witnesses of one member; ``previous`` is set until the set settles."""

    version: int
    witnesses: tuple[int, ...]
    previous: tuple[int, ...] | None = None


@valueclass.define
class SlotOrder:
    """Owner of one slot, followed by its successors.

    While the slot moves, ``previous`` is its former order, of the epoch
    ``previous_epoch``. It is None once the slot is settled.
    """

    epoch: int
    order: tuple[int, ...]
    previous: tuple[int, ...] | None = None
    previous_epoch: int = 0


@valueclass.define
class Rule:
    """Whether matching requests may be repeated.

    ``method`` is an HTTP method or ``*``, ``prefix`` a path prefix within
    the service. The first matching rule applies. Without one, only GET and
    HEAD may be repeated.
    """

    method: str
    prefix: str
    repeatable: bool


@valueclass.define
class Service:
    """Declaration of a service.

    After a cold start, a target is limited to ``cold_rate`` requests per
    second for ``cold_s`` seconds; 0 means no limit. ``health_path`` is where
    the target reports its load.
    """

    name: str
    routing: Routing
    slot_count: int
    rules: tuple[Rule, ...] = ()
    cold_s: float = 0.0
    cold_rate: float = 0.0
    health_path: str = ''


@valueclass.define
class SlotTable:
    """Slot orders of one service; hot slots come after the fixed ones.

    ``hot_keys`` maps a key's 64-bit hash to its hot slot. ``balanced`` is
    the offset of the last accepted SlotsArranged with ``balance``.
    """

    orders: tuple[SlotOrder | None, ...]
    hot_keys: collections.abc.Mapping[int, int] = dataclasses.field(
        default_factory=dict
    )
    balanced: int = 0


@valueclass.define
class Organisation:
    """An organisation's fleet-wide rate limit and priority.

    ``rate`` is in requests per second, ``burst`` in requests. A rate of 0
    means no limit. ``weight`` is its weight at a contended target. ``rank``,
    if set, overrides the rank of the route.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    rank: int | None = None


@valueclass.define
class CallerKey:
    """A caller's key, stored only as its SHA-256 digest in hexadecimal.

    It is valid for the listed services, or for all if there are none.
    """

    digest: str
    organisation: str
    services: tuple[str, ...] = ()


@valueclass.define
class FleetSettings:
    """Fleet-wide settings, changed by tickets."""

    max_nodes: int = 32
    offline_limit_s: float = 0.0


@valueclass.define
class AllocatorPlace:
    """One allocator position and the member that holds it.

    ``epoch`` increases with each change of the member. ``previous`` lists
    former holders, whose release the member waits for.
    """

    member: int
    name: str
    epoch: int
    previous: tuple[int, ...] = ()


@valueclass.define
class Allocators:
    """Members that grant rate tokens, as recorded in the fleet's topic.

    The number of places is constant, so that each organisation keeps its
    place.
    """

    places: tuple[AllocatorPlace, ...]


@valueclass.define
class ActivePlanner:
    """The planner of a fleet in which some members are silent.

    ``round`` grows with each record, so that its readers see that the planner
    is alive.
    """

    name: str
    round: int


class EraPhase(enum.Enum):
    """What is known of the records that the store may have lost.

    After LOST, the records of earlier eras are missing or not checked. After
    RESTORED they are in the topic again, but grants of lost plans may still
    be valid.
    """

    OPEN = 'open'
    LOST = 'lost'
    RESTORED = 'restored'


@valueclass.define
class State:
    """State folded from all log records before ``offset``.

    Mappings are replaced and never changed in place, so a reference to a
    State stays valid while newer ones are published. ``ended`` maps recently
    ended incarnations to the offset of their end. ``checkpoint_parts``
    counts the parts read so far of incomplete checkpoints;
    ``checkpoint_offset`` is the offset that the last complete one covers.
    ``first_epoch`` is the epoch of a slot's first order; it is large after a
    loss of all state, so that fencing tokens keep increasing. ``routes`` maps
    a host to its routes, longest prefix first. ``ranges`` maps a service to
    the owners of its key ranges. ``allocators`` is None where slots determine
    the allocators. ``planner`` is the member that last announced itself as
    planner, None if none did. ``unreadable`` holds the keys of records that
    this node cannot read, where an earlier record may still hold.
    ``declared_end`` is the end offset of the topic that the declarations were
    read from, ``declared_version`` the operator's version number of them, 0
    before the first. ``era_phase`` is that of the store's present era.
    """

    offset: int = 0
    last_ticket: int = 0
    last_ticket_digest: str = ''
    first_epoch: int = 1
    checkpoint_offset: int = 0
    members: collections.abc.Mapping[int, Member] = dataclasses.field(
        default_factory=dict
    )
    witness_sets: collections.abc.Mapping[int, WitnessSet] = dataclasses.field(
        default_factory=dict
    )
    tables: collections.abc.Mapping[str, SlotTable] = dataclasses.field(
        default_factory=dict
    )
    services: collections.abc.Mapping[str, Service] = dataclasses.field(
        default_factory=dict
    )
    organisations: collections.abc.Mapping[str, Organisation] = (
        dataclasses.field(default_factory=dict)
    )
    caller_keys: collections.abc.Mapping[str, CallerKey] = dataclasses.field(
        default_factory=dict
    )
    zones: collections.abc.Mapping[str, Standing] = dataclasses.field(
        default_factory=dict
    )
    targets: collections.abc.Mapping[str, Standing] = dataclasses.field(
        default_factory=dict
    )
    fleet: FleetSettings = dataclasses.field(default_factory=FleetSettings)
    ended: collections.abc.Mapping[int, int] = dataclasses.field(
        default_factory=dict
    )
    checkpoint_parts: collections.abc.Mapping[int, int] = dataclasses.field(
        default_factory=dict
    )
    routes: collections.abc.Mapping[str, tuple[routing.Route, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    ranges: collections.abc.Mapping[str, keyranges.RangePlan] = (
        dataclasses.field(default_factory=dict)
    )
    allocators: Allocators | None = None
    planner: ActivePlanner | None = None
    unreadable: collections.abc.Set[str] = frozenset()
    limits: routing.Limits = routing.Limits()
    declared_version: int = 0
    declared_end: int = -1
    era_phase: EraPhase = EraPhase.OPEN
