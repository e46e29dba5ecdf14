"""Connections between nodes that carry length-prefixed msgpack frames."""

import asyncio
import hashlib
import hmac
import struct

import msgspec

from sesamejunction.border import httpclient
from sesamejunction.model import linking

LENGTH = struct.Struct('>I')
# A frame carries at most one request body.
MAX_FRAME_BYTES = 1 << 27
# A hello frame takes under 50 bytes. A sender that has not yet proved that it
# belongs to the fleet cannot make this node buffer more.
MAX_HELLO_BYTES = 1 << 10
# Limit for a sender whose hello names an earlier incarnation of this node. It
# only gets refusals, and sends heads, offers and bodies of at most 16 KiB.
MAX_STALE_FRAME_BYTES = 1 << 18
TAG_BYTES = 16

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(linking.FRAMES)


def sign_hello(secret: bytes, sender: int, receiver: int) -> bytes:
    """Return the tag that proves knowledge of the fleet secret."""
    return hashlib.blake2b(
        struct.pack('>QQ', sender, receiver),
        key=secret[:64],
        digest_size=TAG_BYTES,
        person=b'sj-link',
    ).digest()


def verify_hello(secret: bytes, hello: linking.Hello) -> bool:
    """Return whether the tag of a hello fits its sender and receiver."""
    if min(hello.sender, hello.receiver) < 0:
        # sign_hello cannot encode it.
        return False
    return hmac.compare_digest(
        hello.tag, sign_hello(secret, hello.sender, hello.receiver)
    )


class FrameProtocol(asyncio.Protocol):
    """Splits a byte stream into frames; subclasses handle them.

    ``traffic`` counts the bytes received and sent, if given. ``frame_limit``
    is the maximum size of the next frame in bytes.
    """

    def __init__(self, traffic=None, frame_limit=MAX_FRAME_BYTES):
        self.transport = None
        self.frame_limit = frame_limit
        self._traffic = traffic
        self._buffer = bytearray()

    def connection_made(self, transport):
        """Store the transport and set the TCP timeout of the socket."""
        self.transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            httpclient.set_user_timeout(sock)

    @property
    def has_partial_frame(self) -> bool:
        """Return whether an incomplete frame has arrived."""
        return bool(self._buffer)

    def data_received(self, data):
        """Handle all complete frames; an invalid one closes the connection."""
        if self._traffic is not None:
            self._traffic.received += len(data)
        buffer = self._buffer
        buffer += data
        offset = 0
        while len(buffer) - offset >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffer, offset)
            if size > self.frame_limit:
                self.transport.abort()
                return
            frame_end = offset + LENGTH.size + size
            if len(buffer) < frame_end:
                break
            try:
                frame = DECODER.decode(
                    memoryview(buffer)[offset + LENGTH.size : frame_end]
                )
            except msgspec.MsgspecError:
                self.transport.abort()
                return
            offset = frame_end
            self.handle_frame(frame)
            if self.transport.is_closing():
                return
        if offset:
            del buffer[:offset]

    def send_frame(self, frame) -> None:
        """Send a frame; does nothing on a closed connection."""
        if self.transport is None or self.transport.is_closing():
            return
        data = ENCODER.encode(frame)
        if self._traffic is not None:
            self._traffic.sent += LENGTH.size + len(data)
        self.transport.write(LENGTH.pack(len(data)) + data)

    def handle_frame(self, frame) -> None:
        """Handle one frame."""
        raise NotImplementedError
