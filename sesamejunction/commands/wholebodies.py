"""Bodies that are buffered completely."""

import contextlib

from sesamejunction.commands import uploads
from sesamejunction.model import requests


async def read_upload(upload: uploads.Upload) -> bytes:
    """Return the complete body of a request."""
    body = upload.open()
    if body is None:
        return b''
    if isinstance(body, bytes):
        return body
    return b''.join([chunk async for chunk in body])


class BufferedBody:
    """A buffered body, iterated as one chunk, or none if it is empty."""

    __slots__ = ('_data',)

    def __init__(self, data: bytes):
        self._data = data

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        if not self._data:
            raise StopAsyncIteration
        return self.take()

    @property
    def size(self) -> int:
        """Return the number of bytes that are left."""
        return len(self._data)

    def take(self) -> bytes:
        """Return the bytes that are left, without waiting."""
        data, self._data = self._data, b''
        return data


async def read_answer(answer: requests.Answer) -> bytes:
    """Return the complete body of an answer and release its resources."""
    if isinstance(answer.chunks, BufferedBody):
        # Faster than reading through the iterator.
        await answer.resources.aclose()
        return answer.chunks.take()
    async with answer.resources:
        return b''.join([chunk async for chunk in answer.chunks])


def build_answer(
    status, headers, body: bytes, load=None, report=None
) -> requests.Answer:
    """Return an answer with a buffered body."""
    return requests.Answer(
        status,
        headers,
        BufferedBody(body),
        contextlib.AsyncExitStack(),
        load,
        report,
    )
