"""Messages of the journal and appender tasks."""

import dataclasses

from sesamejunction.model import records
from sesamejunction.model import state


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Asks the appender to append a record; the reply is its offset."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Tells the appender to append a record without waiting for it."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class GetState:
    """Asks for the latest state."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetLogContactTime:
    """Asks for the boot-clock time of the latest contact with the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged:
    """Published to the other tasks after records were folded."""

    state: state.State


@dataclasses.dataclass(frozen=True, slots=True)
class GetRecords:
    """Asks for recent records from an offset; the reply is a Records."""

    offset: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Encoded records in order; empty when the offset is not kept here.

    ``first`` is the offset of the first record.
    """

    first: int
    data: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetSnapshot:
    """Asks for the encoded state; the reply is a Snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """An encoded state that covers the offsets below ``covers``."""

    covers: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOffset:
    """Tells the journal how far a peer is; ``log_age`` in seconds."""

    member: int
    offset: int
    log_age: float


@dataclasses.dataclass(frozen=True, slots=True)
class OldestOffsetChanged:
    """Published when the log's oldest offset has changed."""

    oldest: int
