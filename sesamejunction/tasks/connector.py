"""Opens a connection with hedged attempts: the first to succeed wins."""

import asyncio
import contextlib

# Delays between the starts of attempts. Connecting to another node takes about
# 1 ms, but the operating system retransmits a lost SYN only after 1 s.
ATTEMPT_DELAYS_S = (0.15, 0.3)


async def connect_hedged(connect, delays_s=ATTEMPT_DELAYS_S):
    """Return the transport and protocol of the first attempt to succeed.

    ``connect`` makes one attempt. It is called at once, and again after each
    delay until an attempt ends. If an attempt fails, its error is raised and
    the others are cancelled: a port that refuses one connection refuses all.
    """
    with contextlib.ExitStack() as stack:
        attempts = []
        for delay_s in (*delays_s, None):
            task = asyncio.ensure_future(connect())
            attempts.append(task)
            stack.callback(_abandon, task)
            done, _ = await asyncio.wait(
                attempts,
                timeout=delay_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                break
        # Several may have ended in the same loop iteration; prefer a success.
        first = min(done, key=lambda attempt: attempt.exception() is not None)
        connection = first.result()
        stack.pop_all()
        for attempt in attempts:
            if attempt is not first:
                _abandon(attempt)
        return connection


def _abandon(task: asyncio.Task) -> None:
    """Cancel an attempt; if it succeeds nevertheless, close it."""
    task.cancel()
    task.add_done_callback(_close)


def _close(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is None:
        transport, _ = task.result()
        transport.abort()
