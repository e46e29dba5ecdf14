"""Parses and validates requests of callers and peers."""

import asyncio
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
from sesamejunction.model import valueclass
from sesamejunction.queries import routes

MAX_DEADLINE_MS = 3_600_000
# In characters.
MAX_KEY_LENGTH = 512
# Not forwarded as received: the caller's key, fields that the router sets
# itself, and the length, which is set from the body that is sent on.
NOT_FORWARDED = httpclient.HOP_BY_HOP | {
    'authorization',
    'proxy-authorization',
    'content-length',
    'expect',
    'idempotency-key',
}
# Fields that decide where and how a request runs. Two values would be
# ambiguous, so a repeated field is refused.
SINGLE_FIELDS = (
    'authorization',
    'idempotency-key',
    'sj-key',
    'sj-deadline-ms',
    'sj-peer-tag',
)
# Path prefix of the target's commands, which only its own node may send.
TARGET_COMMANDS = '/-'


class HeadError(errors.SesameError):
    """Invalid header field; the message says how to correct it."""

    def __init__(self, message, code=requests.Code.REQUEST_BAD):
        super().__init__(message)
        self.code = code


def check_key_version(key: str) -> str:
    """Return the key in canonical form; raises ValueError if not a UUIDv7."""
    if idempotency.read_key_time(key) is None:
        raise ValueError('must be a UUID of version 7')
    return str(uuid.UUID(key))


class HeadFields(pydantic.BaseModel):
    """Header fields of a request that the router interprets."""

    model_config = pydantic.ConfigDict(frozen=True)

    deadline_ms: int = pydantic.Field(
        default=int(timing.DEFAULT_DEADLINE_S * 1000),
        ge=1,
        le=MAX_DEADLINE_MS,
    )
    route_key: str | None = pydantic.Field(
        default=None, min_length=1, max_length=MAX_KEY_LENGTH
    )
    idempotency_key: (
        typing.Annotated[str, pydantic.AfterValidator(check_key_version)]
        | None
    ) = None
    content_length: int | None = pydantic.Field(default=None, ge=0)


HEADER_NAMES = {
    'deadline_ms': 'sj-deadline-ms',
    'route_key': 'sj-key',
    'idempotency_key': 'idempotency-key',
    'content_length': 'content-length',
}


def read_fields(headers) -> HeadFields:
    """Return the validated header fields; raises HeadError."""
    for name in SINGLE_FIELDS:
        if len(headers.getall(name, ())) > 1:
            raise HeadError(f'send {name} once')
    given = {
        field: headers[name]
        for field, name in HEADER_NAMES.items()
        if name in headers
    }
    try:
        return HeadFields(**given)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        field = str(first_error['loc'][0])
        code = requests.Code.REQUEST_BAD
        if field == 'idempotency_key':
            code = requests.Code.IDEMPOTENCY_KEY_BAD
        raise HeadError(
            f'{HEADER_NAMES[field]}: {first_error["msg"]}', code
        ) from None


def split_path(path: str) -> tuple[str, str]:
    """Return the service and the path at its target, both as received.

    Raises HeadError for a path that could reach the target's commands.
    """
    _, _, relative_path = path.partition('/')
    service, _, target_path = relative_path.partition('/')
    target_path = '/' + target_path
    # Decoded twice, since a command may be percent-encoded twice.
    normalized = urllib.parse.unquote(urllib.parse.unquote(target_path))
    normalized = posixpath.normpath(
        '/' + normalized.lstrip('/').replace('\\', '/')
    )
    if normalized == TARGET_COMMANDS or normalized.startswith(
        TARGET_COMMANDS + '/'
    ):
        raise HeadError('paths under /-/ are not open to callers')
    return service, target_path


@valueclass.define
class ParsedRequest:
    """A sanic request with its validated fields, service and path."""

    request: typing.Any
    fields: HeadFields
    service: state.Service
    path: str


def build_head(
    parsed: ParsedRequest, request_id: str, organisation: str, now: float
) -> requests.Head:
    """Return the Head of a request; ``now`` is in boot-clock seconds."""
    request, fields, path = parsed.request, parsed.fields, parsed.path
    service = parsed.service
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
        headers=filter_headers(request.headers),
    )


def filter_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end fields that may be forwarded.

    Drops fields that Connection names, and any field whose value contains the
    caller's key.
    """
    connection_field = headers.get('connection', '').lower()
    dropped = NOT_FORWARDED
    if connection_field not in ('', 'keep-alive', 'close'):
        dropped = NOT_FORWARDED | {
            option.strip() for option in connection_field.split(',')
        }
    key = read_bearer_token(headers)
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in dropped
        and not name.startswith('sj-')
        and not (key and key in value)
    )


def read_bearer_token(headers) -> str:
    """Return the bearer token, empty without one."""
    scheme, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def find_caller_key(current, headers):
    """Return the CallerKey of a request, None without a valid one."""
    key = read_bearer_token(headers)
    if not key:
        return None
    return current.caller_keys.get(hashlib.sha256(key.encode()).hexdigest())


async def read_upload(request, fields, max_bytes: int) -> uploads.Upload:
    """Return the body, buffered completely up to MAX_BUFFERED_BYTES.

    Raises UploadAborted when the body stalls, ends early or is too large.
    """
    declared = fields.content_length
    if declared is None and 'transfer-encoding' not in request.headers:
        return uploads.EMPTY
    if declared == 0:
        return uploads.EMPTY
    chunks = iterate_body(request, max_bytes)
    if declared is not None and declared > uploads.MAX_BUFFERED_BYTES:
        return uploads.Upload(rest=chunks, size=declared)
    buffered = bytearray()
    async for chunk in chunks:
        buffered += chunk
        if len(buffered) > uploads.MAX_BUFFERED_BYTES:
            return uploads.Upload(bytes(buffered), chunks)
    return uploads.Upload(bytes(buffered))


async def iterate_body(request, max_bytes: int):
    """Yield the chunks of the body as they arrive; raises UploadAborted."""
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
