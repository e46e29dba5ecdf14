"""Guards against endless, oversized, truncated or misdirected frames."""

import asyncio
import itertools
import types

import msgspec
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
    """Replaces a socket transport."""

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


def build_server(answers=None):
    ports = linkserver.ServerPorts(OWN, SECRET, None, None, answers=answers)
    server = linkserver.LinkServer(ports)
    server.connection_made(Transport())
    return server


def build_link():
    process_usage = types.SimpleNamespace(
        traffic=watching.Traffic(), describe=lambda: {}
    )
    link = linkage.Link(process_usage)
    link.connection_made(Transport())
    return link


# Rows: first data, data repeated without end, and the number of bytes that may
# be buffered before the connection is closed. No memory for a body is given to
# an unauthenticated peer.
FLOODS = {
    'stranger, large frame': (
        build_server, framing.LENGTH.pack(1 << 20), bytes(4096), 1 << 14,
    ),
    'stranger, negative number': (
        build_server, encode(linking.Hello(0, -1, OWN, HELLO.tag)), b'',
        1 << 14,
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
async def test_flooding_peer_is_disconnected(build, first, rest, limit):
    protocol = build()
    held = 0
    for piece in itertools.chain([first], itertools.repeat(rest, 1 << 9)):
        if protocol.transport.closed:
            break
        protocol.data_received(piece)
        held += len(piece)
    assert protocol.transport.closed
    assert held <= limit


# Guards against a stranger that frees the answers which are held for a node,
# by claiming its number. Rows: the tag of the hello, and the nodes reported.
@pytest.mark.parametrize(
    ('tag', 'lost'),
    [(HELLO.tag, [PEER]), (bytes(16), [])],
    ids=['member', 'stranger'],
)
async def test_only_members_are_reported_lost(tag, lost):
    told = []
    line = types.SimpleNamespace(tell_reliably=told.append)
    server = build_server(types.SimpleNamespace(line=line))
    server.data_received(encode(msgspec.structs.replace(HELLO, tag=tag)))
    server.connection_lost(None)
    assert [one.requester for one in told] == lost


async def test_duplicate_reply_is_ignored():
    """Guards against a duplicate reply assigned to a later exchange."""
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


async def test_truncated_reply_is_lost_at_every_byte():
    """Guards against a truncated reply that is taken as complete."""
    data = encode(linking.WorkAnswer(1, 200, (), b'whole answer', None))
    for cut in range(len(data)):
        link = build_link()
        _, future = link.start_exchange()
        link.data_received(data[:cut])
        link.connection_lost(None)
        with pytest.raises(linkage.errors.PeerConnectionLost):
            await future
