"""Guards against peers whose frames do not end or belong to nobody."""

import asyncio
import itertools
import types

import pytest

from sesamejunction.border import framing
from sesamejunction.model import linking
from sesamejunction.tasks import link as linkage
from sesamejunction.tasks import linkserver
from sesamejunction.tasks import usage as watching

SECRET = b'framing-secret-0001'
OWN, PEER = 1, 2
HELLO = linking.Hello(0, PEER, OWN, framing.sign_hello(SECRET, PEER, OWN))
STALE = linking.Hello(0, PEER, 9, framing.sign_hello(SECRET, PEER, 9))
REFUSED = linking.WorkRefused(1, 'shed', 'not-run', 'full', None, None)


class Transport:
    """Takes the place of a socket."""

    def __init__(self):
        self.closed = False

    def get_extra_info(self, _name):
        return None

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = True

    def write(self, _data):
        pass

    def get_write_buffer_size(self):
        return 0


def encode(frame):
    data = framing.ENCODER.encode(frame)
    return framing.LENGTH.pack(len(data)) + data


def build_server():
    ports = linkserver.ServerPorts(OWN, SECRET, None, None)
    server = linkserver.LinkServer(ports)
    server.connection_made(Transport())
    return server


def build_link():
    vitals = types.SimpleNamespace(
        traffic=watching.Traffic(), describe=lambda: {}
    )
    link = linkage.Link(vitals)
    link.connection_made(Transport())
    return link


# What comes first and then without end, and how much may be held before the
# connection is closed. A stranger is not given memory for a body.
FLOODS = {
    'stranger, large frame': (
        build_server, framing.LENGTH.pack(1 << 20), bytes(4096), 1 << 14,
    ),
    'stranger, no hello': (
        build_server, b'', encode(linking.Ping(0)), 1 << 14,
    ),
    'member of a former process, large frame': (
        build_server, encode(STALE) + framing.LENGTH.pack(1 << 20),
        bytes(4096), 1 << 14,
    ),
    'member, larger than any': (
        build_server, encode(HELLO) + framing.LENGTH.pack(1 << 31),
        bytes(4096), 1 << 14,
    ),
    'reply, larger than any': (
        build_link, framing.LENGTH.pack(1 << 31), bytes(4096), 1 << 14,
    ),
    'reply, no frame': (
        build_link, framing.LENGTH.pack(5), b'\xc1' * 4096, 1 << 14,
    ),
    'work in place of a reply': (
        build_link, b'', encode(linking.Cancel(1)), 1 << 14,
    ),
}  # fmt: skip


@pytest.mark.parametrize(
    ('build', 'first', 'rest', 'limit'), FLOODS.values(), ids=FLOODS
)
async def test_flood_of_a_peer_is_ended(build, first, rest, limit):
    one = build()
    held = 0
    for piece in itertools.chain([first], itertools.repeat(rest, 1 << 9)):
        if one.transport.closed:
            break
        one.data_received(piece)
        held += len(piece)
    assert one.transport.closed
    assert held <= limit


async def test_copy_of_a_reply_is_given_to_nobody():
    """Guards against a refusal that is taken for a later exchange's."""
    link = build_link()
    first, future = link.start_exchange()
    link.data_received(encode(REFUSED))
    assert await future == REFUSED
    link.end_exchange(first)
    second, future = link.start_exchange()
    link.data_received(encode(REFUSED))
    await asyncio.sleep(0)
    assert second != first and not future.done()
    link.end_exchange(second)


async def test_cut_reply_is_lost_at_every_byte():
    """Guards against a reply that is taken as whole before its end."""
    data = encode(linking.WorkAnswer(1, 200, (), b'whole answer', None))
    for cut in range(len(data)):
        link = build_link()
        _, future = link.start_exchange()
        link.data_received(data[:cut])
        link.connection_lost(None)
        with pytest.raises(linkage.errors.PeerConnectionLost):
            await future
