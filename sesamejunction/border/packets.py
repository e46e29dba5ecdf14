"""Encodes and validates the datagrams between nodes.

A packet is sender (8 bytes), counter (6 bytes), tag (16 bytes) and body. The
tag is a keyed BLAKE2b over sender, receiver, counter and body. The receiver's
incarnation is not sent: a packet for another incarnation fails the check of
the tag.
"""

import hashlib
import hmac
import math
import struct

import msgspec

from sesamejunction import errors
from sesamejunction.model import messages
from sesamejunction.model import packets

TAG_BYTES = 16
# Sender and counter, whose 48 bits are split into 16 and 32.
HEADER = struct.Struct('>QHI')
# Sender, receiver and counter, as the tag covers them.
TAGGED_IDS = struct.Struct('>QQHI')
HEADER_BYTES = HEADER.size + TAG_BYTES
COUNTER_LOW_BITS = 32
# Larger ages of the log contact, and no contact at all, are encoded as this
# value.
MAX_AGE_MS = (1 << 32) - 1


class Wire(msgspec.Struct, frozen=True, array_like=True):
    """Base class of bodies, which are arrays that start with a type number.

    Incarnations that equal the packet's sender or receiver are left out, and
    ages are whole milliseconds, so that a renewal stays small.
    """


class WireRenew(Wire, tag=1):
    """Body of RenewLease."""

    version: int
    sent_at: float
    log_offset: int
    log_age_ms: int
    released_by: tuple[int, ...] = ()


class WirePromise(Wire, tag=2):
    """Body of LeasePromise."""

    version: int
    sent_at: float
    log_offset: int
    log_age_ms: int


class WireDeclared(Wire, tag=3):
    """Body of EndDeclaration."""

    witness: int
    ended: int
    version: int


class WireEndedQuery(Wire, tag=4):
    """Body of EndedQuery."""

    incarnation: int


class WireRelease(Wire, tag=5):
    """Body of WitnessRelease."""

    holder: int
    version: int


class WireReleaseQuery(Wire, tag=6):
    """Body of WitnessReleaseQuery."""

    holder: int
    version: int


class WireShareRequest(Wire, tag=7):
    """Body of ShareRequest."""

    sequence: int
    received: int
    wants: tuple[tuple[str, float, float, int], ...]


class WireShareReply(Wire, tag=8):
    """Body of ShareReply."""

    sequence: int
    grants: tuple[tuple[str, float, float, float], ...]


class WireProbe(Wire, tag=9):
    """Body of Probe; ``topics`` are pairs of end offset and age in ms."""

    sent_at: float
    topics: tuple[tuple[int, int], ...]
    members: int = 0


class WireEcho(Wire, tag=10):
    """Body of Echo; ``heard`` are pairs of incarnation and age in ms.

    ``members``, ``first`` and ``ages`` are those of PackedAges. Nodes of
    earlier versions ignore them.
    """

    sent_at: float
    topics: tuple[tuple[int, int], ...]
    heard: tuple[tuple[int, int], ...]
    has_log: bool = True
    members: int = 0
    first: int = 0
    ages: bytes = b''


BODIES = (
    WireRenew
    | WirePromise
    | WireDeclared
    | WireEndedQuery
    | WireRelease
    | WireReleaseQuery
    | WireShareRequest
    | WireShareReply
    | WireProbe
    | WireEcho
)


class PacketCodec:
    """Encodes packets of one incarnation and decodes those sent to it.

    The counters of each sender increase. A packet whose counter is not higher
    than the last one accepted from its sender is a replay and is rejected.
    """

    def __init__(self, secret: bytes, incarnation: int):
        self._key = hashlib.blake2b(
            secret, digest_size=32, person=b'sj-datagram'
        ).digest()
        self._incarnation = incarnation
        self._counter = 0
        self._last_counters = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(BODIES)

    def encode(self, receiver: int, message: messages.Message) -> bytes:
        """Return the packet that carries a message to a receiver."""
        self._counter += 1
        body = self._encoder.encode(encode_body(message))
        counter = split_counter(self._counter)
        tag = self._make_tag(self._incarnation, receiver, counter, body)
        return HEADER.pack(self._incarnation, *counter) + tag + body

    def decode(self, data: bytes, at: float) -> packets.Received:
        """Return the message of a packet.

        ``at`` is the time of arrival in boot-clock seconds. Raises
        ForgedMessageError for a wrong tag or receiver or a repeated counter,
        and CodecError for a body of another version.
        """
        if len(data) < HEADER_BYTES:
            raise errors.ForgedMessageError(
                'packet is too short; check what sends to the peer port'
            )
        sender, *counter = HEADER.unpack_from(data)
        body = data[HEADER_BYTES:]
        tag = self._make_tag(sender, self._incarnation, counter, body)
        if not hmac.compare_digest(tag, data[HEADER.size : HEADER_BYTES]):
            raise errors.ForgedMessageError(
                'packet has a wrong tag; check --fleet-secret on all nodes'
            )
        received_counter = (counter[0] << COUNTER_LOW_BITS) | counter[1]
        if received_counter <= self._last_counters.get(sender, 0):
            raise errors.ForgedMessageError(
                'packet repeats an old counter; check the network for replays'
            )
        try:
            wire = self._decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise errors.CodecError(
                f'packet body is not readable ({error}); upgrade this node'
            ) from error
        self._last_counters[sender] = received_counter
        message = decode_body(sender, self._incarnation, wire)
        return packets.Received(sender, message, at)

    def retain_senders(self, members) -> None:
        """Forget the last counters of senders that are not members."""
        for sender in [
            known for known in self._last_counters if known not in members
        ]:
            del self._last_counters[sender]

    def _make_tag(self, sender, receiver, counter, body) -> bytes:
        return hashlib.blake2b(
            TAGGED_IDS.pack(sender, receiver, *counter) + body,
            key=self._key,
            digest_size=TAG_BYTES,
        ).digest()


def split_counter(counter: int) -> tuple[int, int]:
    """Return the upper 16 and lower 32 bits of a counter."""
    return counter >> COUNTER_LOW_BITS, counter & ((1 << 32) - 1)


def encode_age(age_s: float) -> int:
    """Return an age in whole milliseconds, at most MAX_AGE_MS."""
    if age_s * 1000 >= MAX_AGE_MS:
        return MAX_AGE_MS
    # Rounded up, so that nothing appears more recent than it is.
    return max(0, math.ceil(age_s * 1000))


def decode_age(age_ms: int) -> float:
    """Return an age in seconds; MAX_AGE_MS means no contact at all."""
    return math.inf if age_ms >= MAX_AGE_MS else age_ms / 1000


def encode_body(message: messages.Message) -> Wire:
    """Return the body of a message."""
    match message:
        case messages.RenewLease(version=version, sent_at=sent_at):
            return WireRenew(
                version,
                sent_at,
                message.log_offset,
                encode_age(message.log_age),
                message.released_by,
            )
        case messages.LeasePromise(version=version, sent_at=sent_at):
            return WirePromise(
                version,
                sent_at,
                message.log_offset,
                encode_age(message.log_age),
            )
        case messages.EndDeclaration(witness=witness, ended=ended):
            return WireDeclared(witness, ended, message.version)
        case messages.EndedQuery(incarnation=incarnation):
            return WireEndedQuery(incarnation)
        case messages.WitnessRelease(holder=holder, version=version):
            return WireRelease(holder, version)
        case messages.WitnessReleaseQuery(holder=holder, version=version):
            return WireReleaseQuery(holder, version)
        case messages.ShareRequest(wants=wants):
            return WireShareRequest(
                message.sequence,
                message.received,
                tuple(
                    (
                        share_want.organisation,
                        share_want.unspent,
                        share_want.want,
                        share_want.waiting,
                    )
                    for share_want in wants
                ),
            )
        case messages.ShareReply(grants=grants):
            return WireShareReply(
                message.sequence,
                tuple(
                    (
                        share_grant.organisation,
                        share_grant.tokens,
                        share_grant.valid_s,
                        share_grant.empty_s,
                    )
                    for share_grant in grants
                ),
            )
        case messages.Probe(sent_at=sent_at, topics=topics):
            return WireProbe(sent_at, encode_topics(topics), message.members)
        case messages.Echo(sent_at=sent_at, topics=topics, heard=heard):
            fields = (
                sent_at,
                encode_topics(topics),
                tuple((peer, encode_age(age)) for peer, age in heard),
                message.has_log,
            )
            packed = message.packed
            if packed is None:
                return WireEcho(*fields)
            return WireEcho(*fields, packed.members, packed.first, packed.ages)


def encode_topics(topics) -> tuple[tuple[int, int], ...]:
    """Return pairs of end offset and age in milliseconds."""
    return tuple((topic.end, encode_age(topic.age)) for topic in topics)


def decode_topics(pairs) -> tuple[messages.TopicAge, ...]:
    """Return the topics from pairs of end offset and age in ms."""
    return tuple(
        messages.TopicAge(end, decode_age(age_ms)) for end, age_ms in pairs
    )


def decode_body(sender: int, receiver: int, wire: Wire) -> messages.Message:
    """Return the message of a body that came from a sender."""
    match wire:
        case WireRenew(version, sent_at, offset, age_ms, released_by):
            age = decode_age(age_ms)
            return messages.RenewLease(
                sender, version, sent_at, offset, age, released_by
            )
        case WirePromise(version, sent_at, offset, age_ms):
            age = decode_age(age_ms)
            return messages.LeasePromise(
                sender, receiver, version, sent_at, offset, age
            )
        case WireDeclared(witness, ended, version):
            return messages.EndDeclaration(witness, ended, version)
        case WireEndedQuery(incarnation):
            return messages.EndedQuery(sender, incarnation)
        case WireRelease(holder, version):
            return messages.WitnessRelease(sender, holder, version)
        case WireReleaseQuery(holder, version):
            return messages.WitnessReleaseQuery(sender, holder, version)
        case WireShareRequest(sequence, received, wants):
            return messages.ShareRequest(
                sender,
                sequence,
                received,
                tuple(messages.ShareWant(*item) for item in wants),
            )
        case WireShareReply(sequence, grants):
            return messages.ShareReply(
                sender,
                receiver,
                sequence,
                tuple(messages.ShareGrant(*item) for item in grants),
            )
        case WireProbe(sent_at, topics, members):
            return messages.Probe(
                sender, sent_at, decode_topics(topics), members
            )
        case WireEcho(sent_at, topics, heard, has_log, members):
            packed = None
            if members:
                packed = messages.PackedAges(members, wire.first, wire.ages)
            return messages.Echo(
                sender,
                sent_at,
                decode_topics(topics),
                tuple((peer, decode_age(age_ms)) for peer, age_ms in heard),
                has_log,
                packed,
            )
