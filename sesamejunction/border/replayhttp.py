"""Sends the calls of a replay and asks targets for their histories."""

import os
import time
import urllib.parse
import uuid

import aiohttp

from sesamejunction.border import forwardhttp
from sesamejunction.border import traces
from sesamejunction import errors
from sesamejunction.model import replaying

CHUNK_BYTES = 64 << 10
HISTORY_TIMEOUT_S = 5.0
OWNER = 'SJ-Owner'
TARGET = 'SJ-Target'
# Echoed by the target. Not one of the router's own fields, so that the router
# forwards it unchanged both ways.
CALL_ID = 'Call-Id'
FIRST_SERVER_ERROR_STATUS = 500
CallOutcome = replaying.CallOutcome


def make_idempotency_key() -> str:
    """Return a UUID of version 7 for the current wall-clock time."""
    millis = time.time_ns() // 1_000_000
    random = int.from_bytes(os.urandom(10))
    value = (millis << 80) | random
    # The version, then the variant of RFC 9562.
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(3 << 62) | (2 << 62)
    return str(uuid.UUID(int=value))


class CallSender:
    """Sends calls as an outside caller would; owns its HTTP session.

    ``caller_keys`` are by organisation. ``grace_s`` is the wait for an answer
    after the deadline of its call.
    """

    def __init__(self, caller_keys: dict[str, str], grace_s: float):
        self._keys = caller_keys
        self._grace_s = grace_s
        self._session = None

    async def __aenter__(self):
        # No limit on connections: waiting for a free one would turn the
        # open-loop schedule into a closed loop.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return self

    async def __aexit__(self, *_exc):
        await self._session.close()

    async def send(
        self,
        call: replaying.Call,
        address: str,
        idempotency_key: str | None,
    ) -> replaying.Reply:
        """Return the outcome of one call; does not raise for a failed call."""
        limit_s = call.deadline_ms / 1000 + self._grace_s
        headers = self._list_headers(call, idempotency_key)
        try:
            reply = await self._session.request(
                call.method,
                f'http://{address}/{call.service}{call.path}',
                headers=headers,
                data=iterate_body(call.size) if call.size else None,
                timeout=aiohttp.ClientTimeout(total=limit_s),
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return replaying.Reply(CallOutcome.UNREACHED, code='no-connection')
        except TimeoutError:
            return replaying.Reply(CallOutcome.LOST, code='no-reply')
        except (aiohttp.ClientError, OSError):
            return replaying.Reply(CallOutcome.LOST, code='connection-broken')
        async with reply:
            return await read_reply(reply, headers[CALL_ID])

    async def read_history(
        self, service: str, base_url: str
    ) -> replaying.History:
        """Return a target's runs; raises HistoryUnavailable."""
        url = base_url.rstrip('/') + '/-/history'
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=HISTORY_TIMEOUT_S)
            ) as reply:
                reply.raise_for_status()
                text = await reply.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.HistoryUnavailable(
                f'{url}: no history ({type(error).__name__}); check the '
                f'target or leave it out of --histories'
            ) from error
        target = urllib.parse.urlsplit(base_url).netloc
        return traces.parse_history(service, target, text)

    def _list_headers(self, call, idempotency_key) -> dict[str, str]:
        headers = {
            'Authorization': f'Bearer {self._keys[call.organisation]}',
            forwardhttp.DEADLINE_MS: str(call.deadline_ms),
            CALL_ID: uuid.uuid4().hex,
        }
        if call.key is not None:
            headers[forwardhttp.ROUTE_KEY] = call.key
        if idempotency_key is not None:
            headers[forwardhttp.IDEMPOTENCY_KEY] = idempotency_key
        if call.size:
            headers['Content-Length'] = str(call.size)
        return headers


async def iterate_body(size: int):
    """Yield chunks of zeros, so that no large upload is held in memory."""
    while size > 0:
        yield bytes(min(size, CHUNK_BYTES))
        size -= CHUNK_BYTES


async def read_reply(
    reply: aiohttp.ClientResponse, call_id: str
) -> replaying.Reply:
    """Return the reply after reading its complete body."""
    owner = reply.headers.get(OWNER)
    target = reply.headers.get(TARGET)
    try:
        body = await reply.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return replaying.Reply(
            CallOutcome.CUT, reply.status, 'cut', owner=owner, target=target
        )
    outcome = reply.headers.get(forwardhttp.OUTCOME)
    call_outcome, code = CallOutcome.ANSWERED, ''
    if outcome is not None:
        call_outcome = (
            CallOutcome.REFUSED
            if outcome == 'not-run'
            else CallOutcome.UNKNOWN
        )
        code = traces.read_refusal_code(body)
    elif reply.status >= FIRST_SERVER_ERROR_STATUS:
        call_outcome, code = CallOutcome.UNKNOWN, f'status-{reply.status}'
    echoed_id = reply.headers.get(CALL_ID)
    if echoed_id not in (None, call_id):
        call_outcome, code = CallOutcome.CROSSED, 'crossed'
    return replaying.Reply(
        call_outcome, reply.status, code, owner, target, echoed_id is not None
    )
