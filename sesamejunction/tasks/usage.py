"""Measures event loop lag, CPU use, waits and traffic between nodes."""

import asyncio
import collections
import dataclasses
import itertools
import resource
import time

from sesamejunction.border import logs
from sesamejunction.model import valueclass

# Interval of measurements; the lag is the delay of the wake-up.
INTERVAL_S = 0.1
# Number of intervals summarised: the last second.
WINDOW_INTERVALS = 10
# A lag above this is logged. It noticeably delays pings, which are sent after
# 0.4 s of silence.
LOGGED_LAG_S = 0.1
# A task with more ticks in a second is logged. Timers have whole milliseconds,
# so a task that waits before each tick has at most 1000.
LOGGED_TICKS = 500


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes sent and received between nodes since the start."""

    sent: int = 0
    received: int = 0


@valueclass.define
class Sample:
    """The loop lag of one interval, and totals at its end.

    Times are in seconds; ``busy_s`` is the CPU time of the process and
    ``waits`` how often it gave the processor up to wait for something.
    """

    at: float
    late_s: float
    busy_s: float
    waits: int
    sent: int
    received: int


class ProcessUsage:
    """Measures its own process; other code calls ``describe`` directly.

    ``list_tasks`` returns the actors whose work is measured.
    """

    def __init__(self, traffic: Traffic, metrics, list_tasks=tuple):
        self.traffic = traffic
        self._list_tasks = list_tasks
        self._metrics = metrics
        self._lines = logs.ThrottledLogger()
        self._samples = collections.deque(maxlen=WINDOW_INTERVALS + 1)

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        self._add_sample(loop.time(), 0.0)
        for number in itertools.count(1):
            due = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            now = loop.time()
            if number % WINDOW_INTERVALS == 0:
                self._measure_tasks()
            late_s = max(0.0, now - due)
            self._add_sample(now, late_s)
            self._metrics.observe('loop_late_seconds', late_s)
            if late_s >= LOGGED_LAG_S:
                self._lines.log_message('node: loop late', **self.describe())

    def describe(self) -> dict:
        """Return loop lag, CPU use and traffic of the last second for logs."""
        if not self._samples:
            return {}
        first, last = self._samples[0], self._samples[-1]
        span_s = max(INTERVAL_S, last.at - first.at)
        return {
            'loop_late_s': round(
                max(sample.late_s for sample in self._samples), 3
            ),
            'busy_share': round((last.busy_s - first.busy_s) / span_s, 3),
            'waits_s': round((last.waits - first.waits) / span_s),
            'sent_kb_s': round((last.sent - first.sent) / span_s / 1000),
            'received_kb_s': round(
                (last.received - first.received) / span_s / 1000
            ),
        }

    def _measure_tasks(self) -> None:
        """Record what each task has done in the last second."""
        for task in self._list_tasks():
            done, labels = task.take_activity(), {'task': task.name}
            if not (done.ticks or done.messages):
                continue
            self._metrics.task_ticks.add(labels, done.ticks)
            self._metrics.task_messages.add(labels, done.messages)
            self._metrics.observe(
                'task_longest_seconds', done.longest_s, **labels
            )
            if done.ticks >= LOGGED_TICKS:
                self._lines.log_message(
                    'node: task does not wait',
                    **labels,
                    ticks=done.ticks,
                    messages=done.messages,
                    longest=done.longest,
                    longest_s=round(done.longest_s, 4),
                    **self.describe(),
                )

    def _add_sample(self, now, late_s) -> None:
        self._samples.append(
            Sample(
                now,
                late_s,
                time.process_time(),
                resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw,
                self.traffic.sent,
                self.traffic.received,
            )
        )
