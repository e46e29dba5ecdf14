"""HTTP server for operators, metrics and the target's announcements."""

import collections.abc
import hashlib
import hmac
import typing

import orjson
import pydantic
import sanic
from sanic import response

from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import measuring
from sesamejunction.model import operating
from sesamejunction.model import valueclass


class Announcement(pydantic.BaseModel):
    """What a target announces about itself every second.

    ``slots`` is its maximum concurrency, ``cold_slots`` that during a cold
    start.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    service: str = pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
    zone: str
    slots: int = pydantic.Field(ge=1, le=100_000)
    cold_slots: int = pydantic.Field(default=1, ge=1, le=100_000)
    port: int = pydantic.Field(ge=1, le=65535)
    checks_grants: bool = False


class Reporter(typing.Protocol):
    """Interface of an incarnation to the operator endpoints.

    All methods may raise TaskStopped while the incarnation ends.
    """

    async def handle_announcement(
        self, announced: gating.TargetAnnounced
    ) -> None:
        """Handle an announcement of the target."""

    async def read_status(self) -> operating.NodeStatus:
        """Return a summary of the node."""

    async def read_dump(self) -> operating.NodeDump:
        """Return the state of all tasks."""

    async def read_metrics(self) -> measuring.RenderedMetrics:
        """Return the metrics in their text format."""


@valueclass.define
class OperatorContext:
    """What the request handlers need.

    ``find_reporter`` returns the Reporter of the current incarnation and
    raises NoIncarnation between two; ``drain`` starts a planned stop.
    """

    operator_key_sha256: str
    host: str
    find_reporter: collections.abc.Callable[[], Reporter]
    drain: collections.abc.Callable[[], None]


def is_operator(context, request) -> bool:
    """Return whether the request carries the operator key."""
    scheme, _, key = request.headers.get('authorization', '').partition(' ')
    digest = hashlib.sha256(key.encode()).hexdigest()
    return scheme.lower() == 'bearer' and hmac.compare_digest(
        digest, context.operator_key_sha256
    )


def build_app(context: OperatorContext) -> sanic.Sanic:
    """Return the operator application."""
    app = sanic.Sanic('sesamejunction-operators', configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False

    @app.post('/announce')
    async def announce(request):
        if request.conn_info.client_ip != context.host:
            return response.text('announce from the instance itself\n', 403)
        try:
            wire = Announcement.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            return response.text(f'{error.errors()[0]["msg"]}\n', 400)
        await context.find_reporter().handle_announcement(
            gating.TargetAnnounced(
                wire.service,
                wire.slots,
                wire.cold_slots,
                wire.port,
                wire.checks_grants,
            )
        )
        return response.empty(204)

    @app.on_request
    async def check_operator(request):
        if request.path != '/announce' and not is_operator(context, request):
            return response.text('send the operator key\n', 401)

    @app.post('/drain')
    async def drain(_request):
        context.drain()
        return response.empty(202)

    add_read_endpoints(app, context)
    return app


def add_read_endpoints(app: sanic.Sanic, context: OperatorContext) -> None:
    """Add the read-only endpoints; they answer 503 between incarnations."""

    @app.exception(errors.NoIncarnation, errors.TaskStopped)
    async def handle_unavailable(_request, error):
        return response.text(f'{error}\n', 503, {'Retry-After': '1'})

    @app.get('/status')
    async def status(_request):
        return build_json_response(await context.find_reporter().read_status())

    @app.get('/dump')
    async def dump(_request):
        return build_json_response(await context.find_reporter().read_dump())

    @app.get('/metrics')
    async def metrics(_request):
        rendered = await context.find_reporter().read_metrics()
        return response.raw(rendered.data, content_type=rendered.content_type)


def build_json_response(value):
    """Return an HTTP answer that holds a data class as JSON."""
    return response.raw(encode_json(value), content_type='application/json')


def encode_json(value) -> bytes:
    """Return a data class as JSON; keys of mappings become strings."""
    return orjson.dumps(value, default=str, option=orjson.OPT_NON_STR_KEYS)


def list_settings(node_settings) -> tuple[operating.Setting, ...]:
    """Return a node's settings as text, with secrets hidden."""
    return tuple(
        operating.Setting(
            name, _format_setting(getattr(node_settings, name), name)
        )
        for name in type(node_settings).model_fields
    )


def _format_setting(value, name) -> str:
    # A weak key could be recovered from its digest by brute force.
    return '**********' if name.endswith('sha256') else str(value)
