"""Forwards requests to peer nodes over HTTP and decodes their replies."""

import dataclasses
import hashlib
import hmac
import time

import pydantic

from sesamejunction.border import httpclient
from sesamejunction import errors
from sesamejunction.model import requests
from sesamejunction.model import timing

TAG_BYTES = 16
REQUEST_ID = httpclient.REQUEST_ID
ORGANISATION = 'SJ-Organisation'
DEADLINE_MS = 'SJ-Deadline-Ms'
ROUTE_KEY = 'SJ-Key'
IDEMPOTENCY_KEY = 'Idempotency-Key'
PEER_TAG = 'SJ-Peer-Tag'
PEER_TIME = 'SJ-Peer-Time'
OUTCOME = 'SJ-Outcome'
OWNER = 'SJ-Owner'
LOAD = 'SJ-Load'
MAX_REFUSAL_BYTES = 16 * 1024


class WireRefusal(pydantic.BaseModel):
    """JSON body of a refusal."""

    model_config = pydantic.ConfigDict(frozen=True)

    code: requests.Code
    outcome: requests.Outcome
    message: str
    retry_after_s: float | None = None


def sign_head(
    secret: bytes, head: requests.Head, budget_ms: str, time_ms: str
) -> str:
    """Return the tag that authenticates a forwarded request.

    ``budget_ms`` is the time left to the deadline, ``time_ms`` the wall-clock
    time of sending; both are text as in the header fields. Each part is
    prefixed with its length, so that characters cannot move from one part to
    another without changing the tag.
    """
    parts = (
        head.method,
        head.service,
        head.path,
        head.organisation,
        head.request_id,
        budget_ms,
        time_ms,
        head.route_key or '',
        head.idempotency_key or '',
    )
    text = ''.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.blake2b(
        text.encode(), key=secret, digest_size=TAG_BYTES
    ).hexdigest()


def verify_tag(
    secret: bytes, head, budget_ms: str, time_ms: str, tag: str, now: float
) -> bool:
    """Return whether the tag is valid and ``now`` is within the budget.

    ``now`` is in wall-clock seconds; MAX_CALLER_CLOCK_ERROR_S is allowed on
    both sides. The check of the time prevents a third party from replaying a
    recorded request later.
    """
    expected = sign_head(secret, head, budget_ms, time_ms)
    if not hmac.compare_digest(expected.encode(), tag.encode()):
        return False
    sent_at_s, budget_s = int(time_ms) / 1000, int(budget_ms) / 1000
    margin_s = timing.MAX_CALLER_CLOCK_ERROR_S
    return sent_at_s - margin_s <= now <= sent_at_s + budget_s + margin_s


def encode_head(head: requests.Head, budget_ms: str) -> dict[str, str]:
    """Return the header fields that carry the head to the next hop."""
    fields = dict(head.headers)
    fields[REQUEST_ID] = head.request_id
    fields[ORGANISATION] = head.organisation
    fields[DEADLINE_MS] = budget_ms
    if head.route_key is not None:
        fields[ROUTE_KEY] = head.route_key
    if head.idempotency_key is not None:
        fields[IDEMPOTENCY_KEY] = head.idempotency_key
    return fields


def encode_load(load: requests.Load) -> str:
    """Return the value of SJ-Load.

    It lists the requests in flight, the queued requests, the limit on requests
    in flight and the latency in microseconds.
    """
    latency_us = int(load.latency_s * 1e6)
    return f'{load.in_flight},{load.queued},{load.limit},{latency_us}'


def decode_load(text: str | None) -> requests.Load | None:
    """Return the load of an SJ-Load field, None if it is invalid."""
    if text is None:
        return None
    try:
        in_flight, queued, limit, latency_us = map(int, text.split(','))
    except ValueError:
        return None
    if min(in_flight, queued, limit, latency_us) < 0:
        return None
    return requests.Load(in_flight, queued, limit, latency_us / 1e6)


class PeerTransport:
    """Forwards requests to other nodes."""

    def __init__(
        self,
        http: httpclient.HttpClient,
        secret: bytes,
        clock,
        read_wall_clock=time.time,
    ):
        self._http = http
        self._secret = secret
        self._clock = clock
        self._read_wall_clock = read_wall_clock

    def reports_silence(self, _candidate) -> bool:
        """Return False: HTTP gives no progress signal before the answer."""
        return False

    async def send(
        self, candidate, head, upload, _on_silent=None
    ) -> requests.Answer | requests.Refusal:
        """Forward a request to the candidate's node.

        Raises PeerUnavailable when no connection was made, and
        PeerConnectionLost when the request may have run without a usable
        reply.
        """
        left_s = max(0.001, head.deadline - self._clock())
        budget_ms = str(max(1, int(left_s * 1000)))
        time_ms = str(int(self._read_wall_clock() * 1000))
        fields = encode_head(head, budget_ms)
        fields[PEER_TIME] = time_ms
        fields[PEER_TAG] = sign_head(self._secret, head, budget_ms, time_ms)
        member = candidate.member
        reply = await self._http.send(
            f'{member.host}:{member.caller_port}',
            head,
            f'/{head.service}{head.path}',
            fields,
            upload,
            left_s,
        )
        load = decode_load(reply.fields.get(LOAD))
        outcome = reply.fields.get(OUTCOME)
        if outcome is None:
            return reply.to_answer(load)
        async with reply.resources:
            refusal = await read_refusal(reply.chunks)
        if refusal.outcome.value != outcome:
            raise errors.PeerConnectionLost(
                'the refusal of a peer contradicts itself'
            )
        return dataclasses.replace(
            refusal, owner=reply.fields.get(OWNER), load=load
        )


async def read_refusal(chunks) -> requests.Refusal:
    """Return the refusal in a reply's body.

    Raises PeerConnectionLost when it cannot be decoded, since it is then
    unknown whether the request ran.
    """
    body = b''
    async for chunk in chunks:
        body += chunk
        if len(body) > MAX_REFUSAL_BYTES:
            raise errors.PeerConnectionLost(
                'the refusal of a peer is too long'
            )
    try:
        wire = WireRefusal.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise errors.PeerConnectionLost(
            'the refusal of a peer is unusable'
        ) from error
    return requests.Refusal(
        wire.code, wire.outcome, wire.message, wire.retry_after_s
    )
