"""What an actor has done, to tell which task keeps a process busy."""

import dataclasses
import time


@dataclasses.dataclass(slots=True)
class Activity:
    """Work of an actor since it was last asked.

    ``longest_s`` is the longest time that it held the event loop or awaited
    something within one message or tick, and ``longest`` what that was.
    """

    messages: int = 0
    ticks: int = 0
    longest_s: float = 0.0
    longest: str = ''

    def add_message(self, message, started: float) -> None:
        """Count a message that was handled since ``started``."""
        self.messages += 1
        taken_s = time.perf_counter() - started
        if taken_s > self.longest_s:
            self.longest_s, self.longest = taken_s, type(message).__name__

    def add_tick(self, started: float) -> None:
        """Count a tick that has run since ``started``."""
        self.ticks += 1
        taken_s = time.perf_counter() - started
        if taken_s > self.longest_s:
            self.longest_s, self.longest = taken_s, 'tick'
