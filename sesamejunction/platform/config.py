"""Decodes the operator's configuration into declarations."""

import hashlib
import typing

import eliot
import pydantic

from sesamejunction.model import registry
from sesamejunction.model import routing
from sesamejunction.model import state

CONFIG_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'
ROUTE_KINDS = {
    'idempotent': routing.RouteKind.REPEATABLE,
    'non_idempotent': routing.RouteKind.ONCE,
    'upload': routing.RouteKind.UPLOAD,
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
    kind: typing.Literal['idempotent', 'non_idempotent', 'upload']
    time_limit_s: float = pydantic.Field(alias='timeoutS', gt=0)
    objective_s: float = pydantic.Field(alias='targetLatencyS', gt=0)
    rank: int = pydantic.Field(default=0, alias='priority')
    service: str | None = None
    parts: tuple[PartModel, ...] = pydantic.Field(
        default=(), alias='trafficSplit'
    )
    attempts: int = pydantic.Field(default=1, ge=1, alias='maxAttempts')
    is_open: bool = pydantic.Field(default=False, alias='noAuth')


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
    """The whole configuration."""

    version: int
    routes: tuple[RouteModel, ...]
    services: tuple[ServiceModel, ...]
    tenants: tuple[TenantModel, ...] = ()
    limits: LimitsModel = LimitsModel()


class OperatorTopicDecoder:
    """Decodes the operator's topic.

    A configuration is only decoded if its offset has changed.
    """

    def __init__(self):
        self._decoded_offset = None

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
        try:
            return decode_config(item.value), evacuated
        except pydantic.ValidationError as error:
            problem = error.errors(include_url=False, include_input=False)[0]
            eliot.log_message(
                'journal: declarations unreadable, keeping the known ones',
                field='.'.join(map(str, problem['loc'])),
                reason=problem['msg'],
                offset=item.offset,
            )
            return known, evacuated


def decode_config(value: bytes) -> registry.DeclaredConfig:
    """Return the declarations; raises pydantic.ValidationError."""
    parsed = ConfigModel.model_validate_json(value)
    return registry.DeclaredConfig(
        parsed.version,
        tuple(build_route(configured) for configured in parsed.routes),
        tuple(build_service(configured) for configured in parsed.services),
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
