"""Decodes the operator's records into the product's declarations."""

import hashlib
import typing

import eliot
import pydantic

from sesamejunction.model import registry
from sesamejunction.model import routing
from sesamejunction.model import state

CONFIG_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'
KINDS = {
    'idempotent': routing.RouteKind.REPEATABLE,
    'non_idempotent': routing.RouteKind.ONCE,
    'upload': routing.RouteKind.UPLOAD,
}


class Model(pydantic.BaseModel):
    """Fields that this version does not know are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class PartModel(Model):
    """A service and its weight in a split route."""

    service: str
    weight: float = pydantic.Field(ge=0)


class RouteModel(Model):
    """A route; it names one service or a split."""

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
    """A service; times in seconds, rates in requests a second."""

    name: str
    health_path: str = pydantic.Field(default='', alias='healthPath')
    cold_s: float = pydantic.Field(default=0.0, ge=0, alias='coldStartS')
    cold_rate: float = pydantic.Field(default=0.0, ge=0, alias='coldPerS')
    by_range: bool = pydantic.Field(default=False, alias='sharded')


class TenantModel(Model):
    """An organisation with its caller keys and its share."""

    name: str
    keys: tuple[str, ...] = pydantic.Field(default=(), alias='apiKeys')
    rate: float = pydantic.Field(default=0.0, ge=0, alias='ratePerS')
    burst: float = pydantic.Field(default=0.0, ge=0)
    rank: int | None = pydantic.Field(default=None, alias='priority')


class LimitsModel(Model):
    """What a caller may send."""

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
    """Reads the operator's topic; remembers what it has decoded."""

    def __init__(self):
        self._offset = None

    def __call__(
        self, copy: registry.TopicCopy, known: registry.DeclaredConfig | None
    ):
        """Return the declarations and the evacuated availability zones.

        A configuration that cannot be read leaves the known one in force.
        """
        evacuated = frozenset(
            key.removeprefix(EVACUATE_PREFIX)
            for key in copy.items
            if key.startswith(EVACUATE_PREFIX)
        )
        item = copy.items.get(CONFIG_KEY)
        if item is None or item.offset == self._offset:
            return known, evacuated
        self._offset = item.offset
        try:
            return decode_config(item.value), evacuated
        except pydantic.ValidationError as error:
            first = error.errors(include_url=False, include_input=False)[0]
            eliot.log_message(
                'journal: declarations unreadable, the known ones stay',
                field='.'.join(map(str, first['loc'])),
                reason=first['msg'],
                offset=item.offset,
            )
            return known, evacuated


def decode_config(value: bytes) -> registry.DeclaredConfig:
    """Return the declarations; raises pydantic.ValidationError."""
    found = ConfigModel.model_validate_json(value)
    return registry.DeclaredConfig(
        found.version,
        tuple(build_route(one) for one in found.routes),
        tuple(build_service(one) for one in found.services),
        tuple(
            state.Organisation(one.name, one.rate, one.burst, rank=one.rank)
            for one in found.tenants
        ),
        tuple(
            state.CallerKey(hash_caller_key(key), one.name)
            for one in found.tenants
            for key in one.keys
        ),
        routing.Limits(
            found.limits.head_bytes,
            found.limits.body_bytes,
            found.limits.head_s,
            found.limits.idle_s,
        ),
    )


def build_route(one: RouteModel) -> routing.Route:
    """Return the product's route."""
    parts = tuple(
        routing.WeightedService(part.service, part.weight)
        for part in one.parts
    )
    if not parts and one.service is not None:
        parts = (routing.WeightedService(one.service, 1.0),)
    return routing.Route(
        one.name,
        one.host.lower(),
        one.prefix,
        KINDS[one.kind],
        parts,
        one.attempts,
        one.time_limit_s,
        one.objective_s,
        one.rank,
        one.is_open,
    )


def build_service(one: ServiceModel) -> state.Service:
    """Return the product's service."""
    return state.Service(
        one.name,
        state.Routing.RANGE if one.by_range else state.Routing.LOAD,
        slot_count=0,
        cold_s=one.cold_s,
        cold_rate=one.cold_rate,
        health_path=one.health_path,
    )


def hash_caller_key(key: str) -> str:
    """Return the form in which a caller key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()
