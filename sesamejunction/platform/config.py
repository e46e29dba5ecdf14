"""Decodes the operator's configuration into declarations."""

import dataclasses
import hashlib
import typing

import eliot
import pydantic

from sesamejunction.model import registry
from sesamejunction.model import routing
from sesamejunction.model import state
from sesamejunction.model import valueclass

CONFIG_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'
ROUTE_KINDS = {
    'idempotent': routing.RouteKind.REPEATABLE,
    'non_idempotent': routing.RouteKind.ONCE,
    'upload': routing.RouteKind.UPLOAD,
    # Downloads may be repeated; their answers are large.
    'download': routing.RouteKind.DOWNLOAD,
}


class Model(pydantic.BaseModel):
    """Base model that ignores unknown fields."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class PartModel(Model):
    """A service and its weight in a split route."""

    service: str
    weight: float = pydantic.Field(ge=0, allow_inf_nan=False)


class RouteModel(Model):
    """A route to one service, or to several by weight.

    ``attempts`` limits the targets that a request may be sent to. A request
    on an open route needs no caller key.
    """

    name: str
    host: str
    prefix: str = pydantic.Field(alias='pathPrefix')
    kind: typing.Literal['idempotent', 'non_idempotent', 'upload', 'download']
    time_limit_s: float = pydantic.Field(alias='timeoutS', gt=0)
    objective_s: float = pydantic.Field(alias='targetLatencyS', gt=0)
    rank: int = pydantic.Field(default=0, alias='priority')
    service: str | None = None
    parts: tuple[PartModel, ...] = pydantic.Field(
        default=(), alias='trafficSplit'
    )
    attempts: int = pydantic.Field(default=1, ge=1, alias='maxAttempts')
    is_open: bool = pydantic.Field(default=False, alias='noAuth')


class UnreadableRouteModel(Model):
    """The part of a route that selects its requests.

    It remains of a route whose other fields cannot be read.
    """

    name: str = ''
    host: str
    prefix: str = pydantic.Field(alias='pathPrefix')


class ServiceModel(Model):
    """A service; times in seconds, rates in requests per second."""

    name: str
    health_path: str = pydantic.Field(default='', alias='healthPath')
    cold_s: float = pydantic.Field(default=0.0, ge=0, alias='coldStartS')
    cold_rate: float = pydantic.Field(default=0.0, ge=0, alias='coldPerS')
    is_sharded: bool = pydantic.Field(default=False, alias='sharded')


class TenantModel(Model):
    """An organisation with its caller keys and its rate limit.

    ``rate`` is in requests per second, ``burst`` in requests; ``rank``, if
    set, overrides the rank of the route.
    """

    name: str
    keys: tuple[str, ...] = pydantic.Field(default=(), alias='apiKeys')
    rate: float = pydantic.Field(default=0.0, ge=0, alias='ratePerS')
    burst: float = pydantic.Field(default=0.0, ge=0)
    rank: int | None = pydantic.Field(default=None, alias='priority')


class LimitsModel(Model):
    """Limits on the requests of callers, in bytes and seconds."""

    head_bytes: int = pydantic.Field(default=16384, alias='maxHeaderBytes')
    body_bytes: int = pydantic.Field(default=1 << 26, alias='maxBodyBytes')
    head_s: float = pydantic.Field(default=10.0, alias='headerTimeoutS')
    idle_s: float = pydantic.Field(default=15.0, alias='idleTimeoutS')


class ConfigModel(Model):
    """The whole configuration.

    Routes and services are validated one by one, so that one that cannot be
    read leaves the others in force.
    """

    version: int
    routes: tuple[pydantic.JsonValue, ...]
    services: tuple[pydantic.JsonValue, ...]
    tenants: tuple[TenantModel, ...] = ()
    limits: LimitsModel = LimitsModel()


@valueclass.define
class Problem:
    """A part of the configuration that cannot be read.

    ``part`` is 'route', 'service' or 'configuration', ``name`` the name of
    the route or service, ``field`` the path of the field in it.
    """

    part: str
    name: str
    field: str
    reason: str


class OperatorTopicDecoder:
    """Decodes the operator's topic.

    A configuration is only decoded if its offset has changed. ``count`` is
    called with the labels of each part that cannot be read.
    """

    def __init__(self, count=lambda labels: None):
        self._decoded_offset = None
        self._count = count

    def __call__(
        self, copy: registry.TopicCopy, known: registry.DeclaredConfig | None
    ):
        """Return the declarations and the evacuated availability zones.

        ``known`` is returned again if the configuration is missing, unchanged
        or unreadable.
        """
        evacuated = frozenset(
            key.removeprefix(EVACUATE_PREFIX)
            for key in copy.items
            if key.startswith(EVACUATE_PREFIX)
        )
        item = copy.items.get(CONFIG_KEY)
        if item is None or item.offset == self._decoded_offset:
            return known, evacuated
        self._decoded_offset = item.offset
        problems = []
        try:
            declared = decode_config(item.value, problems.append)
        except pydantic.ValidationError as error:
            declared = known
            problems.append(describe_problem('configuration', '', error))
        for problem in problems:
            self._count({'part': problem.part})
            eliot.log_message(
                'journal: declarations unreadable; correct the named field',
                offset=item.offset,
                **dataclasses.asdict(problem),
            )
        return declared, evacuated


def describe_problem(
    part: str, name: str, error: pydantic.ValidationError
) -> Problem:
    """Return the first problem that a validation has found."""
    first = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(map(str, first['loc']))
    return Problem(part, name, field, first['msg'])


def decode_config(
    value: bytes, report=lambda problem: None
) -> registry.DeclaredConfig:
    """Return the declarations; raises pydantic.ValidationError.

    ``report`` is called with the Problem of each route or service that cannot
    be read. Such a route refuses its requests; such a service is left out, so
    that routes to it refuse theirs.
    """
    parsed = ConfigModel.model_validate_json(value)
    return registry.DeclaredConfig(
        parsed.version,
        tuple(decode_route(raw, report) for raw in parsed.routes),
        tuple(decode_services(parsed.services, report)),
        tuple(
            state.Organisation(
                configured.name,
                configured.rate,
                configured.burst,
                rank=configured.rank,
            )
            for configured in parsed.tenants
        ),
        tuple(
            state.CallerKey(hash_caller_key(key), configured.name)
            for configured in parsed.tenants
            for key in configured.keys
        ),
        routing.Limits(
            parsed.limits.head_bytes,
            parsed.limits.body_bytes,
            parsed.limits.head_s,
            parsed.limits.idle_s,
        ),
    )


def decode_route(raw, report) -> routing.Route:
    """Return a route; one that cannot be read leads to no service.

    Raises pydantic.ValidationError if it is unknown which requests the route
    selects, since another route might then get them.
    """
    try:
        return build_route(RouteModel.model_validate(raw))
    except pydantic.ValidationError as error:
        selector = UnreadableRouteModel.model_validate(raw)
        report(describe_problem('route', selector.name, error))
        return routing.Route(
            selector.name,
            selector.host.lower(),
            selector.prefix,
            # Nothing is known of the route, so nothing is repeated.
            routing.RouteKind.ONCE,
            parts=(),
            attempts=1,
            time_limit_s=0.0,
            objective_s=0.0,
            rank=0,
            is_open=True,
        )


def decode_services(raws, report):
    """Yield the services that can be read."""
    for raw in raws:
        try:
            yield build_service(ServiceModel.model_validate(raw))
        except pydantic.ValidationError as error:
            name = raw.get('name', '') if isinstance(raw, dict) else ''
            report(describe_problem('service', str(name), error))


def build_route(configured: RouteModel) -> routing.Route:
    """Return the declared route of a configured one."""
    parts = tuple(
        routing.WeightedService(part.service, part.weight)
        for part in configured.parts
    )
    if not parts and configured.service is not None:
        parts = (routing.WeightedService(configured.service, 1.0),)
    return routing.Route(
        configured.name,
        configured.host.lower(),
        configured.prefix,
        ROUTE_KINDS[configured.kind],
        parts,
        configured.attempts,
        configured.time_limit_s,
        configured.objective_s,
        configured.rank,
        configured.is_open,
    )


def build_service(configured: ServiceModel) -> state.Service:
    """Return the declared service of a configured one."""
    return state.Service(
        configured.name,
        state.Routing.RANGE if configured.is_sharded else state.Routing.LOAD,
        slot_count=0,
        cold_s=configured.cold_s,
        cold_rate=configured.cold_rate,
        health_path=configured.health_path,
    )


def hash_caller_key(key: str) -> str:
    """Return the digest by which a caller key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()
