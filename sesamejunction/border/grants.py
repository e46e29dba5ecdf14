"""Sends grants over HTTP to the target on the same instance."""

import json

import aiohttp

from sesamejunction import errors
from sesamejunction.model import owning

# Shorter than the renewal interval, so that grants do not queue up.
GRANT_TIMEOUT_S = 0.15


def encode_grant(grant: owning.TargetGrant) -> bytes:
    """Return the JSON of a grant.

    ``floor`` is the lowest accepted fencing token as ``epoch.place``; ``end``
    is in CLOCK_BOOTTIME milliseconds.
    """
    return json.dumps(
        {
            'incarnation': grant.incarnation,
            'floor': f'{grant.floor.epoch}.{grant.floor.place}',
            'end': int(grant.end * 1000),
        }
    ).encode()


class GrantClient:
    """Posts grants to a target; owns its HTTP session."""

    def __init__(self, host: str):
        self._host = host
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=GRANT_TIMEOUT_S),
            headers={'Content-Type': 'application/json'},
        )
        return self

    async def __aexit__(self, *_exc):
        await self._session.close()

    async def send(self, port: int, grant: owning.TargetGrant) -> None:
        """Send a grant; raises PeerUnavailable unless it is accepted."""
        url = f'http://{self._host}:{port}/-/grant'
        try:
            async with self._session.post(
                url, data=encode_grant(grant)
            ) as reply:
                if reply.status // 100 != 2:
                    raise errors.PeerUnavailable(
                        f'target refused a grant with {reply.status}; '
                        f'check that it supports grants'
                    )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.PeerUnavailable(
                f'target did not accept a grant ({type(error).__name__}); '
                f'check its process'
            ) from error
