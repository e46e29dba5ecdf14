"""Client of the nodes' operator endpoints."""

import aiohttp
import pydantic

from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.model import state

TIMEOUT_S = 3.0


class OperatorClient:
    """Calls nodes with the operator key; owns its HTTP session."""

    def __init__(self, operator_key: str):
        self._key = operator_key
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(
            headers={'Authorization': f'Bearer {self._key}'},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )
        return self

    async def __aexit__(self, *_exc):
        await self._session.close()

    async def read_status(self, member: state.Member) -> operating.NodeStatus:
        """Return a node's status; raises PeerUnavailable."""
        body = await self._call('GET', member, '/status')
        try:
            return pydantic.TypeAdapter(operating.NodeStatus).validate_json(
                body
            )
        except pydantic.ValidationError:
            raise errors.PeerUnavailable(
                f'{member.name} sent an unknown status; use the ctl of the '
                f'same release'
            ) from None

    async def read_dump(self, member: state.Member) -> bytes:
        """Return a node's dump as JSON; raises PeerUnavailable."""
        return await self._call('GET', member, '/dump')

    async def drain(self, member: state.Member) -> None:
        """Ask a node for a planned stop; raises PeerUnavailable."""
        await self._call('POST', member, '/drain')

    async def _call(self, method, member, path) -> bytes:
        host = f'[{member.host}]' if ':' in member.host else member.host
        url = f'http://{host}:{member.operator_port}{path}'
        try:
            async with self._session.request(method, url) as reply:
                body = await reply.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.PeerUnavailable(
                f'{member.name} gives no answer at {url} '
                f'({type(error).__name__}); check the instance'
            ) from error
        if reply.status == 401:
            raise errors.PeerUnavailable(
                f'{member.name} refuses the operator key; set '
                f'SESAMEJUNCTION_OPERATOR_KEY to the key whose SHA-256 the '
                f'node has'
            )
        if reply.status >= 300:
            raise errors.PeerUnavailable(
                f'{member.name} answers {url} with {reply.status}; see its log'
            )
        return body
