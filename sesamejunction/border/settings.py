"""Validated settings from flags and environment variables."""

import getpass
import ipaddress
import typing

import pydantic
import pydantic_settings

from sesamejunction import errors

ENV_PREFIX = 'SESAMEJUNCTION_'

NAME_PATTERN = r'^[A-Za-z0-9._-]{1,64}$'

HISTORY_PATTERN = r'[a-z0-9-]+=https?://[^\s,]+'

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]

# Each program reads the settings of one model, so the validators of a model
# are built when it is first used.
MODEL_CONFIG = pydantic_settings.SettingsConfigDict(
    env_prefix=ENV_PREFIX, extra='forbid', frozen=True, defer_build=True
)


class NodeSettings(pydantic_settings.BaseSettings):
    """Settings of sesamejunction-node; flags override the environment."""

    model_config = MODEL_CONFIG

    name: str = pydantic.Field(
        pattern=NAME_PATTERN, description='name of the target'
    )
    zone: str = pydantic.Field(
        pattern=NAME_PATTERN, description='availability zone of the instance'
    )
    host: pydantic.IPvAnyAddress = pydantic.Field(
        description='address of the instance, for all listeners'
    )
    caller_port: Port = pydantic.Field(
        description='TCP port for callers and forwarded requests'
    )
    peer_port: Port = pydantic.Field(
        description='TCP and UDP port for messages between nodes'
    )
    operator_port: Port = pydantic.Field(
        description='TCP port for operators, metrics and announcements'
    )
    advertise_caller_port: Port | None = pydantic.Field(
        default=None,
        description='caller port that other nodes use; default: caller_port',
    )
    advertise_peer_port: Port | None = pydantic.Field(
        default=None,
        description='peer port that other nodes use; default: peer_port',
    )
    log_url: pydantic.AnyHttpUrl = pydantic.Field(
        description='base URL of the log service'
    )
    fleet_secret: pydantic.SecretStr = pydantic.Field(
        min_length=16,
        description='secret that all nodes share; best set in the environment',
    )
    operator_key_sha256: str = pydantic.Field(
        pattern=r'^[0-9a-f]{64}$',
        description='SHA-256 of the operator key, in hexadecimal',
    )
    max_body_bytes: int = pydantic.Field(
        default=1 << 30,
        ge=1 << 10,
        le=1 << 40,
        description='largest accepted request body, in bytes',
    )
    stop_limit_s: float = pydantic.Field(
        default=60.0,
        ge=1,
        le=3600,
        description='longest wait for running requests at a planned stop, '
        'in seconds',
    )

    # Time that the log service keeps records, in seconds. Two checkpoints are
    # at most half of it apart.
    log_retention_s: float = pydantic.Field(default=86_400.0, gt=0)

    @property
    def address(self) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
        """Return the instance's address."""
        return self.host

    @property
    def advertised_caller_port(self) -> int:
        """Return the caller port that the node announces."""
        return self.advertise_caller_port or self.caller_port

    @property
    def advertised_peer_port(self) -> int:
        """Return the peer port that the node announces."""
        return self.advertise_peer_port or self.peer_port


class CtlSettings(pydantic_settings.BaseSettings):
    """Settings of sesamejunction-ctl; flags override the environment."""

    model_config = MODEL_CONFIG

    log_url: pydantic.AnyHttpUrl = pydantic.Field(
        description='base URL of the log service'
    )
    operator_key: pydantic.SecretStr | None = pydantic.Field(
        default=None,
        min_length=1,
        description='operator key; environment only, never a flag',
    )
    operator_key_file: pydantic.FilePath | None = pydantic.Field(
        default=None,
        description='file that holds the operator key, instead of the '
        'variable',
    )
    author: str = pydantic.Field(
        default_factory=getpass.getuser,
        pattern=r'^[^\x00-\x1f]{1,64}$',
        description='who applies tickets; default: the login name',
    )
    declarations: pydantic.DirectoryPath | None = pydantic.Field(
        default=None,
        description='directory of declarations that commands keep in step',
    )
    follow_limit_s: float = pydantic.Field(
        default=30.0,
        ge=0,
        le=3600,
        description='longest wait for the nodes to confirm, in seconds',
    )
    follow_concurrency: int = pydantic.Field(
        default=32,
        ge=1,
        le=1024,
        description='nodes asked at the same time',
    )

    def read_operator_key(self) -> str:
        """Return the operator key; raises SettingsError without one."""
        if self.operator_key is not None:
            return self.operator_key.get_secret_value()
        if self.operator_key_file is None:
            raise errors.SettingsError(
                f'no operator key; set {ENV_PREFIX}OPERATOR_KEY or '
                f'--operator-key-file'
            )
        try:
            text = self.operator_key_file.read_text(encoding='utf-8')
        except (OSError, UnicodeError) as error:
            raise errors.SettingsError(
                f'--operator-key-file: cannot be read ({error}); name a '
                f'text file that you may read'
            ) from None
        return text.strip()


class ReplaySettings(pydantic_settings.BaseSettings):
    """Settings of sesamejunction-replay; flags override the environment."""

    model_config = MODEL_CONFIG

    nodes: str = pydantic.Field(
        pattern=r'^[^\s,/]+:[0-9]{1,5}(,[^\s,/]+:[0-9]{1,5})*$',
        description='caller addresses HOST:PORT of nodes, with commas',
    )
    caller_keys: dict[str, pydantic.SecretStr] | None = pydantic.Field(
        default=None,
        description='caller keys by organisation, as a JSON object; '
        'environment only, never a flag',
    )
    caller_keys_file: pydantic.FilePath | None = pydantic.Field(
        default=None,
        description='file that holds that JSON object, instead of the '
        'variable',
    )
    addressing: typing.Literal['spread', 'owner'] = pydantic.Field(
        default='spread',
        description='spread: all nodes in turn; owner: the node that '
        'SJ-Owner named for the key',
    )
    declarations: pydantic.DirectoryPath | None = pydantic.Field(
        default=None,
        description='directory of declarations with the rates; without it '
        'every call counts as within rate',
    )
    bounds: pydantic.FilePath | None = pydantic.Field(
        default=None, description='file of the stated outcomes'
    )
    histories: str = pydantic.Field(
        default='',
        pattern=rf'^$|^{HISTORY_PATTERN}(,{HISTORY_PATTERN})*$',
        description='targets to ask for their runs, SERVICE=URL, with commas',
    )
    output: typing.Literal['table', 'json'] = pydantic.Field(
        default='table', description='form of the measures'
    )
    grace_s: float = pydantic.Field(
        default=1.0,
        ge=0,
        le=600,
        description='wait for an answer after its deadline, in seconds',
    )

    def list_nodes(self) -> tuple[str, ...]:
        """Return the addresses of the nodes, HOST:PORT each."""
        return tuple(self.nodes.split(','))

    def list_histories(self) -> tuple[tuple[str, str], ...]:
        """Return service and base URL of each target to be asked."""
        parts = [entry for entry in self.histories.split(',') if entry]
        return tuple(tuple(entry.split('=', 1)) for entry in parts)

    def read_caller_keys(self) -> dict[str, str]:
        """Return caller keys by organisation; raises SettingsError."""
        keys = self.caller_keys
        if keys is None and self.caller_keys_file is not None:
            try:
                keys = pydantic.TypeAdapter(
                    dict[str, pydantic.SecretStr]
                ).validate_json(self.caller_keys_file.read_bytes())
            except (OSError, pydantic.ValidationError):
                raise errors.SettingsError(
                    '--caller-keys-file: not a readable JSON object of '
                    'organisation and key; correct the file'
                ) from None
        if not keys:
            raise errors.SettingsError(
                f'no caller keys; set {ENV_PREFIX}CALLER_KEYS or '
                f'--caller-keys-file'
            )
        return {name: key.get_secret_value() for name, key in keys.items()}


# Never accepted as flags, since other users can see the command line of a
# process.
ENVIRONMENT_ONLY = {
    CtlSettings: frozenset(('operator_key',)),
    ReplaySettings: frozenset(('caller_keys',)),
}
SETTINGS = {
    'sesamejunction-node': NodeSettings,
    'sesamejunction-ctl': CtlSettings,
    'sesamejunction-replay': ReplaySettings,
}


def list_flags(model) -> dict[str, str]:
    """Return the settings that may be flags, with their descriptions."""
    hidden = ENVIRONMENT_ONLY.get(model, frozenset())
    return {
        name: field.description or ''
        for name, field in model.model_fields.items()
        if name not in hidden
    }


def read_settings(model, flags: dict[str, str]):
    """Return validated settings.

    Raises SettingsError for an unknown, missing or invalid value. It names the
    first such flag, its variable and the reason.
    """
    try:
        return model(**flags)
    except pydantic_settings.SettingsError as error:
        raise errors.SettingsError(
            f'{error}; set the variable as docs/configuration.md says'
        ) from None
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        field = '.'.join(str(part) for part in first_error['loc'])
        flag = '--' + field.replace('_', '-')
        raise errors.SettingsError(
            f'{flag} ({ENV_PREFIX}{field.upper()}): {first_error["msg"]}; '
            f'set it as docs/configuration.md says'
        ) from None
