"""HTTP client of the target on the same instance."""

import asyncio

import aiohttp

from sesamejunction.border import forwardhttp
from sesamejunction.border import httpclient
from sesamejunction import errors
from sesamejunction.model import requests

NOT_RUN = 'SJ-Not-Run'
TOKEN = 'SJ-Token'
SLOT = 'SJ-Slot'
START_BEFORE = 'SJ-Start-Before'
END = 'SJ-End'
SHED_STATUS = 503
SUCCESSES = range(200, 300)
CANCEL_TIMEOUT_S = 1.0
# Limit on pending cancels. Further ones are dropped, since the deadline ends
# the work anyway.
MAX_PENDING_CANCELS = 64


class TargetTransport:
    """Sends work to the target; ``port`` is set from its announcement."""

    def __init__(self, http: httpclient.HttpClient, host: str, clock):
        self._http = http
        self._host = host
        self._clock = clock
        self._cancels = set()
        self.port = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        for task in self._cancels:
            task.cancel()

    async def send(
        self, grant, head, upload
    ) -> requests.Answer | requests.Refusal:
        """Send a request under the grant.

        Returns a Refusal when the target refused the load or the grant.
        Raises PeerUnavailable when nothing was sent, and PeerConnectionLost
        when the request may have run: without a usable answer, or with one
        that is both a refusal and a success.
        """
        left_s = max(0.001, head.deadline - self._clock())
        fields = encode_work(grant, head, str(int(left_s * 1000)))
        reply = await self._http.send(
            f'{self._host}:{self.port}',
            head,
            head.path,
            fields,
            upload,
            left_s,
        )
        if reply.fields.get(NOT_RUN) != '1':
            return reply.to_answer()
        await reply.resources.aclose()
        if reply.status in SUCCESSES:
            raise errors.TargetAnswerLost('the target refused and answered')
        if reply.status == SHED_STATUS:
            return requests.Refusal(
                requests.Code.SHED,
                requests.Outcome.NOT_RUN,
                'the target refused the work for its load; retry later',
                retry_after_s=1.0,
            )
        return requests.Refusal(
            requests.Code.NO_LEASE,
            requests.Outcome.NOT_RUN,
            'the target refused the grant; retry',
        )

    def cancel(self, request_id: str) -> None:
        """Cancel a request at the target in the background, without retry."""
        if len(self._cancels) >= MAX_PENDING_CANCELS:
            return
        task = asyncio.ensure_future(self._post_cancel(request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _post_cancel(self, request_id: str) -> None:
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await self._http.post(
                    f'{self._host}:{self.port}', f'/-/cancel/{request_id}'
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The deadline sent with the work ends it at the target.
            return


def encode_work(grant, head, budget_ms: str) -> dict[str, str]:
    """Return the header fields of a request to the target.

    Times are CLOCK_BOOTTIME milliseconds, since both share the instance.
    """
    fields = forwardhttp.encode_head(head, budget_ms)
    start_before = min(grant.start_before, head.deadline)
    fields[START_BEFORE] = str(int(start_before * 1000))
    if grant.end is not None:
        fields[END] = str(int(grant.end * 1000))
    if grant.token is not None:
        fields[TOKEN] = f'{grant.token.epoch}.{grant.token.place}'
    if grant.slot is not None:
        fields[SLOT] = str(grant.slot)
    return fields
