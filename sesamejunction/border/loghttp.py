"""Client of the platform's append-only log service over HTTP."""

import aiohttp
import pydantic

from sesamejunction import errors
from sesamejunction.model import valueclass

APPEND_TIMEOUT_S = 3.0
# Time for the reply to a read, in addition to the requested wait.
READ_MARGIN_S = 2.0


class WireRecord(pydantic.BaseModel):
    """One record as the log service returns it."""

    offset: int
    data: pydantic.Base64Bytes


class WirePage(pydantic.BaseModel):
    """One reply of the log service to a read."""

    oldest: int
    next: int
    records: list[WireRecord]


class WireOffset(pydantic.BaseModel):
    """The log service's reply to an append."""

    offset: int


@valueclass.define
class LogRecord:
    """A record's bytes and its offset."""

    offset: int
    data: bytes


@valueclass.define
class LogPage:
    """Records read, with the oldest retained and the next unused offset."""

    oldest: int
    next: int
    records: tuple[LogRecord, ...]


class LogClient:
    """Appends to and reads from the log; owns its HTTP session."""

    def __init__(self, base_url: str):
        self._base_url = base_url.rstrip('/')
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_exc):
        await self._session.close()

    async def append(self, data: bytes) -> int:
        """Append bytes and return their offset.

        Raises AppendOutcomeUnknown when the reply is lost, since the write may
        have taken effect, and LogUnavailable when the log refused the write or
        could not be reached.
        """
        url = f'{self._base_url}/records'
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        try:
            async with self._session.post(
                url, data=data, timeout=timeout
            ) as reply:
                if reply.status != 200:
                    raise errors.LogUnavailable(
                        f'log refused an append with {reply.status}; '
                        f'retry later'
                    )
                body = await reply.read()
                return WireOffset.model_validate_json(body).offset
        except aiohttp.ClientConnectorError as error:
            raise errors.LogUnavailable(
                f'log cannot be reached ({error}); check --log-url'
            ) from error
        except (
            aiohttp.ClientError,
            TimeoutError,
            pydantic.ValidationError,
        ) as error:
            raise errors.AppendOutcomeUnknown(
                'log gave no usable reply to an append; read the log to '
                'learn whether it took effect'
            ) from error

    async def read(
        self,
        offset: int,
        wait_s: float,
        limit: int = 1000,
        margin_s: float | None = None,
    ) -> LogPage:
        """Return up to ``limit`` records from an offset.

        Waits up to ``wait_s`` for the first one.

        Raises LogUnavailable without a valid reply within ``margin_s``
        (default READ_MARGIN_S) after that wait.
        """
        params = {
            'from': str(offset),
            'wait_ms': str(int(wait_s * 1000)),
            'limit': str(limit),
        }
        margin_s = READ_MARGIN_S if margin_s is None else margin_s
        timeout = aiohttp.ClientTimeout(total=wait_s + margin_s)
        try:
            async with self._session.get(
                f'{self._base_url}/records', params=params, timeout=timeout
            ) as reply:
                reply.raise_for_status()
                page = WirePage.model_validate_json(await reply.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            pydantic.ValidationError,
        ) as error:
            raise errors.LogUnavailable(
                f'log cannot be read ({type(error).__name__}); '
                f'check --log-url and the log service'
            ) from error
        return LogPage(
            page.oldest,
            page.next,
            tuple(
                LogRecord(record.offset, record.data)
                for record in page.records
            ),
        )
