"""Reads and validates traces, bounds and target histories."""

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
    """One line of a trace, with the fields of replaying.Call."""

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
        """Refuse a body or a once flag for GET and HEAD."""
        if self.method in ('GET', 'HEAD') and (self.bytes or self.once):
            raise ValueError('GET and HEAD have no bytes and no once')
        return self


class GoalEntry(declarations.StrictModel):
    """Share of calls, from 0 to 1, that must be answered in time.

    Without ``method`` the goal covers all methods.
    """

    service: declarations.ServiceName
    method: Method | None = None
    within_ms: float = pydantic.Field(gt=0, le=MAX_DEADLINE_MS)
    share: float = pydantic.Field(gt=0, le=1)


class OutcomeEntries(declarations.StrictModel):
    """Highest allowed numbers of faults, None for no limit, and goals."""

    orders_run_twice: int | None = pydantic.Field(default=None, ge=0)
    answers_lost_or_cut: int | None = pydantic.Field(default=None, ge=0)
    answers_crossed: int | None = pydantic.Field(default=None, ge=0)
    goals: list[GoalEntry] = []


class BoundsFile(declarations.StrictModel):
    """Bounds file: outcomes that must hold, and goals to report."""

    outcomes: OutcomeEntries = OutcomeEntries()
    report: list[GoalEntry] = []


class HistoryLine(pydantic.BaseModel):
    """One run as a target logs it; unknown fields are ignored.

    Times are in boot-clock seconds; ``end`` is None for an unfinished run.
    """

    request_id: str = ''
    idempotency_key: str | None = None
    route_key: str | None = None
    organisation: str | None = None
    start: float
    end: float | None = None


def read_trace(path: str) -> tuple[replaying.Call, ...]:
    """Return the calls of a trace, in order of time.

    The file holds JSON lines, compressed with gzip if its name ends in .gz.
    Raises TraceError, which names the line, the field and the remedy.
    """
    calls = []
    for number, text in enumerate(_read_text(path).splitlines(), 1):
        place = f'{path}, line {number}'
        try:
            parsed = TraceLine.model_validate_json(text)
        except pydantic.ValidationError as error:
            raise errors.TraceError(_describe_error(error, place)) from None
        if calls and parsed.at_ms < calls[-1].at_ms:
            raise errors.TraceError(
                f'{place}: at_ms {parsed.at_ms:g} is before the line above; '
                f'sort the lines by at_ms'
            )
        calls.append(_convert_line(parsed))
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
        raise errors.TraceError(_describe_error(error, path)) from None
    required = checked.outcomes
    return replaying.Bounds(
        required.orders_run_twice,
        required.answers_lost_or_cut,
        required.answers_crossed,
        tuple(_convert_goal(goal_entry) for goal_entry in required.goals),
        tuple(_convert_goal(goal_entry) for goal_entry in checked.report),
    )


def check_declared_names(calls, organisations, services) -> None:
    """Raise TraceError for an undeclared organisation or service."""
    for call in calls:
        for kind, name, known in (
            ('organisation', call.organisation, organisations),
            ('service', call.service, services),
        ):
            if name not in known:
                raise errors.TraceError(
                    f'{kind} {name} of the trace is not declared; use the '
                    f'declarations that belong to the trace'
                )


def parse_history(service: str, target: str, text: str) -> replaying.History:
    """Return a target's history from its JSON lines.

    Raises HistoryUnavailable for a line that cannot be decoded.
    """
    runs = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            parsed = HistoryLine.model_validate_json(line)
        except pydantic.ValidationError:
            raise errors.HistoryUnavailable(
                f'history of {target}, line {number}: not a line of a '
                f'history (docs/traces.md); name a target that has one'
            ) from None
        runs.append(
            replaying.Execution(
                service,
                target,
                parsed.request_id,
                parsed.idempotency_key or None,
                parsed.route_key or None,
                parsed.organisation or '',
                parsed.start,
                parsed.end,
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


def _describe_error(error, place) -> str:
    first_error = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(str(part) for part in first_error['loc'])
    name = f'{place}: {field}' if field else place
    return f'{name}: {first_error["msg"]}; {REMEDY}'.replace('\n', ' ')


def _convert_line(parsed) -> replaying.Call:
    return replaying.Call(
        parsed.at_ms,
        parsed.organisation,
        parsed.service,
        parsed.method,
        parsed.path,
        parsed.key,
        parsed.bytes,
        parsed.deadline_ms,
        parsed.once,
    )


def _convert_goal(goal_entry) -> replaying.Goal:
    return replaying.Goal(
        goal_entry.service,
        goal_entry.method,
        goal_entry.within_ms,
        goal_entry.share,
    )


class RefusalBody(pydantic.BaseModel):
    """The part of a refusal that a replay reads."""

    code: str


def read_refusal_code(body: bytes) -> str:
    """Return the code in a refusal's body, ``no-code`` without one."""
    try:
        return RefusalBody.model_validate_json(body).code
    except pydantic.ValidationError:
        return 'no-code'
