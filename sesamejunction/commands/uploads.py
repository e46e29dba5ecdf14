"""A request's body that can be sent once, or again while it is whole."""

import collections.abc

# Bodies up to this size are held, so that they can be sent again.
MAX_BUFFERED_BYTES = 64 * 1024


class Upload:
    """A body: ``data`` alone, or ``data`` followed by a stream.

    ``size`` is the declared length in bytes, None if it was not declared.
    """

    def __init__(
        self,
        data: bytes = b'',
        rest: collections.abc.AsyncIterator[bytes] | None = None,
        size: int | None = None,
    ):
        self._data = data
        self._rest = rest
        self.size = size
        self.begun = False

    @property
    def is_streamed(self) -> bool:
        """Return whether the body is not held as a whole."""
        return self._rest is not None

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent from its start."""
        return self._rest is None or not self.begun

    def open(self) -> bytes | collections.abc.AsyncIterator[bytes] | None:
        """Return the body to send; None when it is empty."""
        if self._rest is None:
            return self._data or None
        return self._stream()

    async def _stream(self):
        self.begun = True
        if self._data:
            yield self._data
        async for chunk in self._rest:
            yield chunk


EMPTY = Upload()
