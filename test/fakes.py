"""Fake clock and actor, and helpers to run actors in tests."""

import asyncio
import contextlib


class Clock:
    """A clock that advances by 1 ms with each reading."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        self.now += 0.001
        return self.now


async def wait_until(check, limit_s=3.0):
    """Wait until ``check`` returns true, or raise TimeoutError."""
    async with asyncio.timeout(limit_s):
        while not check():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def run_actors(*actors):
    """Run actors until the block ends."""
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        for task in actors:
            stack.callback(group.create_task(task.run()).cancel)
        yield


class FakeTask:
    """Records messages; ``ask`` returns the given answers in order.

    An exception is raised, None never returns, and further answers are 0.
    """

    name = 'told'

    def __init__(self, *answers):
        self.answers = list(answers)
        self.messages = []

    def tell(self, message):
        self.messages.append(message)

    async def ask(self, message):
        self.messages.append(message)
        answer = self.answers.pop(0) if self.answers else 0
        if isinstance(answer, Exception):
            raise answer
        if answer is None:
            await asyncio.Event().wait()
        return answer
