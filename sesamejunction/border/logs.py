"""Sets up eliot: one JSON line for each message on standard output."""

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
# Lines of one message type a second; further ones are counted, and the next
# second says how many there were.
LINES_A_SECOND = 20


def start_logging(name: str, stream=None) -> None:
    """Write messages to a stream, standard output unless named.

    Messages of before this call are kept by eliot and written as well.
    """
    eliot.add_global_fields(node=name)
    eliot.to_file(stream or sys.stdout, json_default=encode_value)


def log_exception(error: BaseException) -> None:
    """Log an unexpected error with its trace."""
    eliot.write_traceback(exc_info=(type(error), error, error.__traceback__))


def encode_value(value):
    """Return a JSON value for data classes, enums and anything else."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
        }
    return getattr(value, 'value', None) or str(value)


class ThrottledLogger:
    """Writes at most so many lines a second of each message type."""

    def __init__(self, limit: int = LINES_A_SECOND, clock=time.monotonic):
        self._limit = limit
        self._clock = clock
        self._write = eliot.log_message
        self._second = None
        self._lines = collections.Counter()

    def log_message(self, message_type: str, **fields) -> None:
        """Write a line, or only count it when there were too many."""
        if self._allow(message_type):
            self._write(message_type, **fields)

    def _allow(self, message_type: str) -> bool:
        second = int(self._clock())
        if second != self._second:
            dropped = {
                one: count - self._limit
                for one, count in self._lines.items()
                if count > self._limit
            }
            self._second = second
            self._lines.clear()
            if dropped:
                eliot.log_message('node: lines dropped', counts=dropped)
        self._lines[message_type] += 1
        return self._lines[message_type] <= self._limit


class NonBlockingStream:
    """Writes lines to a descriptor and drops them while nobody reads.

    The descriptor must not block. A line that was begun is finished before
    the next one, so a reader sees whole lines only.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._rest = b''
        self.dropped = 0

    def write(self, data: bytes) -> None:
        """Write a line or drop it."""
        if not data:
            return
        self._write_rest()
        if self._rest:
            self.dropped += 1
            return
        self._rest = data
        self._write_rest()
        if self._rest == data:
            # Nothing of it was taken.
            self._rest = b''
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; each line is written at once."""

    def _write_rest(self) -> None:
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]


def start_nonblocking_logging(name: str) -> NonBlockingStream:
    """Write messages to standard output without ever waiting for it."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    stream = NonBlockingStream(descriptor)
    start_logging(name, stream)
    return stream
