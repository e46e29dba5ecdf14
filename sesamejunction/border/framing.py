"""Framed connections between nodes: a length, then a msgpack frame."""

import asyncio
import hashlib
import hmac
import struct

import msgspec

from sesamejunction.border import httpclient
from sesamejunction.model import linking

LENGTH = struct.Struct('>I')
# A frame carries one body of a caller at most.
MAX_FRAME_BYTES = 1 << 27
# A first frame takes under 50 bytes; whoever has not shown that it belongs to
# the fleet is given no memory for more.
MAX_HELLO_BYTES = 1 << 10
# A member that meant an earlier process of this node gets refusals only. Its
# frames are small bodies, offers and heads; the largest body is 16 KiB.
MAX_STALE_FRAME_BYTES = 1 << 18
TAG_BYTES = 16

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(linking.FRAMES)


def sign_hello(secret: bytes, sender: int, receiver: int) -> bytes:
    """Return the proof that the sender knows the fleet's secret."""
    return hashlib.blake2b(
        struct.pack('>QQ', sender, receiver),
        key=secret[:64],
        digest_size=TAG_BYTES,
        person=b'sj-link',
    ).digest()


def verify_hello(secret: bytes, hello: linking.Hello) -> bool:
    """Return whether a member of the fleet meant the receiver it names."""
    return hmac.compare_digest(
        hello.tag, sign_hello(secret, hello.sender, hello.receiver)
    )


class FrameProtocol(asyncio.Protocol):
    """Cuts a byte stream into frames; subclasses take them.

    ``traffic`` counts the bytes, if given. ``frame_limit`` is the largest
    size of the next frame in bytes.
    """

    def __init__(self, traffic=None, frame_limit=MAX_FRAME_BYTES):
        self.transport = None
        self.frame_limit = frame_limit
        self._traffic = traffic
        self._buffer = bytearray()

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        found = transport.get_extra_info('socket')
        if found is not None:
            httpclient.set_user_timeout(found)

    @property
    def has_partial_frame(self) -> bool:
        """Return whether a frame has begun to arrive."""
        return bool(self._buffer)

    def data_received(self, data):
        """Take all whole frames; a frame that cannot be read ends all."""
        if self._traffic is not None:
            self._traffic.received += len(data)
        buffer = self._buffer
        buffer += data
        place = 0
        while len(buffer) - place >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer, place)
            if size > self.frame_limit:
                self.transport.abort()
                return
            ends = place + LENGTH.size + size
            if len(buffer) < ends:
                break
            try:
                frame = DECODER.decode(
                    memoryview(buffer)[place + LENGTH.size : ends]
                )
            except msgspec.MsgspecError:
                self.transport.abort()
                return
            place = ends
            self.handle_frame(frame)
            if self.transport.is_closing():
                return
        if place:
            del buffer[:place]

    def send_frame(self, frame) -> None:
        """Send a frame; nothing happens on a closed connection."""
        if self.transport is None or self.transport.is_closing():
            return
        data = ENCODER.encode(frame)
        if self._traffic is not None:
            self._traffic.sent += LENGTH.size + len(data)
        self.transport.write(LENGTH.pack(len(data)) + data)

    def handle_frame(self, frame) -> None:
        """Take one frame."""
        raise NotImplementedError
