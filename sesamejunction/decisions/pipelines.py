"""Decides which requests of one connection run, and when answers are sent.

A caller may send further requests before the first one is answered. Answers
are sent in the order of the requests (RFC 9112, section 9.3.2).
"""

import dataclasses
import enum

from sesamejunction.model import valueclass


@valueclass.define
class Limits:
    """Limits of one connection.

    ``running`` requests run at the same time. No request starts while answers
    that wait for an earlier one have ``held_bytes`` or more. Reading pauses
    while ``waiting`` requests wait for their start.
    """

    running: int = 16
    waiting: int = 16
    held_bytes: int = 1 << 20


class Phase(enum.Enum):
    """Progress of one request."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ANSWERED = 'answered'


@dataclasses.dataclass(slots=True)
class Entry:
    """One request in the order of arrival.

    ``size`` is that of its answer in bytes. ``must_close`` is set if the
    connection closes after the answer.
    """

    number: int
    is_repeatable: bool
    phase: Phase = Phase.WAITING
    size: int = 0
    must_close: bool = False


@valueclass.define
class Sendable:
    """The next answer to send.

    If ``closes``, it is the last one of the connection, and the requests
    ``dropped`` behind it were never started.
    """

    number: int
    closes: bool
    dropped: tuple[int, ...] = ()


class Pipeline:
    """The requests of one connection whose answers have not been sent.

    A request that may not be repeated runs only when all earlier answers have
    been sent, and nothing behind it starts before its own: an earlier answer
    might close the connection, and the caller then sends everything behind
    it again.
    """

    def __init__(self, limits: Limits = Limits()):
        self._limits = limits
        self._entries = {}
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def must_pause(self) -> bool:
        """Return whether to read no further requests now."""
        if self._held_bytes >= self._limits.held_bytes:
            return True
        if len(self._entries) < self._limits.waiting:
            return False
        return self._count(Phase.WAITING) >= self._limits.waiting

    def is_first(self, number: int) -> bool:
        """Return whether all earlier answers have been sent."""
        return next(iter(self._entries), None) == number

    def add(self, number: int, is_repeatable: bool) -> None:
        """Add the request that has just arrived."""
        self._entries[number] = Entry(number, is_repeatable)

    def take_startable(self, is_stopping: bool) -> list[int]:
        """Return the requests to start now, which then count as running.

        A stopping node starts a request only if no other is open, so that the
        answer that closes the connection is the last one of those that run.
        """
        startable, is_first = [], True
        for entry in self._entries.values():
            if entry.phase is Phase.WAITING:
                if not is_first and (
                    is_stopping
                    or not entry.is_repeatable
                    or not self._has_room()
                ):
                    break
                entry.phase = Phase.RUNNING
                startable.append(entry.number)
            if not entry.is_repeatable:
                break
            is_first = False
        return startable

    def finish(self, number: int, size: int, must_close: bool) -> None:
        """Record the answer of a running request."""
        entry = self._entries[number]
        entry.phase = Phase.ANSWERED
        entry.size = size
        entry.must_close = must_close
        self._held_bytes += size

    def take_sendable(self, is_stopping: bool) -> Sendable | None:
        """Remove and return the first request if it is answered."""
        front = next(iter(self._entries.values()), None)
        if front is None or front.phase is not Phase.ANSWERED:
            return None
        del self._entries[front.number]
        self._held_bytes -= front.size
        closes = front.must_close or (
            is_stopping and self._count(Phase.WAITING) == len(self._entries)
        )
        dropped = ()
        if closes:
            dropped = tuple(self._entries)
            self._entries.clear()
            self._held_bytes = 0
        return Sendable(front.number, closes, dropped)

    def _has_room(self) -> bool:
        return (
            self._held_bytes < self._limits.held_bytes
            and self._count(Phase.RUNNING) < self._limits.running
        )

    def _count(self, phase: Phase) -> int:
        return sum(entry.phase is phase for entry in self._entries.values())
