"""Latency of organisations within their rate while another is above its rate.

The busy organisation sends nothing, its rate and five times its rate in
alternating short slices of one run, so that noise of the machine affects all
three alike. Its calls are sent by a separate process, because they would
otherwise delay the others' measurements.

Run with ``python -m bench.neighbours``.
"""

import argparse
import asyncio
import collections
import dataclasses
import random
import subprocess
import sys

import uvloop

from demo import fleet
from sesamejunction.model import state
from test.process import harness
from test.process import load

LAYOUT = (('catalogue', 3), ('orders', 2))
SERVICES = (
    state.Service('catalogue', state.Routing.KEY, 64),
    state.Service('orders', state.Routing.LOAD, 64),
)
BUSY = 'busy'
OTHERS = ('calm', 'quiet')
BUSY_RATE_PER_S = 40.0
OTHER_RATE_PER_S = 100.0
# Load of the other organisations as a fraction of their rate.
OTHER_LOAD_FRACTION = 0.75
# Load of the busy organisation as a multiple of its rate, slice by slice.
RATE_FACTORS = (0.0, 1.0, 5.0)
SLICE_S = 1.5
# Calls this early in a slice are not counted, since calls of the previous
# slice may still run.
SKIP_S = 0.4
SETTLE_S = 3.0
# Bootstrap resamples for the interval of a ratio.
RESAMPLES = 400
# Stated bound: the others' p99 rises by no more than a tenth.
STATED_RATIO = 1.1


def make_declaration():
    """Return the first ticket with all organisations."""
    first = harness.make_declaration(*SERVICES)
    rates = {BUSY: BUSY_RATE_PER_S, **dict.fromkeys(OTHERS, OTHER_RATE_PER_S)}
    return dataclasses.replace(
        first,
        organisations=first.organisations
        + tuple(
            state.Organisation(name, rate, rate)
            for name, rate in rates.items()
        ),
        caller_keys=first.caller_keys
        + tuple(
            state.CallerKey(harness.make_digest(f'key-{name}'), name)
            for name in rates
        ),
    )


def make_calls(name: str, ports):
    """Return a function that makes the calls of one organisation."""

    def make_call(number):
        headers = [('Authorization', f'Bearer key-{name}')]
        headers.append(('SJ-Key', f'{name}-{number % 50}'))
        return load.Call(
            f'http://{fleet.HOST}:{ports[number % len(ports)]}',
            f'/{SERVICES[number // len(ports) % 2].name}/work/1',
            headers=tuple(headers),
        )

    return make_call


def locate_slice(at: float, started: float) -> tuple[int, float]:
    """Return the number of a time's slice and the seconds since it began."""
    number = int((at - started) // SLICE_S)
    return number, at - started - number * SLICE_S


async def send_busy(ports, started: float, slices: int) -> None:
    """Send the busy organisation's calls in each slice with a load."""
    call_counts = collections.Counter()
    for number in range(slices):
        deadline = started + (number + 1) * SLICE_S
        factor = RATE_FACTORS[number % len(RATE_FACTORS)]
        await asyncio.sleep(
            max(0.0, started + number * SLICE_S - load.read_clock())
        )
        if not factor:
            continue
        busy_load = load.Load(
            BUSY_RATE_PER_S * factor, make_calls(BUSY, ports)
        )
        async with busy_load:
            await asyncio.sleep(max(0.0, deadline - load.read_clock()))
        for result in busy_load.results:
            call_counts[factor, result.status] += 1
    print('busy calls by factor and status:', dict(call_counts))


async def send_others(slices: int):
    """Run the fleet and the others' loads; return results and start time."""
    async with harness.start_fleet(
        LAYOUT, make_declaration(), cold_slots=12
    ) as running:
        ports = [
            str(instance.caller_port)
            for instance in running.instances.values()
        ]
        loads = [
            load.Load(
                OTHER_RATE_PER_S * OTHER_LOAD_FRACTION, make_calls(name, ports)
            )
            for name in OTHERS
        ]
        async with loads[0], loads[1]:
            await asyncio.sleep(SETTLE_S)
            started = load.read_clock() + SETTLE_S
            command = [sys.executable, '-m', 'bench.neighbours']
            command += [f'--busy={started}', f'--slices={slices}']
            command += [f'--ports={",".join(ports)}']
            child = subprocess.Popen(command)
            while load.read_clock() < started + slices * SLICE_S:
                await asyncio.sleep(0.1)
        await asyncio.to_thread(child.wait, 30)
    return loads[0].results + loads[1].results, started


def find_p99(slices) -> float:
    """Return the p99 of the pooled latencies, in ms."""
    pooled = sorted(
        latency_s
        for slice_latencies in slices
        for latency_s in slice_latencies
    )
    return pooled[int(0.99 * (len(pooled) - 1))] * 1000


def report(results, started: float, slices: int) -> None:
    """Print each factor's p99 and its ratio to the p99 at factor 0."""
    latencies_by_slice = collections.defaultdict(list)
    refused = collections.Counter()
    for result in results:
        number, since_s = locate_slice(result.at, started)
        if 0 <= number < slices and since_s >= SKIP_S:
            refused[number % len(RATE_FACTORS)] += not result.answered
            if result.answered:
                latencies_by_slice[number].append(result.latency)
    by_factor = [
        [
            latencies_by_slice[slice_number]
            for slice_number in range(index, slices, len(RATE_FACTORS))
        ]
        for index in range(len(RATE_FACTORS))
    ]
    generator = random.Random(1)  # noqa: S311
    for index, factor in enumerate(RATE_FACTORS):
        ratios = sorted(
            find_p99(
                generator.choices(
                    by_factor[index],
                    k=len(by_factor[index]),
                )
            )
            / find_p99(generator.choices(by_factor[0], k=len(by_factor[0])))
            for _ in range(RESAMPLES)
        )
        low, high = ratios[RESAMPLES // 40], ratios[-RESAMPLES // 40]
        pooled = sorted(
            latency_s
            for latencies in by_factor[index]
            for latency_s in latencies
        )
        print(
            f'busy at {factor:g} x its rate: {len(pooled)} answers of the'
            f' others, {refused[index]} without, p50'
            f' {pooled[len(pooled) // 2] * 1000:.2f} ms, p99'
            f' {find_p99(by_factor[index]):.2f} ms,'
            f' {find_p99(by_factor[index]) / find_p99(by_factor[0]):.2f}'
            f' of the first'
            f' (95% of resamples: {low:.2f} to {high:.2f},'
            f' stated {STATED_RATIO:g})'
        )


def main() -> None:
    """Run the measurement, or the busy organisation's process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--slices', type=int, default=60)
    parser.add_argument('--busy', type=float)
    parser.add_argument('--ports', default='')
    arguments = parser.parse_args()
    if arguments.busy is not None:
        ports = arguments.ports.split(',')
        uvloop.run(send_busy(ports, arguments.busy, arguments.slices))
        return
    results, started = uvloop.run(send_others(arguments.slices))
    report(results, started, arguments.slices)


if __name__ == '__main__':
    main()
