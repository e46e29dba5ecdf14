"""Turns failures of the command line into one line and an exit code."""

import collections.abc
import contextlib
import inspect
import io
import re
import sys

import fire
from fire import core
from fire import decorators

from sesamejunction.border import logs
from sesamejunction.border import settings
from sesamejunction import errors

FAULT_EXIT = 1
INTERRUPT_EXIT = 130
HELP_FLAGS = frozenset(('--help', '-h'))


def run_command(component, arguments=None) -> None:
    """Run a function, or one of a mapping of functions, with fire.

    All values arrive as the text that was typed. Unknown flags, missing
    values and spare arguments are found before anything runs. Exits with 2
    and one line for a usage error, with the error's own code for others.
    """
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    try:
        _run(component, arguments)
    except KeyboardInterrupt:
        exit_with_message('stopped', INTERRUPT_EXIT)
    except BrokenPipeError:
        raise SystemExit(FAULT_EXIT) from None
    except Exception as error:
        exit_for_error(error)


def add_settings_flags(model):
    """Return a decorator that adds a settings model's flags to a function.

    The flags arrive as text in the function's ``**flags``.
    """

    def decorate(function):
        signature = inspect.signature(function)
        named = [
            one
            for one in signature.parameters.values()
            if one.kind is not inspect.Parameter.VAR_KEYWORD
        ]
        flags = settings.list_flags(model)
        named += [
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=str,
            )
            for name in flags
        ]
        function.__signature__ = signature.replace(parameters=named)
        described = ''.join(
            f'    {name}: {text}.\n' for name, text in flags.items()
        )
        text = inspect.cleandoc(function.__doc__)
        heading = '' if '\nArgs:\n' in text else '\nArgs:'
        function.__doc__ = f'{text}\n{heading}\n{described}'.replace(
            '\n\n    ', '\n    '
        )
        return function

    return decorate


def exit_for_error(error: Exception) -> None:
    """Print the one line that belongs to an error and exit."""
    cause = find_cause(error)
    match cause:
        case errors.SesameError():
            exit_with_message(str(cause), cause.exit_code)
        case OSError() if not isinstance(cause, TimeoutError):
            exit_with_message(
                f'{cause.strerror or cause}; check that the address and '
                f'ports of the settings belong to this instance and are free',
                FAULT_EXIT,
            )
        case _:
            logs.log_exception(cause)
            exit_with_message(
                f'{type(cause).__name__}: {cause}; report this fault with '
                f'the log',
                FAULT_EXIT,
            )


def find_cause(error: BaseException) -> BaseException:
    """Return the error to show: in a group the first of our own errors."""
    if not isinstance(error, BaseExceptionGroup):
        return error
    causes = [find_cause(one) for one in error.exceptions]
    return next(
        (one for one in causes if isinstance(one, errors.SesameError)),
        causes[0],
    )


def bind_values(function, arguments: list[str]) -> dict[str, str]:
    """Return each value by its parameter's name.

    Raises UsageError for an unknown or repeated flag, a missing value, a
    spare or a missing argument. A value may stand after ``=`` or be the
    next argument, if that does not look like a flag.
    """
    parameters = inspect.signature(function).parameters
    positional = [
        name
        for name, one in parameters.items()
        if one.kind is inspect.Parameter.POSITIONAL_OR_KEYWORD
    ]
    values = {}
    spare = []
    rest = collections.deque(arguments)
    while rest:
        one = rest.popleft()
        if not _looks_like_flag(one):
            spare.append(one)
            continue
        flag, equals, value = one.partition('=')
        name = _find_parameter(parameters, flag)
        if not equals:
            if not rest or _looks_like_flag(rest[0]):
                raise errors.UsageError(
                    f'{flag} needs a value; write {flag}=VALUE'
                )
            value = rest.popleft()
        if name in values:
            raise errors.UsageError(f'{flag} is given twice; keep one')
        values[name] = value
    return _place(parameters, positional, values, spare)


def _run(component, arguments) -> None:
    path = []
    function = component
    wants_help = _wants_help(arguments)
    if isinstance(component, collections.abc.Mapping):
        if arguments and not _looks_like_flag(arguments[0]):
            path = [arguments.pop(0)]
            function = component.get(path[0])
            if function is None:
                raise errors.UsageError(
                    f'unknown command {path[0]}; commands are '
                    f'{", ".join(component)}'
                )
        elif not wants_help:
            raise errors.UsageError(
                f'name a command: {", ".join(component)}; see --help'
            )
    if wants_help:
        fire_help(component, path)
        return
    values = bind_values(function, arguments)
    given = [f'--{name}={value}' for name, value in values.items()]
    call = parse_call(function, given)
    function(*call.args, **call.kwargs)


def fire_help(component, path) -> None:
    """Print fire's help page of a function or of all commands."""
    captured = io.StringIO()
    with contextlib.suppress(core.FireExit):
        with contextlib.redirect_stderr(captured):
            fire.Fire(component, command=[*path, '--', '--help'])
    # One-letter flags are not taken, and flags are written with hyphens.
    text = re.sub(r'-[a-z], --', '--', captured.getvalue())
    text = re.sub(
        r'^( +--)(\w+)=',
        lambda found: found[1] + found[2].replace('_', '-') + '=',
        text,
        flags=re.MULTILINE,
    )
    print(text.rstrip())


def parse_call(function, given) -> inspect.BoundArguments:
    """Return the call that fire makes of the flags, each value as text.

    Fire only records the call, so that nothing runs while its own messages
    are held back. Raises UsageError for a call that fire cannot make.
    """
    signature = inspect.signature(function)
    calls = []

    def record(*arguments, **flags):
        calls.append(signature.bind(*arguments, **flags))

    record.__signature__ = signature
    decorators.SetParseFn(str)(record)
    captured = io.StringIO()
    try:
        with contextlib.redirect_stderr(captured):
            fire.Fire(record, command=given)
    except core.FireExit:
        raise errors.UsageError(summarise_usage(captured.getvalue())) from None
    return calls[0]


def _wants_help(arguments) -> bool:
    return any(
        one in HELP_FLAGS
        for before, one in zip(['', *arguments], arguments, strict=False)
        if not _looks_like_flag(before) or '=' in before
    )


def _looks_like_flag(text: str) -> bool:
    return bool(re.match(r'--|-[A-Za-z]|-$', text))


def _find_parameter(parameters, flag) -> str:
    name = flag.removeprefix('--').replace('-', '_')
    kinds = {one.kind for one in parameters.values()}
    if flag.startswith('--') and (
        name in parameters
        or (inspect.Parameter.VAR_KEYWORD in kinds and name.isidentifier())
    ):
        return name
    known = ', '.join(f'--{one.replace("_", "-")}' for one in parameters)
    raise errors.UsageError(f'unknown flag {flag}; flags are {known}')


def _place(parameters, positional, values, spare) -> dict[str, str]:
    free = [name for name in positional if name not in values]
    if len(spare) > len(free):
        raise errors.UsageError(
            f'spare argument {spare[len(free)]!r}; quote values that hold '
            f'spaces and see --help'
        )
    values.update(zip(free, spare, strict=False))
    for name in positional:
        required = parameters[name].default is inspect.Parameter.empty
        if required and name not in values:
            raise errors.UsageError(f'{name.upper()} is missing; see --help')
    return values


def summarise_usage(text: str) -> str:
    """Return fire's first error line with the remedy."""
    plain = re.sub(r'\x1b\[[0-9;]*m', '', text)
    first = next(
        (one for one in plain.splitlines() if one.startswith('ERROR:')),
        'ERROR: bad command line',
    )
    return f'{first.removeprefix("ERROR: ")}; see --help'


def exit_with_message(line: str, code: int) -> None:
    """Print one line to standard error and exit."""
    print(f'error: {" ".join(line.split())}', file=sys.stderr)
    raise SystemExit(code)
