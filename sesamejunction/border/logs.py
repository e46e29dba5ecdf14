"""Configures eliot to log each message as a JSON line on stdout."""

import collections
import dataclasses
import os
import sys
import time

import eliot

# Every message type starts with one of these.
PREFIXES = (
    'node:',
    'journal:',
    'lease:',
    'owner:',
    'plan:',
    'share:',
    'gate:',
    'caller:',
    'peer:',
    'operator:',
)
# Lines of one message type written per second. Further lines are only counted,
# and the next second logs their number.
MAX_LINES_PER_SECOND = 20


def start_logging(name: str, stream=None) -> None:
    """Write messages to a stream, by default to standard output.

    Messages from before this call are buffered by eliot and written as well.
    """
    eliot.add_global_fields(node=name)
    eliot.to_file(stream or sys.stdout, json_default=encode_value)


def log_exception(error: BaseException) -> None:
    """Log an unexpected error with its traceback."""
    eliot.write_traceback(exc_info=(type(error), error, error.__traceback__))


def encode_value(value):
    """Return a JSON value for a data class or enum, text for others."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
        }
    return getattr(value, 'value', None) or str(value)


class ThrottledLogger:
    """Logger that limits the lines per second of each message type."""

    def __init__(
        self, limit: int = MAX_LINES_PER_SECOND, clock=time.monotonic
    ):
        self._limit = limit
        self._clock = clock
        self._write = eliot.log_message
        self._second = None
        self._line_counts = collections.Counter()

    def log_message(self, message_type: str, **fields) -> None:
        """Write a line; above the limit only count it."""
        if self._allow(message_type):
            self._write(message_type, **fields)

    def _allow(self, message_type: str) -> bool:
        second = int(self._clock())
        if second != self._second:
            dropped = {
                kind: count - self._limit
                for kind, count in self._line_counts.items()
                if count > self._limit
            }
            self._second = second
            self._line_counts.clear()
            if dropped:
                eliot.log_message('node: lines dropped', counts=dropped)
        self._line_counts[message_type] += 1
        return self._line_counts[message_type] <= self._limit


class NonBlockingStream:
    """Writes lines to a file descriptor, and drops them while it would block.

    The descriptor must be non-blocking. A partly written line is completed
    before the next one, so a reader only sees complete lines.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._pending = b''
        self.dropped = 0

    def write(self, data: bytes) -> None:
        """Write a line or drop it."""
        if not data:
            return
        self._write_pending()
        if self._pending:
            self.dropped += 1
            return
        self._pending = data
        self._write_pending()
        if self._pending == data:
            # No part of the line was written.
            self._pending = b''
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; each line is written immediately."""

    def _write_pending(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            self._pending = self._pending[written:]


def start_nonblocking_logging(name: str) -> NonBlockingStream:
    """Write messages to standard output without blocking on it."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    stream = NonBlockingStream(descriptor)
    start_logging(name, stream)
    return stream
