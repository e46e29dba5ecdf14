"""Generates the committed traces with the mix of docs/design.md 1.3.

Run `python -m demo.traces` after a change; a test compares the result.
"""

import dataclasses
import gzip
import json
import pathlib
import random

TRACE_DIRECTORY = pathlib.Path(__file__).parent / 'traces'
SEED = 20261204
LENGTH_S = 20.0
# Requests per second of the whole trace; low, as one machine runs the demo.
BASE_RATE = 80.0
# Most lookups go to a few keys. After HOT_KEYS_MOVE_S others take their place.
ZIPF_EXPONENT = 1.1
KEY_COUNT = 2000
HOT_KEYS_MOVE_S = 10.0
BURST_START_S = 6.0
BURST_LENGTH_S = 3.0
BURST_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """A kind of call.

    ``share`` is its relative frequency, ``sizes`` the smallest and largest
    body in bytes. ``path`` may contain {key} and {number}.
    """

    share: float
    service: str
    method: str
    path: str
    deadline_ms: int
    keyed: bool = False
    once: bool = False
    sizes: tuple[int, int] = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """An organisation that sends calls; no ``services`` means all.

    ``rate`` is its declared rate in requests per second.
    """

    name: str
    rate: float
    services: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """A deployment's calls.

    ``over_rate_sender`` sends BURST_FACTOR x its rate during the burst.
    """

    key_prefix: str
    kinds: tuple[CallKind, ...]
    senders: tuple[Sender, ...]
    over_rate_sender: str


# Names and rates are those of demo/declarations.
WORKLOADS = {
    'colatec': Workload(
        'lot',
        (
            CallKind(55, 'catalogue', 'GET', '/stock/{key}', 500, keyed=True),
            CallKind(17, 'catalogue', 'GET', '/price/{key}', 500, keyed=True),
            CallKind(
                14,
                'orders',
                'POST',
                '/orders',
                2000,
                once=True,
                sizes=(300, 2000),
            ),
            CallKind(
                4,
                'sheets',
                'PUT',
                '/sheets/{number}',
                5000,
                sizes=(20_000, 200_000),
            ),
            CallKind(10, 'sheets', 'GET', '/cure/{key}', 1000),
        ),
        (
            Sender('embalagens-nordeste', 400),
            Sender('caixas-capibaribe', 250),
            Sender('moveis-caruaru', 200),
            Sender('papel-olinda', 60),
            Sender('calcados-campina', 40),
            Sender('livros-recife', 30, ('catalogue', 'sheets')),
            Sender('etiquetas-jaboatao', 20),
            Sender('laboratorio-cura', 10, ('sheets',)),
        ),
        'etiquetas-jaboatao',
    ),
    'sangham': Workload(
        'family',
        (
            CallKind(68, 'enquiry', 'GET', '/bookings/{key}', 500, keyed=True),
            CallKind(
                20,
                'register',
                'POST',
                '/tolls',
                2000,
                once=True,
                sizes=(200, 1500),
            ),
            CallKind(
                4,
                'archive',
                'POST',
                '/recordings/{number}',
                10_000,
                once=True,
                sizes=(100_000, 400_000),
            ),
            CallKind(8, 'archive', 'GET', '/recordings/{number}', 2000),
        ),
        (
            Sender('malabar-sangham', 300),
            Sender('thrissur-devaswom', 200),
            Sender('guruvayur-office', 200),
            Sender('palakkad-ringers', 50),
            Sender('kozhikode-ringers', 40),
            Sender('kannur-ringers', 30),
            Sender('family-desk', 40, ('enquiry', 'register')),
            Sender('sound-archive', 10, ('archive',)),
        ),
        'kannur-ringers',
    ),
}


def build_trace(workload: Workload) -> list[dict]:
    """Return the lines of a workload's trace, sorted by time."""
    generator = random.Random(SEED)  # noqa: S311
    total_rate = sum(organisation.rate for organisation in workload.senders)
    keys = Keys(workload.key_prefix, generator)
    lines = []
    for sender in workload.senders:
        rate = BASE_RATE * sender.rate / total_rate
        for at_s in draw_times(generator, rate, 0.0, LENGTH_S):
            lines.append(build_line(workload, sender, at_s, keys, generator))
        if sender.name == workload.over_rate_sender:
            rate = sender.rate * BURST_FACTOR
            burst_end_s = BURST_START_S + BURST_LENGTH_S
            for at_s in draw_times(
                generator, rate, BURST_START_S, burst_end_s
            ):
                lines.append(
                    build_line(workload, sender, at_s, keys, generator)
                )
    return sorted(lines, key=lambda trace_line: trace_line['at_ms'])


def draw_times(generator, rate, start_s, end_s):
    """Yield Poisson arrival times, in seconds."""
    at_s = start_s + generator.expovariate(rate)
    while at_s < end_s:
        yield at_s
        at_s += generator.expovariate(rate)


class Keys:
    """Draws routing keys from a Zipf distribution."""

    def __init__(self, prefix, generator):
        self._prefix = prefix
        self._generator = generator
        self._weights = [
            1 / rank**ZIPF_EXPONENT for rank in range(1, KEY_COUNT + 1)
        ]

    def draw(self, at_s: float) -> str:
        """Return a key; after HOT_KEYS_MOVE_S other keys are frequent."""
        rank = self._generator.choices(range(KEY_COUNT), self._weights)[0]
        if at_s >= HOT_KEYS_MOVE_S:
            rank = (rank + KEY_COUNT // 2) % KEY_COUNT
        return f'{self._prefix}-{rank}'


def build_line(workload, sender, at_s, keys, generator) -> dict:
    """Return one line of a trace."""
    kinds = [
        candidate
        for candidate in workload.kinds
        if not sender.services or candidate.service in sender.services
    ]
    kind = generator.choices(kinds, [item.share for item in kinds])[0]
    key = keys.draw(at_s)
    line = {
        'at_ms': round(at_s * 1000, 1),
        'organisation': sender.name,
        'service': kind.service,
        'method': kind.method,
        'path': kind.path.format(key=key, number=generator.randrange(1000)),
        'key': key if kind.keyed else None,
        'bytes': generator.randint(*kind.sizes),
        'deadline_ms': kind.deadline_ms,
        'once': kind.once,
    }
    return line


def format_trace(lines) -> str:
    """Return a trace as JSON lines."""
    return ''.join(json.dumps(trace_line) + '\n' for trace_line in lines)


def main() -> None:
    """Write all traces."""
    for name, workload in WORKLOADS.items():
        text = format_trace(build_trace(workload))
        # A fixed modification time makes the file reproducible.
        data = gzip.compress(text.encode(), mtime=0)
        (TRACE_DIRECTORY / f'{name}.jsonl.gz').write_bytes(data)


if __name__ == '__main__':
    main()
