"""Reads and checks traces, bounds, caller keys and target histories."""

import gzip
import pathlib
import typing
import zlib

import pydantic
import yaml

from sesamejunction.border import declarations
from sesamejunction import errors
from sesamejunction.model import replaying

REMEDY = 'correct it as docs/traces.md says'
MAX_DEADLINE_MS = 600_000
MAX_BYTES = 1 << 30

Method = typing.Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
Millis = typing.Annotated[
    float, pydantic.Field(strict=True, ge=0, le=1e9, allow_inf_nan=False)
]


class TraceLine(declarations.StrictModel):
    """One line of a trace; the fields of replaying.Call."""

    at_ms: Millis
    organisation: declarations.Name
    service: declarations.ServiceName
    method: Method
    path: str = pydantic.Field(strict=True, pattern=r'^/[!-~]*$')
    key: str | None = pydantic.Field(
        default=None, strict=True, pattern=r'^[!-~]{1,256}$'
    )
    bytes: int = pydantic.Field(default=0, strict=True, ge=0, le=MAX_BYTES)
    deadline_ms: int = pydantic.Field(strict=True, ge=1, le=MAX_DEADLINE_MS)
    once: bool = pydantic.Field(default=False, strict=True)

    @pydantic.model_validator(mode='after')
    def check_body(self):
        """Refuse a body where HTTP has none, and a repeated GET as once."""
        if self.method in ('GET', 'HEAD') and (self.bytes or self.once):
            raise ValueError('GET and HEAD have no bytes and no once')
        return self


class GoalEntry(declarations.StrictModel):
    """A share of calls to be answered within a time."""

    service: declarations.ServiceName
    method: Method | None = None
    within_ms: float = pydantic.Field(gt=0, le=MAX_DEADLINE_MS)
    share: float = pydantic.Field(gt=0, le=1)


class OutcomeEntries(declarations.StrictModel):
    """Outcomes that must hold."""

    orders_run_twice: int | None = pydantic.Field(default=None, ge=0)
    answers_lost_or_cut: int | None = pydantic.Field(default=None, ge=0)
    answers_crossed: int | None = pydantic.Field(default=None, ge=0)
    goals: list[GoalEntry] = []


class BoundsFile(declarations.StrictModel):
    """Bounds file: outcomes that must hold, and goals to report."""

    outcomes: OutcomeEntries = OutcomeEntries()
    report: list[GoalEntry] = []


class HistoryLine(pydantic.BaseModel):
    """One run as a target writes it; more fields are left out."""

    request_id: str = ''
    idempotency_key: str | None = None
    route_key: str | None = None
    organisation: str | None = None
    start: float
    end: float | None = None


def read_trace(path: str) -> tuple[replaying.Call, ...]:
    """Return the calls of a trace, in order of time.

    Takes JSON lines, compressed where the name ends in .gz. Raises
    TraceError, which names the line, the field and the remedy.
    """
    calls = []
    for number, text in enumerate(_read_text(path).splitlines(), 1):
        place = f'{path}, line {number}'
        try:
            one = TraceLine.model_validate_json(text)
        except pydantic.ValidationError as error:
            raise errors.TraceError(_describe(error, place)) from None
        if calls and one.at_ms < calls[-1].at_ms:
            raise errors.TraceError(
                f'{place}: at_ms {one.at_ms:g} is before the line above; '
                f'sort the lines by at_ms'
            )
        calls.append(_convert_line(one))
    if not calls:
        raise errors.TraceError(f'{path}: no calls; {REMEDY}')
    return tuple(calls)


def read_bounds(path: str) -> replaying.Bounds:
    """Return the bounds of a YAML file; raises TraceError."""
    try:
        # UniqueKeyLoader is a SafeLoader.
        data = yaml.load(  # noqa: S506
            _read_text(path), Loader=declarations.UniqueKeyLoader
        )
    except yaml.YAMLError as error:
        problem = getattr(error, 'problem', None) or 'not YAML'
        raise errors.TraceError(f'{path}: {problem}; {REMEDY}') from None
    try:
        checked = BoundsFile.model_validate({} if data is None else data)
    except pydantic.ValidationError as error:
        raise errors.TraceError(_describe(error, path)) from None
    wanted = checked.outcomes
    return replaying.Bounds(
        wanted.orders_run_twice,
        wanted.answers_lost_or_cut,
        wanted.answers_crossed,
        tuple(_convert_goal(one) for one in wanted.goals),
        tuple(_convert_goal(one) for one in checked.report),
    )


def check_declared_names(calls, organisations, services) -> None:
    """Raise TraceError for an organisation or service not declared."""
    for one in calls:
        for kind, name, known in (
            ('organisation', one.organisation, organisations),
            ('service', one.service, services),
        ):
            if name not in known:
                raise errors.TraceError(
                    f'{kind} {name} of the trace is not declared; use the '
                    f'declarations that belong to the trace'
                )


def parse_history(service: str, target: str, text: str) -> replaying.History:
    """Return a target's history from its JSON lines.

    Raises TargetUnavailable for a line that is not one of a history.
    """
    runs = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            one = HistoryLine.model_validate_json(line)
        except pydantic.ValidationError:
            raise errors.HistoryUnavailable(
                f'history of {target}, line {number}: not a line of a '
                f'history (docs/traces.md); name a target that has one'
            ) from None
        runs.append(
            replaying.Execution(
                service,
                target,
                one.request_id,
                one.idempotency_key or None,
                one.route_key or None,
                one.organisation or '',
                one.start,
                one.end,
            )
        )
    return replaying.History(service, target, tuple(runs))


def _read_text(path: str) -> str:
    try:
        data = pathlib.Path(path).read_bytes()
        if str(path).endswith('.gz'):
            data = gzip.decompress(data)
        return data.decode()
    except (OSError, EOFError, UnicodeError, zlib.error) as error:
        reason = getattr(error, 'strerror', None) or error
        raise errors.TraceError(
            f'{path}: cannot be read ({reason}); name a file that you may read'
        ) from None


def _describe(error, place) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(str(part) for part in first['loc'])
    name = f'{place}: {field}' if field else place
    return f'{name}: {first["msg"]}; {REMEDY}'.replace('\n', ' ')


def _convert_line(one) -> replaying.Call:
    return replaying.Call(
        one.at_ms,
        one.organisation,
        one.service,
        one.method,
        one.path,
        one.key,
        one.bytes,
        one.deadline_ms,
        one.once,
    )


def _convert_goal(one) -> replaying.Goal:
    return replaying.Goal(one.service, one.method, one.within_ms, one.share)


class RefusalBody(pydantic.BaseModel):
    """The part of a refusal that a replay reads."""

    code: str


def find_code(body: bytes) -> str:
    """Return the code of a refusal's body, or no-code without one."""
    try:
        return RefusalBody.model_validate_json(body).code
    except pydantic.ValidationError:
        return 'no-code'
