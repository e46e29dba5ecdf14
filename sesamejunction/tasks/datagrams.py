"""Actor that owns the UDP socket for messages between nodes."""

import asyncio

import eliot

from sesamejunction.border import packets as codec
from sesamejunction.decisions import witnessplanning
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import packets
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


@valueclass.define
class DatagramDump:
    """Traffic counters; bytes exclude IP and UDP headers."""

    sent_packets: int
    sent_bytes: int
    received_bytes: int
    rejected: int


class Datagrams(actor.Actor, asyncio.DatagramProtocol):
    """Sends datagrams to members and dispatches verified ones received.

    Packets are accepted from members and from ended incarnations that are
    still named as witnesses. Others are dropped, so that the codec need not
    keep replay counters for them.
    """

    name = 'datagrams'

    def __init__(self, coder: codec.PacketCodec, host: str, port: int):
        super().__init__()
        self._coder = coder
        self._address = (host, port)
        self._state = state.State()
        # Members to exchange datagrams with, by incarnation.
        self._reachable = {}
        self._subscribers = {}
        self._transport = None
        # Boot-clock time by which all former processes at the address had
        # ended; None before it is bound.
        self.bound_at = None
        self.rejected = 0
        self.sent_bytes = 0
        self.sent_packets = 0
        self.received_bytes = 0

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        # reuse_port must stay off: while the socket is open no second process
        # can bind the address, so a new incarnation that binds it proves that
        # the former process has ended.
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )
        self.bound_at = clock.read_boot_clock()
        return self

    async def __aexit__(self, *_exc):
        self._transport.close()

    def subscribe(self, subscriber: actor.Actor, kinds) -> None:
        """Dispatch messages of these types to an actor.

        Must be called before the task runs.
        """
        for kind in kinds:
            self._subscribers.setdefault(kind, []).append(subscriber)

    def tell(self, message) -> None:
        """Send a datagram at once, which never blocks.

        Other messages are queued.
        """
        match message:
            case packets.SendTo(incarnation=receiver, message=body):
                self._send(receiver, body)
            case _:
                super().tell(message)

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                before, self._state = self._state, current
                if (
                    current.members is not before.members
                    or current.witness_sets is not before.witness_sets
                ):
                    self._reachable = witnessplanning.list_reachable(
                        current, self._reachable
                    )
                    self._coder.retain_senders(self._reachable)

    def dump(self) -> DatagramDump:
        """Return the traffic counters."""
        return DatagramDump(
            self.sent_packets,
            self.sent_bytes,
            self.received_bytes,
            self.rejected,
        )

    def datagram_received(self, data: bytes, addr) -> None:
        """Verify a packet and pass it to the subscribers of its type."""
        received_at = clock.read_boot_clock()
        self.received_bytes += len(data)
        try:
            received = self._coder.decode(data, received_at)
        except errors.CodecError as error:
            self._count_rejected(addr, error)
            return
        if received.sender not in self._reachable:
            self.rejected += 1
            return
        kind = type(received.message)
        for subscriber in self._subscribers.get(kind, ()):
            subscriber.tell(received)

    def error_received(self, exc) -> None:
        """Ignore socket errors; senders repeat messages that were lost."""

    def _send(self, receiver, body) -> None:
        member = self._reachable.get(receiver)
        if member is None or self._transport.is_closing():
            return
        data = self._coder.encode(receiver, body)
        self.sent_bytes += len(data)
        self.sent_packets += 1
        self._transport.sendto(data, (member.host, member.peer_port))

    def _count_rejected(self, addr, error) -> None:
        self.rejected += 1
        # Log only when the count is a power of two, so that a flood of bad
        # packets does not fill the log.
        if self.rejected & (self.rejected - 1) == 0:
            eliot.log_message(
                'peer: packet rejected',
                reason=str(error),
                address=addr[0],
                count=self.rejected,
            )
