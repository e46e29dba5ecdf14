"""Runs functions from the command line and reports errors in one line."""

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

ERROR_EXIT_CODE = 1
INTERRUPT_EXIT_CODE = 130
HELP_FLAGS = frozenset(('--help', '-h'))


def run_command(component, arguments=None) -> None:
    """Run a function, or one of a mapping of functions, with fire.

    The function receives all values as text, unparsed. Unknown flags,
    missing values and superfluous arguments are reported before anything
    runs. An error is reported in one line; the exit code is 2 for a usage
    error, else the error's own code.
    """
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    try:
        _invoke(component, arguments)
    except KeyboardInterrupt:
        exit_with_message('stopped', INTERRUPT_EXIT_CODE)
    except BrokenPipeError:
        raise SystemExit(ERROR_EXIT_CODE) from None
    except Exception as error:
        exit_for_error(error)


def add_settings_flags(model):
    """Return a decorator that adds a settings model's flags to a function.

    The flags arrive as text in the function's ``**flags``.
    """

    def decorate(function):
        signature = inspect.signature(function)
        named_parameters = [
            parameter
            for parameter in signature.parameters.values()
            if parameter.kind is not inspect.Parameter.VAR_KEYWORD
        ]
        flags = settings.list_flags(model)
        named_parameters += [
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=str,
            )
            for name in flags
        ]
        function.__signature__ = signature.replace(parameters=named_parameters)
        flag_lines = ''.join(
            f'    {name}: {text}.\n' for name, text in flags.items()
        )
        text = inspect.cleandoc(function.__doc__)
        heading = '' if '\nArgs:\n' in text else '\nArgs:'
        function.__doc__ = f'{text}\n{heading}\n{flag_lines}'.replace(
            '\n\n    ', '\n    '
        )
        return function

    return decorate


def exit_for_error(error: Exception) -> None:
    """Report an error in one line and exit with its code."""
    cause = find_cause(error)
    match cause:
        case errors.SesameError():
            exit_with_message(str(cause), cause.exit_code)
        case OSError() if not isinstance(cause, TimeoutError):
            exit_with_message(
                f'{cause.strerror or cause}; check that the address and '
                f'ports of the settings belong to this instance and are free',
                ERROR_EXIT_CODE,
            )
        case _:
            logs.log_exception(cause)
            exit_with_message(
                f'{type(cause).__name__}: {cause}; report this fault with '
                f'the log',
                ERROR_EXIT_CODE,
            )


def find_cause(error: BaseException) -> BaseException:
    """Return the error to report; of a group, the first SesameError."""
    if not isinstance(error, BaseExceptionGroup):
        return error
    causes = [find_cause(member_error) for member_error in error.exceptions]
    return next(
        (
            member_error
            for member_error in causes
            if isinstance(member_error, errors.SesameError)
        ),
        causes[0],
    )


def bind_values(function, arguments: list[str]) -> dict[str, str]:
    """Return the values of the arguments by parameter name.

    A flag's value follows ``=`` or is the next argument, unless that looks
    like a flag. Raises UsageError for an unknown or repeated flag, a missing
    value, and a missing or superfluous argument.
    """
    parameters = inspect.signature(function).parameters
    positional = [
        name
        for name, parameter in parameters.items()
        if parameter.kind is inspect.Parameter.POSITIONAL_OR_KEYWORD
    ]
    values = {}
    extra = []
    remaining = collections.deque(arguments)
    while remaining:
        argument = remaining.popleft()
        if not _looks_like_flag(argument):
            extra.append(argument)
            continue
        flag, equals, value = argument.partition('=')
        name = _find_parameter(parameters, flag)
        if not equals:
            if not remaining or _looks_like_flag(remaining[0]):
                raise errors.UsageError(
                    f'{flag} needs a value; write {flag}=VALUE'
                )
            value = remaining.popleft()
        if name in values:
            raise errors.UsageError(f'{flag} is given twice; keep one')
        values[name] = value
    return _fill_positionals(parameters, positional, values, extra)


def _invoke(component, arguments) -> None:
    command_path = []
    function = component
    wants_help = _wants_help(arguments)
    if isinstance(component, collections.abc.Mapping):
        if arguments and not _looks_like_flag(arguments[0]):
            command_path = [arguments.pop(0)]
            function = component.get(command_path[0])
            if function is None:
                raise errors.UsageError(
                    f'unknown command {command_path[0]}; commands are '
                    f'{", ".join(component)}'
                )
        elif not wants_help:
            raise errors.UsageError(
                f'name a command: {", ".join(component)}; see --help'
            )
    if wants_help:
        print_help(component, command_path)
        return
    values = bind_values(function, arguments)
    flag_arguments = [f'--{name}={value}' for name, value in values.items()]
    call = parse_call(function, flag_arguments)
    function(*call.args, **call.kwargs)


def print_help(component, command_path) -> None:
    """Print fire's help page for one command or for all commands."""
    captured = io.StringIO()
    with contextlib.suppress(core.FireExit):
        with contextlib.redirect_stderr(captured):
            fire.Fire(component, command=[*command_path, '--', '--help'])
    # One-letter flags are not accepted; flags are written with hyphens.
    text = re.sub(r'-[a-z], --', '--', captured.getvalue())
    text = re.sub(
        r'^( +--)(\w+)=',
        lambda flag_match: (
            flag_match[1] + flag_match[2].replace('_', '-') + '='
        ),
        text,
        flags=re.MULTILINE,
    )
    print(text.rstrip())


def parse_call(function, flag_arguments) -> inspect.BoundArguments:
    """Return the call that fire derives from the flags, with values as text.

    The call is only recorded, so that the function does not run while fire's
    messages are captured. Raises UsageError if fire rejects the flags.
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
            fire.Fire(record, command=flag_arguments)
    except core.FireExit:
        raise errors.UsageError(summarise_usage(captured.getvalue())) from None
    return calls[0]


def _wants_help(arguments) -> bool:
    return any(
        argument in HELP_FLAGS
        for preceding, argument in zip(
            ['', *arguments], arguments, strict=False
        )
        if not _looks_like_flag(preceding) or '=' in preceding
    )


def _looks_like_flag(text: str) -> bool:
    return bool(re.match(r'--|-[A-Za-z]|-$', text))


def _find_parameter(parameters, flag) -> str:
    name = flag.removeprefix('--').replace('-', '_')
    kinds = {candidate.kind for candidate in parameters.values()}
    if flag.startswith('--') and (
        name in parameters
        or (inspect.Parameter.VAR_KEYWORD in kinds and name.isidentifier())
    ):
        return name
    known = ', '.join(
        f'--{candidate.replace("_", "-")}' for candidate in parameters
    )
    raise errors.UsageError(f'unknown flag {flag}; flags are {known}')


def _fill_positionals(parameters, positional, values, extra) -> dict[str, str]:
    unfilled = [name for name in positional if name not in values]
    if len(extra) > len(unfilled):
        raise errors.UsageError(
            f'spare argument {extra[len(unfilled)]!r}; quote values that hold '
            f'spaces and see --help'
        )
    values.update(zip(unfilled, extra, strict=False))
    for name in positional:
        required = parameters[name].default is inspect.Parameter.empty
        if required and name not in values:
            raise errors.UsageError(f'{name.upper()} is missing; see --help')
    return values


def summarise_usage(text: str) -> str:
    """Return the first error line of fire's output, with a hint."""
    plain = re.sub(r'\x1b\[[0-9;]*m', '', text)
    error_line = next(
        (
            output_line
            for output_line in plain.splitlines()
            if output_line.startswith('ERROR:')
        ),
        'ERROR: bad command line',
    )
    return f'{error_line.removeprefix("ERROR: ")}; see --help'


def exit_with_message(line: str, code: int) -> None:
    """Print one line to standard error and exit."""
    print(f'error: {" ".join(line.split())}', file=sys.stderr)
    raise SystemExit(code)
