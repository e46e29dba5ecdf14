"""Tests which grants are sent to a target and their encoding."""

import json

from aiohttp import web
import pytest

from sesamejunction.border import grants as grantclient
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.tasks import clock
from sesamejunction.tasks import grants

HOST = '127.0.0.1'
FLOOR = requests.Token(3, 1)


class Sender:
    """Records the grants sent; refuses them if told to."""

    def __init__(self, refuses=False):
        self.refuses = refuses
        self.sent = []

    async def send(self, number, grant):
        self.sent.append((number, grant))
        if self.refuses:
            raise errors.PeerUnavailable('refused; check the target')


# Guards against grants that outlive the lease, grants sent to a target that
# does not check them, and giving up after a refusal.
@pytest.mark.parametrize(
    ('checks', 'left_s', 'refuses', 'repeats', 'sent'),
    [
        (True, 0.5, False, 1, 1),
        (True, 0.5, False, 2, 1),
        (True, 0.5, True, 2, 2),
        (True, -0.1, False, 1, 0),
        (False, 0.5, False, 1, 0),
    ],
    ids=('once', 'unchanged', 'refused', 'lease lost', 'not checked'),
)
async def test_grants_follow_the_lease(checks, left_s, refuses, repeats, sent):
    sender = Sender(refuses)
    task = grants.Grants(sender)
    await task.handle(gating.TargetAnnounced('orders', 4, 1, 99, checks))
    grant = owning.TargetGrant(7, FLOOR, clock.read_boot_clock() + left_s)
    for _ in range(repeats):
        await task.handle(grant)
    assert sender.sent == [(99, grant)] * sent


# Guards against a change of the encoding that targets expect, and against a
# refusal by the target that is ignored.
@pytest.mark.parametrize(('status', 'refused'), [(204, False), (403, True)])
async def test_grant_on_the_wire(status, refused):
    bodies = []

    async def take(request):
        bodies.append(json.loads(await request.read()))
        return web.Response(status=status)

    app = web.Application()
    app.router.add_post('/-/grant', take)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    raised = None
    try:
        async with grantclient.GrantClient(HOST) as client:
            grant = owning.TargetGrant(2**62 + 1, FLOOR, 12.3456)
            await client.send(runner.addresses[0][1], grant)
    except errors.PeerUnavailable as error:
        raised = error
    finally:
        await runner.cleanup()
    assert (raised is not None) == refused
    expected = {'incarnation': 2**62 + 1, 'floor': '3.1', 'end': 12345}
    assert bodies == [expected]
