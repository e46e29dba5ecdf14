"""Log client for operator commands, with decoded records."""

from sesamejunction.border import loghttp
from sesamejunction.border import recordcodec
from sesamejunction import errors
from sesamejunction.model import ticketing


class TicketLog:
    """Reads and appends records through a log client."""

    def __init__(self, client: loghttp.LogClient):
        self._client = client

    async def read(self, offset: int) -> ticketing.LogEntries:
        """Return the records from an offset, without waiting for new ones.

        Raises LogUnavailable.
        """
        page = await self._client.read(offset, 0.0)
        entries = tuple(
            entry
            for log_record in page.records
            for entry in decode_entries(log_record)
        )
        return ticketing.LogEntries(page.oldest, page.next, entries)

    async def append(self, record_id: str, record) -> int:
        """Append a record and return its offset; raises LogUnavailable."""
        return await self._client.append(
            recordcodec.encode_record(record_id, record)
        )

    def encode_state(self, current) -> bytes:
        """Return the bytes of a state for a checkpoint."""
        return recordcodec.encode_state(current)

    def decode_state(self, data: bytes):
        """Return the state of a checkpoint; raises CodecError."""
        return recordcodec.decode_state(data)


def decode_entries(
    log_record: loghttp.LogRecord,
) -> tuple[ticketing.LogEntry, ...]:
    """Return the entries of one log offset.

    Bytes that cannot be decoded become one entry without a record.
    """
    try:
        decoded = recordcodec.decode_records(log_record.data)
    except errors.CodecError:
        return (ticketing.LogEntry(log_record.offset, '', None),)
    return tuple(
        ticketing.LogEntry(log_record.offset, entry.record_id, entry.record)
        for entry in decoded
    )
