"""Decides what a process may hold for its clients, and who is closed first.

Memory grows with the number of clients, so a bound for each connection is not
enough. All connections of a process count together here.
"""

import dataclasses
import enum
import itertools

from sesamejunction.model import valueclass

MEBIBYTE = 1 << 20
# A node at rest takes about 45 MB; its requests at the target and on other
# nodes take the rest.
NODE_BYTES = 64 * MEBIBYTE
# Part of the remaining memory that clients may take. What is counted is copied
# once or twice on its way, and freed memory is not all returned at once: with
# 32 MB counted, a process grew by 55 MB.
CLIENT_PART = 0.4
# For settings that are unknown: the smallest machine in use.
DEFAULT_MEMORY_MB = 200
DEFAULT_DESCRIPTORS = 4096
MIN_HELD_BYTES = 8 * MEBIBYTE
# Callers share machines, and many may share one address.
ADDRESS_PART = 0.75
# Part of the limit that other connections may hold while a single request of
# the largest size is let through. The objects of 640 connections take 5 MB.
BESIDE_PART = 0.125
# A connection that holds less than this part of an equal share is never
# paused or refused.
FAIR_PART = 0.5


class Kind(enum.Enum):
    """What a connection is for; peers count until they are authenticated."""

    CALLER = 'caller'
    CONTROL = 'control'
    PEER = 'peer'


class Step(enum.Enum):
    """What is done about a connection, in the order of pressure."""

    CALM = 'calm'
    PAUSE = 'pause'
    REFUSE = 'refuse'
    CLOSE = 'close'


# Parts of the limit of held bytes, and the step above each. Heavy connections
# only: light ones go on until the limit itself is passed.
STEPS = ((1.0, Step.CLOSE), (0.75, Step.REFUSE), (0.5, Step.PAUSE))
# Parts of the process's descriptors; the rest is for the target, other nodes,
# the store and files.
CONNECTION_PARTS = {Kind.CALLER: 10, Kind.CONTROL: 1, Kind.PEER: 1}
ALL_PARTS = 16


@valueclass.define
class Limits:
    """Limits of one process; ``connections`` holds a number for each kind."""

    held_bytes: int
    connections: dict[Kind, int]

    def find_backlog(self, kind: Kind) -> int:
        """Return how many connections may wait to be accepted.

        All of them are accepted in one turn of the event loop, before any is
        closed.
        """
        return max(16, min(1024, self.connections[kind] // 4))


def derive_limits(memory_mb: float, descriptors: int) -> Limits:
    """Return the limits for a machine's memory and a process's descriptors."""
    free_bytes = int((memory_mb * MEBIBYTE - NODE_BYTES) * CLIENT_PART)
    return Limits(
        max(MIN_HELD_BYTES, free_bytes),
        {
            kind: max(8, descriptors * parts // ALL_PARTS)
            for kind, parts in CONNECTION_PARTS.items()
        },
    )


@dataclasses.dataclass(slots=True)
class Address:
    """What the connections from one address hold together."""

    held: int = 0
    connections: dict[Kind, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, eq=False)
class Holder:
    """What is held for one connection.

    ``since`` is the time of its latest progress: a request that was complete,
    or an answer that was taken whole. ``is_busy`` is set while it has an open
    request or an unsent answer.
    """

    kind: Kind
    address_name: str
    address: Address
    since: float
    held: int = 0
    is_busy: bool = False
    has_asked: bool = False


class Budget:
    """The holders of one process.

    ``find_single_bytes`` returns the size of the largest single request. One
    such request is served even if the memory is small.
    """

    def __init__(self, limits: Limits, find_single_bytes=lambda: 0):
        self._limits = limits
        self._calm_bytes = int(limits.held_bytes * STEPS[-1][0] * ADDRESS_PART)
        self._beside_bytes = int(limits.held_bytes * BESIDE_PART)
        self._find_single_bytes = find_single_bytes
        self._addresses = {}
        self.holders = {kind: set() for kind in Kind}
        self.held = 0

    def is_calm(self, wanted: int = 0) -> bool:
        """Return whether nothing is done about any connection.

        This is quicker than the questions below, which are asked otherwise.
        """
        return self.held + wanted <= self._calm_bytes

    @property
    def limit(self) -> int:
        """Return the limit of bytes held for all connections."""
        return max(self._limits.held_bytes, self._find_single_bytes())

    def add(self, kind: Kind, address_name: str, now: float) -> Holder:
        """Count a new connection and return its holder."""
        address = self._addresses.setdefault(address_name, Address())
        address.connections[kind] = address.connections.get(kind, 0) + 1
        holder = Holder(kind, address_name, address, now)
        self.holders[kind].add(holder)
        return holder

    def remove(self, holder: Holder) -> None:
        """Stop counting a connection; does nothing the second time."""
        if holder not in self.holders[holder.kind]:
            return
        self.hold(holder, -holder.held)
        self.holders[holder.kind].remove(holder)
        address = holder.address
        address.connections[holder.kind] -= 1
        if not any(address.connections.values()):
            del self._addresses[holder.address_name]

    def hold(self, holder: Holder, count: int) -> None:
        """Count more bytes, or fewer, for a connection."""
        holder.held += count
        holder.address.held += count
        self.held += count

    def find_step(self, holder: Holder, wanted: int = 0) -> Step:
        """Return what is done about a connection that wants more bytes."""
        if self._is_single(holder, wanted):
            return Step.CALM
        limit = self.limit
        share = max(
            (self.held + wanted) / limit,
            (holder.address.held + wanted) / (limit * self._address_part),
        )
        for part, step in STEPS:
            if share > part:
                return step if self._is_heavy(holder, wanted) else Step.CALM
        return Step.CALM

    @property
    def _address_part(self) -> float:
        """Return the part of a limit that one address may have."""
        return ADDRESS_PART if len(self._addresses) > 1 else 1.0

    def _is_single(self, holder, wanted=0) -> bool:
        """Return whether a connection has one legal request beside little."""
        return (
            self.held - holder.held <= self._beside_bytes
            and holder.held + wanted <= self._find_single_bytes()
        )

    def _is_heavy(self, holder, wanted) -> bool:
        count = sum(map(len, self.holders.values()))
        return holder.held + wanted > self.limit * FAIR_PART / max(1, count)

    def find_heaviest(self, holder: Holder, now: float) -> Holder | None:
        """Return the connection to close after one has grown, if any.

        It holds the most for the longest without progress. A second is added
        so that size decides among connections of the same moment.
        """
        limit = self.limit
        address = holder.address
        if self.held <= limit and address.held <= limit * self._address_part:
            return None
        candidates = list(itertools.chain(*self.holders.values()))
        largest = max(candidates, key=lambda one: one.held)
        if self._is_single(largest):
            return None
        if self.held <= limit:
            candidates = (one for one in candidates if one.address is address)
        return max(
            candidates,
            key=lambda one: one.held * (now - one.since + 1.0),
            default=None,
        )

    def find_surplus(self, newest: Holder) -> Holder | None:
        """Return the connection to close in favour of a new one.

        That is one which never sent a request, or else an idle one, or else
        one that holds something; the longest without progress goes first.
        """
        kind = newest.kind
        limit = self._limits.connections[kind]
        candidates = self.holders[kind]
        if len(candidates) <= limit:
            if newest.address.connections[kind] <= limit * self._address_part:
                return None
            candidates = [
                one for one in candidates if one.address is newest.address
            ]
        return min(
            (one for one in candidates if one is not newest),
            key=lambda one: (one.is_busy, one.has_asked, one.since),
            default=newest,
        )
