"""Tests content, tags and receivers of calls between nodes."""

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
    """Answers questions with prepared replies and records the questions."""

    def __init__(self, replies):
        self.replies = replies
        self.asked = []

    async def ask(self, message):
        self.asked.append(message)
        return self.replies.get(type(message))


@contextlib.asynccontextmanager
async def connect(secret=SECRET, receiver=SERVER, skew_s=0.0):
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        port = bound.getsockname()[1]
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
    # Guards against fields lost in the encoding and snapshots that are joined
    # wrongly.
    async with connect() as (caller, member, owners):
        fetched = await caller.fetch_records(member, 5, 10)
        assert fetched == journaling.Records(5, (b'a', b'b'))
        assert await caller.fetch_snapshot(member) == SNAPSHOT
        question = owning.AskReleases(CLIENT, WANTED)
        given = await caller.request_releases(member, question)
        assert given.given == WANTED
        # A member may only send its own releases.
        forged = dataclasses.replace(OWN[0], member=99)
        await caller.send_releases(member, owning.Releases((*OWN, forged)))
        assert owners.asked == [question, owning.Releases(OWN)]


# Guards against releases on calls that no member made, that are replayed
# later, or that addressed a former incarnation on the same address.
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
    # Rejoining on an address must prove that the former process has ended.
    async with connect() as (_, member, _):
        credentials = peertags.Credentials(SECRET, 1, lambda: 0.0)
        address = (HOST, member.peer_port)
        with pytest.raises((errors.SettingsError, RuntimeError)):
            async with peerrpc.PeerServer(credentials, address, None, None):
                pass


# Guards against a reply that another process forges.
@pytest.mark.parametrize(
    ('method', 'tag', 'body'),
    [
        ('TakeReleases', 't', b'x'),
        ('ReleaseSlots', 'u', b'x'),
        ('ReleaseSlots', 't', b'y'),
    ],
)
def test_forged_replies_are_rejected(method, tag, body):
    credentials = peertags.Credentials(SECRET, SERVER, lambda: 0.0)
    signed = peertags.sign_reply(credentials, 'ReleaseSlots', 't', b'x')
    peertags.check_reply(credentials, 'ReleaseSlots', 't', signed, b'x')
    with pytest.raises(errors.ForgedMessageError):
        peertags.check_reply(credentials, method, tag, signed, body)
