"""Buffered bodies are read once, completely or as chunks."""

import contextlib

import pytest

from sesamejunction.commands import wholebodies
from sesamejunction.model import requests


async def iterate(chunks):
    for one in chunks:
        yield one


# Guards against bodies that are lost or returned twice, and against resources
# that stay open after the answer was read. Columns: chunks, complete body.
@pytest.mark.parametrize(
    ('chunks', 'whole'),
    [
        pytest.param(wholebodies.BufferedBody(b'one'), b'one', id='at hand'),
        pytest.param(
            wholebodies.BufferedBody(b''), b'', id='at hand and empty'
        ),
        pytest.param(iterate([b'o', b'ne']), b'one', id='arrives'),
        pytest.param(iterate([]), b'', id='arrives and is empty'),
    ],
)
async def test_answer_is_read_whole(chunks, whole):
    closed = []
    resources = contextlib.AsyncExitStack()
    resources.callback(closed.append, True)
    answer = requests.Answer(200, (), chunks, resources)
    assert await wholebodies.read_answer(answer) == whole
    assert closed == [True]
    assert [one async for one in chunks] == []


# Guards against an empty chunk, which would end a chunked body, and against
# a second chunk. Columns: body, chunks.
@pytest.mark.parametrize(('body', 'chunks'), [(b'one', [b'one']), (b'', [])])
async def test_answer_at_hand_is_iterated(body, chunks):
    answer = wholebodies.build_answer(200, (), body)
    assert [one async for one in answer.chunks] == chunks
