"""Messages of the journal and appender tasks."""

import dataclasses

from sesamejunction.model import records
from sesamejunction.model import state


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Appends a record to the log; the reply is its offset."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Appends a record to the log without a reply."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class GetState:
    """Requests the latest folded state; the reply is a State."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetLogContactTime:
    """Requests the boot-clock time of the last contact with the log.

    The reply is minus infinity before the first contact.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged:
    """Published to other tasks when new records have changed the state."""

    state: state.State


@dataclasses.dataclass(frozen=True, slots=True)
class GetRecords:
    """Requests recent records from an offset on; the reply is Records."""

    offset: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Encoded records in order; empty if the node does not keep the offset.

    ``first`` is the offset of the first record.
    """

    first: int
    data: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetSnapshot:
    """Requests the encoded state; the reply is a Snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The encoded state after all records below the offset ``covers``."""

    covers: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOffset:
    """Reports a peer's log offset and its last log contact.

    ``log_age`` is the age of that contact in seconds.
    """

    member: int
    offset: int
    log_age: float


@dataclasses.dataclass(frozen=True, slots=True)
class OldestOffsetChanged:
    """Published when the oldest offset kept by the log has changed."""

    oldest: int
