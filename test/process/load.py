"""Open-loop load on a fleet, with the result of every request."""

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
# Longer than the request deadline, so that the node's own answer is seen.
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
    """What became of a call; ``at`` and ``latency`` in seconds.

    ``status`` is None without a whole answer, and ``error`` then names the
    reason: ``refused`` when no connection could be made, so that nothing
    ran, ``skipped`` when the load had too many calls open, else the
    client's error.
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
        """Return whether the target's answer arrived whole."""
        return self.status == 200

    @property
    def not_run(self) -> bool:
        """Return whether the caller knows that nothing ran."""
        return self.error == 'refused' or self.outcome == 'not-run'


def make_idempotency_key() -> str:
    """Return a UUID of version 7 for the present time."""
    value = (time.time_ns() // 1_000_000) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def read_clock() -> float:
    """Return CLOCK_BOOTTIME in seconds, as the targets' histories have it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Load:
    """Sends calls at a fixed rate until left; owns its HTTP session."""

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
        # A new connection for each call, so that none waits for another.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=CLIENT_LIMIT_S),
        )
        # The client would repeat GET calls whose connection broke, which
        # hides that they were cut; it has no public switch for that.
        self._session._retry_connection = False
        self._sender = asyncio.create_task(self._send_all())
        return self

    async def __aexit__(self, *_exc):
        self._sender.cancel()
        await asyncio.gather(self._sender, return_exceptions=True)
        # Calls that are open still count; their time is bounded.
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
    """Return how often each (status, outcome, error) came."""
    return collections.Counter(
        (one.status, one.outcome, one.error) for one in results
    )


def find_percentile(results, part: float) -> float:
    """Return a latency percentile of the answered calls, in seconds."""
    taken = sorted(one.latency for one in results if one.answered)
    return taken[int(part * (len(taken) - 1))]
