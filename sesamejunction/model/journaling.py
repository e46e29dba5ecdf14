"""Messages of the journal and appender tasks."""

from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass


@valueclass.define
class Append:
    """Appends a record to the log; the reply is its offset."""

    record: records.Record


@valueclass.define
class Propose:
    """Appends a record to the log without a reply."""

    record: records.Record


@valueclass.define
class GetState:
    """Requests the latest folded state; the reply is a State."""


@valueclass.define
class GetLogContactTime:
    """Requests the boot-clock time of the last contact with the log.

    The reply is minus infinity before the first contact.
    """


@valueclass.define
class StateChanged:
    """Published to other tasks when new records have changed the state."""

    state: state.State


@valueclass.define
class GetRecords:
    """Requests recent records from an offset on; the reply is Records."""

    offset: int
    limit: int


@valueclass.define
class Records:
    """Encoded records in order; empty if the node does not keep the offset.

    ``first`` is the offset of the first record.
    """

    first: int
    data: tuple[bytes, ...]


@valueclass.define
class GetSnapshot:
    """Requests the encoded state; the reply is a Snapshot."""


@valueclass.define
class Snapshot:
    """The encoded state after all records below the offset ``covers``."""

    covers: int
    data: bytes


@valueclass.define
class PeerOffset:
    """Reports a peer's log offset and its last log contact.

    ``log_age`` is the age of that contact in seconds.
    """

    member: int
    offset: int
    log_age: float


@valueclass.define
class OldestOffsetChanged:
    """Published when the oldest offset kept by the log has changed."""

    oldest: int
