"""Opens a connection by several attempts, of which the first counts."""

import asyncio
import contextlib

# Pauses between the starts of attempts. A connection between nodes takes about
# 1 ms, and the operating system repeats a lost SYN only after 1 s.
PAUSES_S = (0.15, 0.3)


async def connect_hedged(connect, pauses_s=PAUSES_S):
    """Return the transport and protocol of the first attempt to succeed.

    ``connect`` makes one attempt. It is called at once, and again after each
    of the pauses while no attempt has ended. An attempt that fails ends all
    and its error is raised: a port that refuses one refuses the others.
    """
    with contextlib.ExitStack() as stack:
        running = []
        for pause_s in (*pauses_s, None):
            task = asyncio.ensure_future(connect())
            running.append(task)
            stack.callback(_give_up, task)
            done, _ = await asyncio.wait(
                running,
                timeout=pause_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                break
        # Two may have ended in the same turn of the loop.
        first = min(done, key=lambda one: one.exception() is not None)
        found = first.result()
        stack.pop_all()
        for one in running:
            if one is not first:
                _give_up(one)
        return found


def _give_up(task: asyncio.Task) -> None:
    """Cancel an attempt and close what it has opened or opens now."""
    task.cancel()
    task.add_done_callback(_close)


def _close(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is None:
        transport, _ = task.result()
        transport.abort()
