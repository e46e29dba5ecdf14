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


async def read_answer(answer: requests.Answer) -> bytes:
    """Return the whole body of an answer and end its use."""
    async with answer.resources:
        return b''.join([chunk async for chunk in answer.chunks])


def build_answer(status, headers, body: bytes, load=None) -> requests.Answer:
    """Return an answer whose body is at hand."""
    return requests.Answer(
        status,
        headers,
        iterate_once(body),
        contextlib.AsyncExitStack(),
        load,
    )


async def iterate_once(body: bytes):
    """Yield a body as one chunk, nothing when it is empty."""
    if body:
        yield body
