"""Reads and checks the head and body of a caller's or peer's request."""

import asyncio
import dataclasses
import hashlib
import posixpath
import typing
import urllib.parse
import uuid

import pydantic
from sanic import exceptions

from sesamejunction.border import httpclient
from sesamejunction.commands import uploads
from sesamejunction.decisions import idempotency
from sesamejunction import errors
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.queries import routes

LONGEST_DEADLINE_MS = 3_600_000
LONGEST_KEY = 512
# Never passed on as they came: the caller's key, fields that the router sets
# and the length, which is set for the body that is really sent.
PRIVATE = httpclient.HOP_BY_HOP | {
    'authorization',
    'proxy-authorization',
    'content-length',
    'expect',
    'idempotency-key',
}
# Fields that decide where and how a request runs; two values are ambiguous.
SINGLE = (
    'authorization',
    'idempotency-key',
    'sj-key',
    'sj-deadline-ms',
    'sj-peer-tag',
)
# Commands of the target; only its own node may send them.
TARGET_COMMANDS = '/-'


class HeadError(errors.SesameError):
    """A field of the head is wrong; the message names the remedy."""

    def __init__(self, message, code=requests.Code.REQUEST_BAD):
        super().__init__(message)
        self.code = code


def check_key_version(key: str) -> str:
    """Return the key; raises ValueError when it is not a UUIDv7."""
    if idempotency.read_key_time(key) is None:
        raise ValueError('must be a UUID of version 7')
    return str(uuid.UUID(key))


class HeadFields(pydantic.BaseModel):
    """The router's own fields of a request."""

    model_config = pydantic.ConfigDict(frozen=True)

    deadline_ms: int = pydantic.Field(
        default=int(timing.DEFAULT_DEADLINE_S * 1000),
        ge=1,
        le=LONGEST_DEADLINE_MS,
    )
    route_key: str | None = pydantic.Field(
        default=None, min_length=1, max_length=LONGEST_KEY
    )
    idempotency_key: (
        typing.Annotated[str, pydantic.AfterValidator(check_key_version)]
        | None
    ) = None
    content_length: int | None = pydantic.Field(default=None, ge=0)


FIELDS = {
    'deadline_ms': 'sj-deadline-ms',
    'route_key': 'sj-key',
    'idempotency_key': 'idempotency-key',
    'content_length': 'content-length',
}


def read_fields(headers) -> HeadFields:
    """Return the checked fields; raises HeadError."""
    for name in SINGLE:
        if len(headers.getall(name, ())) > 1:
            raise HeadError(f'send {name} once')
    found = {
        field: headers[name]
        for field, name in FIELDS.items()
        if name in headers
    }
    try:
        return HeadFields(**found)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        field = str(first['loc'][0])
        code = requests.Code.REQUEST_BAD
        if field == 'idempotency_key':
            code = requests.Code.IDEMPOTENCY_KEY_BAD
        raise HeadError(f'{FIELDS[field]}: {first["msg"]}', code) from None


def split_path(path: str) -> tuple[str, str]:
    """Return the service and the path at its target, as they were sent.

    Raises HeadError for a path that could reach the target's commands.
    """
    _, _, rest = path.partition('/')
    service, _, at_target = rest.partition('/')
    at_target = '/' + at_target
    plain = urllib.parse.unquote(urllib.parse.unquote(at_target))
    plain = posixpath.normpath('/' + plain.lstrip('/').replace('\\', '/'))
    if plain == TARGET_COMMANDS or plain.startswith(TARGET_COMMANDS + '/'):
        raise HeadError('paths under /-/ are not open to callers')
    return service, at_target


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request of sanic with what was read from it."""

    request: typing.Any
    fields: HeadFields
    service: state.Service
    path: str


def read_head(
    sent: SentRequest, request_id: str, organisation: str, now: float
) -> requests.Head:
    """Return the typed head; ``now`` is boot-clock seconds."""
    request, fields, path = sent.request, sent.fields, sent.path
    service = sent.service
    if request.query_string:
        path += '?' + request.query_string
    return requests.Head(
        request_id=request_id,
        service=service.name,
        method=request.method,
        path=path,
        route_key=fields.route_key,
        idempotency_key=fields.idempotency_key,
        organisation=organisation,
        deadline=now + fields.deadline_ms / 1000,
        repeatable=routes.is_repeatable(service, request.method, path),
        headers=keep_fields(request.headers),
    )


def keep_fields(headers) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end fields that may be passed on.

    Leaves out fields named by Connection, and any field that repeats the
    caller's key under another name.
    """
    named = headers.get('connection', '').lower()
    dropped = PRIVATE
    if named not in ('', 'keep-alive', 'close'):
        dropped = PRIVATE | {one.strip() for one in named.split(',')}
    key = read_bearer(headers)
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in dropped
        and not name.startswith('sj-')
        and not (key and key in value)
    )


def read_bearer(headers) -> str:
    """Return the caller's key, empty when there is none."""
    scheme, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def find_caller_key(current, headers):
    """Return the CallerKey of a request, None if unknown or withdrawn."""
    key = read_bearer(headers)
    if not key:
        return None
    return current.caller_keys.get(hashlib.sha256(key.encode()).hexdigest())


async def read_upload(request, fields, max_bytes: int) -> uploads.Upload:
    """Return the body, held as a whole when it is small.

    Raises UploadCut when it stalls, ends early or is too large.
    """
    declared = fields.content_length
    if declared is None and 'transfer-encoding' not in request.headers:
        return uploads.EMPTY
    if declared == 0:
        return uploads.EMPTY
    chunks = iterate_body(request, max_bytes)
    if declared is not None and declared > uploads.MAX_BUFFERED_BYTES:
        return uploads.Upload(rest=chunks, size=declared)
    held = bytearray()
    async for chunk in chunks:
        held += chunk
        if len(held) > uploads.MAX_BUFFERED_BYTES:
            return uploads.Upload(bytes(held), chunks)
    return uploads.Upload(bytes(held))


async def iterate_body(request, max_bytes: int):
    """Yield the body's chunks as they arrive."""
    size = 0
    while True:
        try:
            async with asyncio.timeout(timing.PROGRESS_TIMEOUT_S):
                chunk = await request.stream.read()
        except TimeoutError:
            raise errors.UploadAborted(
                'the body stalled; send it without pauses'
            ) from None
        except exceptions.SanicException as error:
            raise errors.UploadAborted(f'{error}; correct the body') from None
        if chunk is None:
            return
        size += len(chunk)
        if size > max_bytes:
            raise errors.UploadAborted('the body is too large; send less')
        yield chunk
