"""Validated settings of a node that runs on an operator's platform."""

import ipaddress
import os
import pathlib

import pydantic
import pydantic_settings

from sesamejunction.border import settings
from sesamejunction.decisions import clientbudget

SETTINGS_FILE = 'SESAMEJUNCTION_SETTINGS'


class Address(pydantic.BaseModel):
    """``host:port`` of a listener or service."""

    model_config = pydantic.ConfigDict(frozen=True)

    host: str
    port: settings.Port

    @pydantic.model_validator(mode='before')
    @classmethod
    def split_text(cls, value):
        """Return the fields of a ``host:port`` text; keep other values."""
        if not isinstance(value, str):
            return value
        host, _, port = value.rpartition(':')
        if not host:
            raise ValueError('must be HOST:PORT')
        return {'host': host, 'port': port}

    def __str__(self):
        return f'{self.host}:{self.port}'


class HostedSettings(pydantic_settings.BaseSettings):
    """Settings of the hosted node.

    They come from environment variables or, with lower precedence, from
    the file that SESAMEJUNCTION_SETTINGS names, which holds the same
    variables.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=settings.ENV_PREFIX, extra='ignore', frozen=True
    )

    name: str = pydantic.Field(
        pattern=settings.NAME_PATTERN, description='name of the node'
    )
    zone: str = pydantic.Field(
        pattern=settings.NAME_PATTERN,
        description='availability zone of the instance',
    )
    host: ipaddress.IPv4Address = pydantic.Field(
        description='IPv4 address of the instance'
    )
    peer_port: settings.Port = pydantic.Field(
        description='TCP and UDP port for other nodes'
    )
    callers: str = pydantic.Field(
        description='HOST:PORT for callers and the target on this instance'
    )
    readiness: str = pydantic.Field(
        description='HOST:PORT at which the platform asks for readiness'
    )
    heartbeats: str = pydantic.Field(
        description='HOST:PORT for the heartbeats of the target'
    )
    target: str = pydantic.Field(
        description='HOST:PORT of the target on this instance'
    )
    target_service: str = pydantic.Field(
        description='service that the target belongs to'
    )
    log: str = pydantic.Field(description="HOST:PORT of the platform's store")
    metrics_port: settings.Port = pydantic.Field(
        default=9180, description='TCP port of the metrics'
    )
    line_mbps: float = pydantic.Field(
        default=0.0,
        ge=0,
        description='speed of the line of the instance, in Mbit/s; 0 when'
        ' unknown',
    )
    record_bytes: int = pydantic.Field(
        default=262_144,
        ge=4096,
        description="largest record of the platform's store, in bytes",
    )
    memory_mb: float = pydantic.Field(
        default=clientbudget.DEFAULT_MEMORY_MB,
        ge=1,
        description='memory of the machine, in MB; limits what clients hold;'
        ' the default when unknown',
    )
    max_descriptors: int = pydantic.Field(
        default=clientbudget.DEFAULT_DESCRIPTORS,
        ge=1,
        description='descriptors that the process may open; limits the'
        ' connections of clients; the default when unknown',
    )
    machine: str = pydantic.Field(
        default='',
        description='size of the machine as the platform states it, a JSON'
        ' object; what it names goes before the memory and the descriptors'
        ' above',
    )
    bounds: str = pydantic.Field(
        default='',
        description='limits of the platform, as NAME=VALUE separated by'
        ' commas or as a JSON object; defaults apply to limits that are not'
        ' listed',
    )
    stop_limit_s: float = pydantic.Field(
        default=5.0,
        ge=1,
        le=60,
        description='longest time for a planned stop, in seconds',
    )

    def parse_address(self, field: str) -> Address:
        """Return the address in a field that holds HOST:PORT."""
        return Address.model_validate(getattr(self, field))

    @pydantic.field_validator('line_mbps', mode='before')
    @classmethod
    def accept_unknown_speed(cls, value):
        """Return 0 for an empty string, which means an unknown speed."""
        return 0.0 if value == '' else value

    @pydantic.field_validator(
        'record_bytes', 'memory_mb', 'max_descriptors', mode='before'
    )
    @classmethod
    def accept_unknown_size(cls, value, info):
        """Return the default for an empty string and for 0."""
        if value in ('', '0', 0):
            return cls.model_fields[info.field_name].default
        return value

    @pydantic.field_validator(
        'callers', 'readiness', 'heartbeats', 'target', 'log'
    )
    @classmethod
    def check_address(cls, value: str) -> str:
        """Return the text; raises ValueError unless it is HOST:PORT."""
        Address.model_validate(value)
        return value


def read_hosted_settings(flags) -> HostedSettings:
    """Return the settings; raises SettingsError with a one-line message."""
    path = os.environ.get(SETTINGS_FILE)
    flag_values = {
        name: flag for name, flag in flags.items() if flag is not None
    }
    return settings.read_settings(
        lambda **values: HostedSettings(
            _env_file=pathlib.Path(path) if path else None, **values
        ),
        flag_values,
    )
