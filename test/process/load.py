"""Open-loop load generator that records the result of every request."""

import asyncio
import collections
import collections.abc
import dataclasses
import secrets
import time
import uuid

import aiohttp

MAX_IN_FLIGHT = 400
MAX_RESULTS = 200_000
# Longer than the request deadline, so that the node's answer is received.
CLIENT_LIMIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request to send through the node at ``base``."""

    base: str
    path: str
    method: str = 'GET'
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a call; ``at`` and ``latency`` are in seconds.

    ``status`` is None without a complete answer. ``error`` is then
    ``refused`` if no connection could be made, so that nothing ran,
    ``skipped`` if too many calls were open, else the client's error.
    """

    call: Call
    at: float
    latency: float
    status: int | None
    outcome: str | None = None
    text: str = ''
    error: str = ''

    @property
    def answered(self) -> bool:
        """Return whether the target's answer arrived completely."""
        return self.status == 200

    @property
    def not_run(self) -> bool:
        """Return whether the caller knows that nothing ran."""
        return self.error == 'refused' or self.outcome == 'not-run'


def make_idempotency_key() -> str:
    """Return a UUIDv7 for the current time."""
    value = (time.time_ns() // 1_000_000) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def read_clock() -> float:
    """Return CLOCK_BOOTTIME in seconds, the clock of targets' histories."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Load:
    """Sends calls at a fixed rate while the context is open."""

    def __init__(
        self, rate: float, make: collections.abc.Callable[[int], Call]
    ):
        self.results = []
        self._interval = 1 / rate
        self._make = make
        self._session = None
        self._sender = None
        self._open = set()

    async def __aenter__(self):
        # A new connection for each call, so that no call waits for another.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=CLIENT_LIMIT_S),
        )
        # aiohttp retries GET calls after a lost connection, which would hide
        # that they were cut; there is no public option to prevent it.
        self._session._retry_connection = False
        self._sender = asyncio.create_task(self._send_all())
        return self

    async def __aexit__(self, *_exc):
        self._sender.cancel()
        await asyncio.gather(self._sender, return_exceptions=True)
        # Open calls still count; their duration is limited.
        await asyncio.gather(*self._open, return_exceptions=True)
        await self._session.close()

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        for number in range(MAX_RESULTS):
            due = started + number * self._interval
            await asyncio.sleep(max(0.0, due - loop.time()))
            call = self._make(number)
            if len(self._open) >= MAX_IN_FLIGHT:
                self._note(call, read_clock(), None, error='skipped')
                continue
            task = asyncio.create_task(self._send(call))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _send(self, call: Call) -> None:
        at = read_clock()
        try:
            async with self._session.request(
                call.method,
                call.base + call.path,
                headers=call.headers,
                data=call.body or None,
            ) as reply:
                text = await reply.text()
                outcome = reply.headers.get('SJ-Outcome')
                self._note(call, at, reply.status, outcome, text)
        except aiohttp.ClientConnectorError:
            self._note(call, at, None, error='refused')
        except (aiohttp.ClientError, TimeoutError) as error:
            self._note(call, at, None, error=type(error).__name__)

    def _note(self, call, at, status, outcome=None, text='', error=''):
        self.results.append(
            Result(
                call, at, read_clock() - at, status, outcome, text[:300], error
            )
        )


def count_outcomes(results) -> collections.Counter:
    """Return the number of results by (status, outcome, error)."""
    return collections.Counter(
        (result.status, result.outcome, result.error) for result in results
    )


def find_percentile(results, part: float) -> float:
    """Return a latency percentile of the answered calls, in seconds."""
    taken = sorted(result.latency for result in results if result.answered)
    return taken[int(part * (len(taken) - 1))]
