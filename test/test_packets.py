"""Tests sizes, forgery and replay of datagrams between nodes."""

import math

import pytest

from sesamejunction.border import packets
from sesamejunction import errors
from sesamejunction.model import messages
from sesamejunction.model import packets as received

SECRET = b'fleet-secret-of-the-test'
A, B, C = 2**62 - 1, 2**62 - 2, 2**62 - 3
IP_UDP_BYTES = 28
RENEW = messages.RenewLease(A, 3, 123456.789, 40000, 0.125)
MESSAGES = {
    'renew': RENEW,
    'renew while witnesses change': messages.RenewLease(
        A, 4, 1.5, 7, math.inf, (B, C)
    ),
    'promise': messages.LeasePromise(A, B, 3, 123456.789, 40000, 2.5),
    'declared': messages.EndDeclaration(C, B, 2),
    'query': messages.EndedQuery(A, C),
    'release': messages.WitnessRelease(A, C, 2),
    'release query': messages.WitnessReleaseQuery(A, C, 2),
    'share request': messages.ShareRequest(
        A, 9, 8, (messages.ShareWant('embalagens', 1.5, 2.0),)
    ),
    'share reply': messages.ShareReply(
        A, B, 9, (messages.ShareGrant('embalagens', 3.0, 1.0),)
    ),
}


# Guards against fields lost in the encoding, and against renewals that exceed
# the 7 KB/s planned for control traffic.
@pytest.mark.parametrize('case', MESSAGES)
def test_round_trip_and_size(case):
    data = packets.PacketCodec(SECRET, A).encode(B, MESSAGES[case])
    decoded = packets.PacketCodec(SECRET, B).decode(data, 7.0)
    assert decoded == received.Received(A, MESSAGES[case], 7.0)
    if case in ('renew', 'promise'):
        assert len(data) + IP_UDP_BYTES < 100


def flip(data, index):
    changed = bytearray(data)
    changed[index] ^= 1
    return bytes(changed)


# Guards against accepting messages that no member sent to this process.
@pytest.mark.parametrize(
    ('secret', 'receiver', 'change'),
    [
        (b'another secret', B, lambda data: data),
        (SECRET, C, lambda data: data),
        (SECRET, B, lambda data: flip(data, 0)),
        (SECRET, B, lambda data: flip(data, 13)),
        (SECRET, B, lambda data: flip(data, 20)),
        (SECRET, B, lambda data: flip(data, -1)),
        (SECRET, B, lambda data: data[:10]),
    ],
    ids=(
        'other secret',
        'other receiver',
        'other sender',
        'other counter',
        'other tag',
        'other body',
        'cut',
    ),
)
def test_forged_packets_are_rejected(secret, receiver, change):
    data = change(packets.PacketCodec(secret, A).encode(receiver, RENEW))
    with pytest.raises(errors.ForgedMessageError):
        packets.PacketCodec(SECRET, B).decode(data, 7.0)


# Guards against a recorded renewal that keeps a dead lease holder alive.
def test_replayed_packets_are_rejected():
    sender = packets.PacketCodec(SECRET, A)
    receiver = packets.PacketCodec(SECRET, B)
    first, second = (sender.encode(B, RENEW) for _ in range(2))
    receiver.decode(second, 7.0)
    for replayed in (second, first):
        with pytest.raises(errors.ForgedMessageError):
            receiver.decode(replayed, 7.0)
