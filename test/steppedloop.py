"""An event loop whose clock moves only while it waits.

Code takes no time in it, so a task that goes on without a wait until a clock
has moved goes on for ever, on any machine. Timers are those of uvloop: their
delays and the loop's clock have whole milliseconds, so they may fire early by
a finer clock.
"""

import asyncio
import collections

# Turns without a wait in a row that end a run as failed. A task may go on for
# some turns when its messages or futures are passed on.
MOST_TURNS = 60
# What a wait takes longer than asked for, in microseconds. It is no part of a
# millisecond, so the finer clock is never at a whole one.
WAKE_UP_US = 37
START_US = 1_000_000_311


class Spin(AssertionError):
    """The loop went on without a wait."""


class Selector:
    """Waits by moving the clock, as nothing but timers wakes the loop."""

    def __init__(self, loop):
        self._loop = loop

    def select(self, timeout):
        """Wait until the next timer."""
        self._loop.wait(timeout)
        return []

    def close(self):
        """Do nothing."""


class SteppedLoop(asyncio.BaseEventLoop):
    """Runs coroutines and counts the turns that begin without a wait."""

    def __init__(self):
        super().__init__()
        self._selector = Selector(self)
        self._clock_resolution = 1e-9
        self._now_us = START_US
        self._turns_in_a_row = 0
        # The timers that made the loop go on, by the name of their callback.
        self.immediate_timers = collections.Counter()
        self.waits = 0

    def time(self):
        """Return the loop's time, in whole milliseconds."""
        return (self._now_us // 1000) / 1000

    def read_clock(self):
        """Return the boot-clock time, which is finer than the loop's."""
        return self._now_us / 1_000_000

    def call_later(self, delay, callback, *args, context=None):
        """Call back after whole milliseconds, or in the next turn."""
        delay_ms = round(max(0.0, min(delay, 1e9)) * 1000)
        if not delay_ms:
            name = getattr(callback, '__qualname__', repr(callback))
            self.immediate_timers[name] += 1
            return self.call_soon(callback, *args, context=context)
        when = (self._now_us // 1000 + delay_ms) / 1000
        return super().call_at(when, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        """Call back at a time of the loop."""
        return self.call_later(
            when - self.time(), callback, *args, context=context
        )

    def wait(self, timeout):
        """Move the clock to the next timer, unless a callback is ready."""
        if timeout is None:
            raise AssertionError('nothing will ever wake the loop')
        if timeout > 0:
            due = self._scheduled[0].when()
            self._now_us = max(self._now_us, round(due * 1e6)) + WAKE_UP_US
            self._turns_in_a_row = 0
            self.waits += 1
            return
        self._turns_in_a_row += 1
        if self._turns_in_a_row > MOST_TURNS:
            raise Spin(
                f'{MOST_TURNS} turns without a wait; timers without delay:'
                f' {dict(self.immediate_timers)}'
            )

    def _process_events(self, event_list):
        pass

    def _write_to_self(self):
        pass


def run(build) -> SteppedLoop:
    """Run ``build(loop)``, a coroutine, and return its loop."""
    loop = SteppedLoop()
    main = loop.create_task(build(loop))
    try:
        loop.run_until_complete(main)
    finally:
        if main.done() and not main.cancelled():
            main.exception()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop._turns_in_a_row = -MOST_TURNS
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
    return loop
