"""Interface of a compacted log, which keeps the newest record of each key."""

import typing

from sesamejunction.model import registry


class KeyedTopic(typing.Protocol):
    """One topic of the log; offsets count from 0 without gaps.

    All calls raise LogUnavailable when the log sends no valid reply.
    """

    name: str

    async def read_newest(self) -> registry.TopicCopy:
        """Return the newest record of each key and the end offset."""

    async def read(self, offset: int, wait_s: float) -> registry.TopicBatch:
        """Return the records from an offset on.

        Waits up to ``wait_s`` seconds for the first one. Raises RetentionGap
        when the log has deleted the record at the offset.
        """

    async def append(
        self, entry: registry.Entry, end: int | None = None
    ) -> int:
        """Append a record and return its offset.

        With ``end`` the append is conditional: it raises AppendConflict
        unless the topic still ends there. Raises AppendOutcomeUnknown when
        the reply was lost.
        """

    async def reconnect(self) -> None:
        """Close open connections, which may be dead; calls open new ones."""
