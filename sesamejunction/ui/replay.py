"""Replays a trace, checks the stated outcomes and prints the measures."""

import asyncio
import contextlib
import os
import sys
import time

import msgspec
import uvloop

from sesamejunction.border import declarations
from sesamejunction.border import replayhttp
from sesamejunction.border import settings
from sesamejunction.border import traces
from sesamejunction.commands import replays as commands
from sesamejunction import errors
from sesamejunction.model import replaying
from sesamejunction.queries import replayreport
from sesamejunction.queries import replays as queries
from sesamejunction.ui import invocation


@invocation.add_settings_flags(settings.ReplaySettings)
def replay(trace, **flags):
    """Replay a trace through nodes and print the measures.

    Args:
        trace: File of JSON lines (docs/traces.md).
    """
    replay_settings = settings.read_settings(settings.ReplaySettings, flags)
    keys = replay_settings.read_caller_keys()
    calls = traces.read_trace(trace)
    bounds = replaying.Bounds()
    if replay_settings.bounds is not None:
        bounds = traces.read_bounds(str(replay_settings.bounds))
    rates = read_rates(replay_settings, calls)
    for name in sorted({call.organisation for call in calls} - set(keys)):
        raise errors.SettingsError(
            f'no caller key of organisation {name}; add it to the keys'
        )
    results, histories = uvloop.run(run_replay(replay_settings, keys, calls))
    measures = queries.measure_replay(results, histories, rates, bounds)
    print_measures(measures, replay_settings.output)
    if queries.has_failed(measures):
        raise errors.OutcomeMissed(
            'a stated outcome does not hold or was not measured; see the '
            'verdicts'
        )


def read_rates(replay_settings, calls) -> tuple[replaying.Rate, ...]:
    """Return the declared rates; checks that the trace's names exist."""
    if replay_settings.declarations is None:
        return ()
    declared = declarations.read_declarations(
        str(replay_settings.declarations)
    )
    traces.check_declared_names(
        calls,
        {entry.name for entry in declared.organisations},
        {entry.name for entry in declared.services},
    )
    return tuple(
        replaying.Rate(entry.name, entry.rate, entry.burst)
        for entry in declared.organisations
    )


async def run_replay(replay_settings, keys, calls):
    """Replay calls; return the results and the targets' histories."""
    async with contextlib.AsyncExitStack() as stack:
        sender = await stack.enter_async_context(
            replayhttp.CallSender(keys, replay_settings.grace_s)
        )
        ports = commands.Ports(
            sender,
            time.monotonic,
            asyncio.sleep,
            replayhttp.make_idempotency_key,
            show_progress,
        )
        addresses = commands.NodeSelector(
            replay_settings.list_nodes(), replay_settings.addressing == 'owner'
        )
        results = await commands.Replay(ports, addresses).run(calls)
        histories = [
            await sender.read_history(service, url)
            for service, url in replay_settings.list_histories()
        ]
        return results, tuple(histories)


def show_progress(progress: replaying.Progress) -> None:
    """Write one line of progress to standard error."""
    print(replayreport.format_progress(progress), file=sys.stderr, flush=True)


def print_measures(measures: replaying.Measures, output: str) -> None:
    """Print the measures as tables or as one JSON object."""
    if output == 'json':
        print(msgspec.json.encode(measures).decode())
        return
    for line in replayreport.format_measures(measures):
        print(line)


def main() -> None:
    """Run the command line."""
    os.environ['UV_USE_IO_URING'] = '0'
    invocation.run_command(replay)


if __name__ == '__main__':
    main()
