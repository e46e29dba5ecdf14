"""Request bodies that may be streamed or buffered."""

import collections.abc

# Bodies up to this size are buffered, so that they can be sent again.
MAX_BUFFERED_BYTES = 64 * 1024


class Upload:
    """A request body: ``data``, optionally followed by a stream.

    ``size`` is the declared length in bytes, None if none was declared.
    ``started`` is set once the stream has been opened for sending; its
    chunks cannot be read twice.
    """

    def __init__(
        self,
        data: bytes = b'',
        rest: collections.abc.AsyncIterator[bytes] | None = None,
        size: int | None = None,
    ):
        self._data = data
        self._unbuffered_chunks = rest
        self.size = size
        self.started = False

    @property
    def is_streamed(self) -> bool:
        """Return whether a part of the body is not buffered."""
        return self._unbuffered_chunks is not None

    @property
    def replayable(self) -> bool:
        """Return whether the body can still be sent from its start."""
        return self._unbuffered_chunks is None or not self.started

    def open(self) -> bytes | collections.abc.AsyncIterator[bytes] | None:
        """Return the body to send, None if it is empty."""
        if self._unbuffered_chunks is None:
            return self._data or None
        return self._stream()

    async def _stream(self):
        self.started = True
        if self._data:
            yield self._data
        async for chunk in self._unbuffered_chunks:
            yield chunk


EMPTY = Upload()
