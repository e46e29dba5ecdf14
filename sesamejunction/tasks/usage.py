"""Task that measures how late the loop is and what the line carries."""

import asyncio
import collections
import dataclasses
import time

from sesamejunction.border import logs

# Pause between two measurements; a later wake-up is the loop's lateness.
PERIOD_S = 0.1
# Lateness, bytes and processor time are told of the last second.
WINDOW = 10
# A loop that is this late delays signs of life noticeably: they are asked for
# every 0.4 s.
LATE_S = 0.1


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes on the connections and sockets between nodes since the start."""

    sent: int = 0
    received: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What one period showed; times are in seconds."""

    at: float
    late_s: float
    busy_s: float
    sent: int
    received: int


class ProcessUsage:
    """Measures the process that it runs in; others read it directly."""

    def __init__(self, traffic: Traffic, metrics):
        self.traffic = traffic
        self._metrics = metrics
        self._lines = logs.ThrottledLogger()
        self._samples = collections.deque(maxlen=WINDOW + 1)

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        self._note(loop.time(), 0.0)
        while True:
            due = loop.time() + PERIOD_S
            await asyncio.sleep(PERIOD_S)
            now = loop.time()
            late_s = max(0.0, now - due)
            self._note(now, late_s)
            self._metrics.observe('loop_late_seconds', late_s)
            if late_s >= LATE_S:
                self._lines.log_message('node: loop late', **self.describe())

    def describe(self) -> dict:
        """Return the last second's lateness, load and traffic, for a line."""
        if not self._samples:
            return {}
        first, last = self._samples[0], self._samples[-1]
        span_s = max(PERIOD_S, last.at - first.at)
        return {
            'loop_late_s': round(max(one.late_s for one in self._samples), 3),
            'busy_share': round((last.busy_s - first.busy_s) / span_s, 3),
            'sent_kb_s': round((last.sent - first.sent) / span_s / 1000),
            'received_kb_s': round(
                (last.received - first.received) / span_s / 1000
            ),
        }

    def _note(self, now, late_s) -> None:
        self._samples.append(
            Sample(
                now,
                late_s,
                time.process_time(),
                self.traffic.sent,
                self.traffic.received,
            )
        )
