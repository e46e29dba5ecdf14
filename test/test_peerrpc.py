"""Calls between nodes: content, tags and the incarnation addressed."""

import contextlib
import dataclasses
import math
import socket

import pytest

from sesamejunction.border import peerrpc
from sesamejunction.border import peertags
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import once
from sesamejunction.model import owning
from sesamejunction.model import state

SECRET = b'fleet-secret-of-the-test'
SERVER, CLIENT = 2**62 + 5, 2**62 + 7
HOST = '127.0.0.1'
WANTED = (owning.SlotRelease('catalogue', 3, 9, SERVER),)
ANSWER = once.KeptAnswer(201, (('a', 'b'), ('a', 'c')), b'\0booked')
ENTRIES = tuple(
    once.Entry(
        once.Identity('ana', route_key, 'key'),
        once.Record('catalogue', 4, progress, 9.5, '', answer),
    )
    for route_key, progress, answer in (
        (None, once.Progress.ANSWERED, ANSWER),
        ('', once.Progress.ANSWERED, None),
        ('seat', once.Progress.UNKNOWN, None),
        ('seat', once.Progress.RUNNING, None),
    )
)
OWN = (
    owning.SlotRelease('catalogue', 4, 2, CLIENT, -math.inf, ENTRIES),
    owning.SlotRelease('catalogue', 5, 2, CLIENT),
)
SNAPSHOT = journaling.Snapshot(77, bytes(range(256)) * 3000)


class Task:
    """Answers questions with prepared replies and keeps them."""

    def __init__(self, replies):
        self.replies = replies
        self.asked = []

    async def ask(self, message):
        self.asked.append(message)
        return self.replies.get(type(message))


@contextlib.asynccontextmanager
async def connect(secret=SECRET, receiver=SERVER, skew_s=0.0):
    with socket.socket() as held:
        held.bind((HOST, 0))
        port = held.getsockname()[1]
    journal = Task(
        {
            journaling.GetRecords: journaling.Records(5, (b'a', b'b')),
            journaling.GetSnapshot: SNAPSHOT,
        }
    )
    owners = Task(
        {
            owning.AskReleases: owning.Releases(WANTED),
            owning.Releases: owning.Releases(OWN),
        }
    )
    member = state.Member(
        receiver, 'b', 'z', HOST, 1, port, 2, 'catalogue', 1, 1, True
    )
    server = peertags.Credentials(SECRET, SERVER, lambda: 1000.0)
    client = peertags.Credentials(secret, CLIENT, lambda: 1000.0 + skew_s)
    async with (
        peerrpc.PeerServer(server, (HOST, port), journal, owners),
        peerrpc.PeerClient(client) as caller,
    ):
        yield caller, member, owners


async def test_calls_carry_their_content():
    # Guards against fields lost on the wire and snapshots joined wrongly.
    async with connect() as (caller, member, owners):
        found = await caller.fetch_records(member, 5, 10)
        assert found == journaling.Records(5, (b'a', b'b'))
        assert await caller.fetch_snapshot(member) == SNAPSHOT
        question = owning.AskReleases(CLIENT, WANTED)
        given = await caller.request_releases(member, question)
        assert given.given == WANTED
        # A member may give only its own releases.
        forged = dataclasses.replace(OWN[0], member=99)
        await caller.send_releases(member, owning.Releases((*OWN, forged)))
        assert owners.asked == [question, owning.Releases(OWN)]


# Guards against releases that no member asked for, that are replayed later or
# that were meant for a former incarnation on the same address.
@pytest.mark.parametrize(
    'change',
    [
        {'secret': b'some other fleet secret'},
        {'receiver': SERVER + 1},
        {'skew_s': 60.0},
    ],
    ids=('other secret', 'former incarnation', 'old time'),
)
async def test_forged_calls_are_refused(change):
    async with connect(**change) as (caller, member, owners):
        question = owning.AskReleases(CLIENT, WANTED)
        with pytest.raises(errors.PeerUnavailable):
            await caller.request_releases(member, question)
        assert not owners.asked


async def test_second_process_cannot_bind_the_peer_port():
    # A rejoin on an address proves that the former process there is gone.
    async with connect() as (_, member, _):
        own = peertags.Credentials(SECRET, 1, lambda: 0.0)
        address = (HOST, member.peer_port)
        with pytest.raises((errors.SettingsError, RuntimeError)):
            async with peerrpc.PeerServer(own, address, None, None):
                pass


# Guards against a reply that another process made up.
@pytest.mark.parametrize(
    ('method', 'tag', 'body'),
    [
        ('TakeReleases', 't', b'x'),
        ('ReleaseSlots', 'u', b'x'),
        ('ReleaseSlots', 't', b'y'),
    ],
)
def test_forged_replies_are_rejected(method, tag, body):
    own = peertags.Credentials(SECRET, SERVER, lambda: 0.0)
    signed = peertags.sign_reply(own, 'ReleaseSlots', 't', b'x')
    peertags.check_reply(own, 'ReleaseSlots', 't', signed, b'x')
    with pytest.raises(errors.ForgedMessageError):
        peertags.check_reply(own, method, tag, signed, body)
