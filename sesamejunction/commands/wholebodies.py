"""Bodies that are held as a whole."""

import contextlib

from sesamejunction.commands import uploads
from sesamejunction.model import requests


async def read_upload(upload: uploads.Upload) -> bytes:
    """Return the whole body of a request."""
    body = upload.open()
    if body is None:
        return b''
    if isinstance(body, bytes):
        return body
    return b''.join([chunk async for chunk in body])


class BufferedBody:
    """A body at hand as one chunk of an answer, none when it is empty."""

    __slots__ = ('_data',)

    def __init__(self, data: bytes):
        self._data = data

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        if not self._data:
            raise StopAsyncIteration
        return self.take()

    def take(self) -> bytes:
        """Return what is left without a wait."""
        data, self._data = self._data, b''
        return data


async def read_answer(answer: requests.Answer) -> bytes:
    """Return the whole body of an answer and end its use."""
    if isinstance(answer.chunks, BufferedBody):
        # Reading it through the iterator takes longer.
        await answer.resources.aclose()
        return answer.chunks.take()
    async with answer.resources:
        return b''.join([chunk async for chunk in answer.chunks])


def build_answer(status, headers, body: bytes, load=None) -> requests.Answer:
    """Return an answer whose body is at hand."""
    return requests.Answer(
        status,
        headers,
        BufferedBody(body),
        contextlib.AsyncExitStack(),
        load,
    )
