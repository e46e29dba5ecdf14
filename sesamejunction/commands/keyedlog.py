"""What the node needs from a log that keeps the newest record of each key."""

import typing

from sesamejunction.model import registry


class KeyedTopic(typing.Protocol):
    """One topic of a log; offsets are numbered from 0 without gaps.

    All calls raise LogUnavailable when there is no usable answer.
    """

    name: str

    async def read_newest(self) -> registry.TopicCopy:
        """Return the newest record of each key and the topic's end."""

    async def read(self, offset: int, wait_s: float) -> registry.TopicBatch:
        """Return the records from an offset, waiting for the first.

        Raises RetentionGap when they are no longer kept.
        """

    async def append(
        self, entry: registry.Entry, end: int | None = None
    ) -> int:
        """Append a record and return its offset.

        With ``end`` the topic must still end there; raises AppendConflict
        if not, and AppendUnknown when the reply was lost.
        """

    async def reconnect(self) -> None:
        """Drop open connections, which may have gone silent."""
