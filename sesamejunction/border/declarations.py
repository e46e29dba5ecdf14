"""Reads and validates a directory of declaration files."""

import pathlib
import typing

import pydantic
import yaml

from sesamejunction import errors
from sesamejunction.model import state
from sesamejunction.model import ticketing

ORGANISATIONS = 'organisations.yaml'
SERVICES = 'services.yaml'
STANDING = 'standing.yaml'
FLEET = 'fleet.yaml'
REQUIRED = frozenset((ORGANISATIONS, SERVICES))

Name = typing.Annotated[
    str, pydantic.Field(strict=True, pattern=r'^[A-Za-z0-9._-]{1,64}$')
]
ServiceName = typing.Annotated[
    str, pydantic.Field(strict=True, pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
Digest = typing.Annotated[
    str, pydantic.Field(strict=True, pattern=r'^[0-9a-f]{64}$')
]
Positive = typing.Annotated[
    float, pydantic.Field(gt=0, le=1e9, allow_inf_nan=False)
]


def _read_null_as(make_empty):
    # YAML reads a list as null once its last entry has been deleted.
    return pydantic.BeforeValidator(
        lambda value: make_empty() if value is None else value
    )


class StrictModel(pydantic.BaseModel):
    """Immutable model that refuses unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class CallerKeyEntry(StrictModel):
    """A caller key, declared by its SHA-256 only.

    Without ``services`` the key is valid for all services.
    """

    name: Name
    sha256: Digest
    services: typing.Annotated[list[ServiceName], _read_null_as(list)] = []


class OrganisationEntry(StrictModel):
    """An organisation with its rate limit, weight and caller keys.

    ``rate`` is in requests per second, ``burst`` in requests; ``weight``
    applies at a contended target.
    """

    name: Name
    rate: Positive
    burst: typing.Annotated[
        float, pydantic.Field(ge=1, le=1e9, allow_inf_nan=False)
    ]
    weight: typing.Annotated[
        float, pydantic.Field(gt=0, le=1000, allow_inf_nan=False)
    ] = 1.0
    caller_keys: typing.Annotated[
        list[CallerKeyEntry], _read_null_as(list)
    ] = []


class OrganisationsFile(StrictModel):
    """Content of organisations.yaml."""

    organisations: typing.Annotated[
        list[OrganisationEntry], _read_null_as(list)
    ]


class RuleEntry(StrictModel):
    """Whether requests with a method and path prefix may be repeated.

    The method ``*`` matches all methods. The first rule that matches decides.
    """

    method: typing.Literal[
        '*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'
    ] = '*'
    prefix: typing.Annotated[
        str, pydantic.Field(strict=True, pattern=r'^/')
    ] = '/'
    repeatable: typing.Annotated[bool, pydantic.Field(strict=True)]


class ServiceEntry(StrictModel):
    """A service, with its routing and the rules for repeating requests."""

    name: ServiceName
    routing: state.Routing
    slot_count: typing.Annotated[
        int, pydantic.Field(strict=True, ge=1, le=65536)
    ] = 256
    rules: typing.Annotated[list[RuleEntry], _read_null_as(list)] = []


class ServicesFile(StrictModel):
    """Content of services.yaml."""

    services: typing.Annotated[list[ServiceEntry], _read_null_as(list)]


class StandingFile(StrictModel):
    """Content of standing.yaml."""

    zones: typing.Annotated[dict[Name, state.Standing], _read_null_as(dict)]
    targets: typing.Annotated[
        dict[Name, state.Standing], _read_null_as(dict)
    ] = {}


class FleetFile(StrictModel):
    """Content of fleet.yaml."""

    max_nodes: typing.Annotated[
        int, pydantic.Field(strict=True, ge=1, le=100_000)
    ] = state.FleetSettings().max_nodes
    offline_limit_s: typing.Annotated[
        float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)
    ] = state.FleetSettings().offline_limit_s


MODELS = {
    ORGANISATIONS: OrganisationsFile,
    SERVICES: ServicesFile,
    STANDING: StandingFile,
    FLEET: FleetFile,
}


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that refuses duplicate keys and keys that are not text.

    By default PyYAML keeps the last of duplicate keys without an error.
    """

    def construct_mapping(self, node, deep=False):
        """Return the mapping; raises ConstructorError for a refused key."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise yaml.constructor.ConstructorError(
                    None, None, f'{key} is not text', key_node.start_mark
                )
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f'{key} is named twice', key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def read_declarations(directory: str) -> ticketing.Declarations:
    """Return the declarations of a directory.

    Raises DeclarationError, which names the file, the field and the remedy.
    """
    return convert_files(read_texts(directory))


def read_texts(directory: str) -> dict[str, str]:
    """Return the text of each declaration file by its file name.

    Raises DeclarationError for a missing directory or required file, and for
    a YAML file that cannot be read or has an unknown name.
    """
    folder = pathlib.Path(directory)
    if not folder.is_dir():
        raise errors.DeclarationError(
            f'{directory} is not a directory; name the directory that holds '
            f'{ORGANISATIONS} and {SERVICES}'
        )
    texts = {}
    for path in sorted(folder.iterdir()):
        if path.suffix not in ('.yaml', '.yml'):
            continue
        if path.name not in MODELS:
            raise errors.DeclarationError(
                f'{path}: unknown declaration file; rename it to one of '
                f'{", ".join(MODELS)} or move it away'
            )
        try:
            texts[path.name] = path.read_text(encoding='utf-8')
        except (OSError, UnicodeError) as error:
            raise errors.DeclarationError(
                f'{path}: cannot be read ({error}); save it as UTF-8 text '
                f'that you may read'
            ) from None
    for name in sorted(REQUIRED - set(texts)):
        raise errors.DeclarationError(
            f'{folder / name} is missing; create it, if only with an empty '
            f'list'
        )
    return texts


def convert_files(texts: dict[str, str]) -> ticketing.Declarations:
    """Return the declarations in the given file texts.

    Raises DeclarationError for an invalid file, a duplicate name or key, or a
    key for an undeclared service.
    """
    parsed = {
        name: parse_file(name, text) for name, text in sorted(texts.items())
    }
    entries = parsed[ORGANISATIONS].organisations
    services = parsed[SERVICES].services
    standing = parsed.get(STANDING) or StandingFile(zones={})
    fleet = parsed.get(FLEET) or FleetFile()
    _check_unique(
        ORGANISATIONS, 'organisation', [entry.name for entry in entries]
    )
    _check_unique(SERVICES, 'service', [entry.name for entry in services])
    keys = [(entry, key) for entry in entries for key in entry.caller_keys]
    _check_unique(ORGANISATIONS, 'sha256', [key.sha256 for _, key in keys])
    _check_unique(ORGANISATIONS, 'key name', [key.name for _, key in keys])
    _check_key_services(keys, {entry.name for entry in services})
    return ticketing.Declarations(
        organisations=tuple(
            state.Organisation(
                entry.name, entry.rate, entry.burst, entry.weight
            )
            for entry in entries
        ),
        caller_keys=tuple(
            state.CallerKey(key.sha256, entry.name, tuple(key.services))
            for entry, key in keys
        ),
        services=tuple(_convert_service(entry) for entry in services),
        zones=tuple(standing.zones.items()),
        targets=tuple(standing.targets.items()),
        fleet=state.FleetSettings(fleet.max_nodes, fleet.offline_limit_s),
        key_names=tuple(
            ticketing.KeyName(key.name, key.sha256) for _, key in keys
        ),
    )


def parse_file(name: str, text: str) -> StrictModel:
    """Return the validated model of one file; raises DeclarationError."""
    try:
        # UniqueKeyLoader is a SafeLoader.
        data = yaml.load(text, Loader=UniqueKeyLoader)  # noqa: S506
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        place = f'{name}, line {mark.line + 1}' if mark else name
        problem = getattr(error, 'problem', None) or 'not YAML'
        raise errors.DeclarationError(
            f'{place}: {problem}; correct the YAML there'
        ) from None
    try:
        return MODELS[name].model_validate({} if data is None else data)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        raise errors.DeclarationError(
            f'{name}: {_describe_place(first_error["loc"], data)}: '
            f'{first_error["msg"]}; {_find_remedy(first_error)}'
        ) from None


def _convert_service(entry):
    rules = tuple(
        state.Rule(rule.method, rule.prefix, rule.repeatable)
        for rule in entry.rules
    )
    return state.Service(entry.name, entry.routing, entry.slot_count, rules)


def _describe_place(location, data) -> str:
    place = ''
    for part in location:
        child = None
        if isinstance(data, list) and isinstance(part, int):
            child = data[part] if part < len(data) else None
        elif isinstance(data, dict):
            child = data.get(part)
        data = child
        if isinstance(part, int):
            name = child.get('name') if isinstance(child, dict) else None
            place += f'[{name if isinstance(name, str) else part}]'
        else:
            place += f'.{part}' if place else str(part)
    return place or 'file'


def _find_remedy(first_error) -> str:
    field = first_error['loc'][-1] if first_error['loc'] else ''
    match first_error['type']:
        case 'extra_forbidden' if field in ('key', 'secret', 'token'):
            return (
                'remove the key itself, give its sha256 (see '
                'sesamejunction-ctl hash-key)'
            )
        case 'extra_forbidden':
            return 'remove the field or correct its name'
        case 'missing':
            return 'add the field'
        case 'string_type':
            return 'put the value in quotes'
        case _:
            return 'correct the value (docs/operators/declarations.md)'


def _check_unique(file_name, kind, names):
    seen = set()
    for name in names:
        if name in seen:
            raise errors.DeclarationError(
                f'{file_name}: {kind} {name[:64]} is declared twice; keep '
                f'one of them'
            )
        seen.add(name)


def _check_key_services(keys, services):
    for organisation, key in keys:
        for name in key.services:
            if name not in services:
                raise errors.DeclarationError(
                    f'{ORGANISATIONS}: organisations[{organisation.name}]'
                    f'.caller_keys[{key.name}].services: no service {name}; '
                    f'declare it in {SERVICES} or remove it'
                )
