"""Encodes answers and refusals for callers and peers."""

import asyncio

import msgspec
from sanic import response

from sesamejunction.border import forwardhttp
from sesamejunction import errors
from sesamejunction.model import requests

STATUSES = {
    requests.Code.KEY_UNKNOWN: 401,
    requests.Code.KEY_FORBIDDEN: 403,
    requests.Code.SERVICE_UNKNOWN: 404,
    requests.Code.ROUTE_KEY_MISSING: 400,
    requests.Code.IDEMPOTENCY_KEY_BAD: 400,
    requests.Code.REQUEST_BAD: 400,
    requests.Code.PEER_FORGED: 403,
    requests.Code.OVER_RATE: 429,
    requests.Code.RUNNING: 409,
    requests.Code.LOST: 502,
    requests.Code.OWNER_CHANGED: 409,
}
DEFAULT_STATUS = 503
# An answer is aborted when its reader stalls for this long, since its request
# occupies a place at the target until then. Longer than the progress timeout,
# because a caller may pause.
READER_STALL_S = 10.0
# Bytes of a refused upload that are still read and discarded, so that the
# caller sees the refusal; after them the connection is closed.
DRAIN_BYTES = 8 * 1024 * 1024


async def send_answer(request, answer: requests.Answer, for_peer=False):
    """Send an answer; aborts the connection if the answer breaks off.

    Returns the reply if the answer came in one chunk, None if it was streamed.
    """
    headers = list(answer.headers)
    if for_peer:
        # The peer checks that the answer carries the id of its attempt.
        request_id = request.headers[forwardhttp.REQUEST_ID]
        headers.append((forwardhttp.REQUEST_ID, request_id))
        if answer.load is not None:
            load = forwardhttp.encode_load(answer.load)
            headers.append((forwardhttp.LOAD, load))
    reply = response.HTTPResponse(status=answer.status, headers=headers)
    async with answer.resources:
        try:
            first_chunk = await anext(answer.chunks, b'')
            if reply.headers.get('content-length') == str(len(first_chunk)):
                # Exhausts the stream, which releases its connection.
                await anext(answer.chunks, b'')
                reply.body = first_chunk
                return reply
            await stream_answer(request, reply, first_chunk, answer.chunks)
        except (errors.PeerConnectionLost, TimeoutError):
            # An orderly end would make a truncated answer look complete.
            request.transport.abort()
    return None


async def stream_answer(request, reply, first_chunk: bytes, chunks) -> None:
    """Send the head and then the chunks as they arrive."""
    await request.respond(reply)
    if first_chunk:
        await send_chunk(request, reply, first_chunk)
    async for chunk in chunks:
        await send_chunk(request, reply, chunk)
    await reply.eof()


async def send_chunk(request, reply, chunk: bytes) -> None:
    """Send a chunk; raises TimeoutError when the reader stalls."""
    if not request.transport.get_write_buffer_size():
        # Nothing waits to be written, so this cannot block.
        await reply.send(chunk)
        return
    async with asyncio.timeout(READER_STALL_S):
        await reply.send(chunk)


def encode_refusal(refusal: requests.Refusal, status: int | None = None):
    """Return the HTTP reply of a refusal."""
    headers = {forwardhttp.OUTCOME: refusal.outcome.value}
    if refusal.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_s)))
    if refusal.owner is not None:
        headers[forwardhttp.OWNER] = refusal.owner
    if refusal.load is not None:
        headers[forwardhttp.LOAD] = forwardhttp.encode_load(refusal.load)
    wire = {
        'code': refusal.code.value,
        'outcome': refusal.outcome.value,
        'message': refusal.message,
    }
    if refusal.retry_after_s is not None:
        wire['retry_after_s'] = refusal.retry_after_s
    return response.raw(
        msgspec.json.encode(wire),
        status=status or STATUSES.get(refusal.code, DEFAULT_STATUS),
        headers=headers,
        content_type='application/json',
    )
