"""Task that owns the UDP socket between nodes."""

import asyncio
import dataclasses

import eliot

from sesamejunction.border import packets as codec
from sesamejunction.decisions import witnessplanning
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import packets
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramDump:
    """Traffic without IP and UDP headers, for operators."""

    sent_packets: int
    sent_bytes: int
    received_bytes: int
    rejected: int


class Datagrams(actor.Actor, asyncio.DatagramProtocol):
    """Sends to members by incarnation and passes on verified packets.

    Packets are taken from members and from ended incarnations that are still
    named as witnesses; others are dropped, so their counters need not be
    kept.
    """

    name = 'datagrams'

    def __init__(self, coder: codec.PacketCodec, host: str, port: int):
        super().__init__()
        self._coder = coder
        self._address = (host, port)
        self._state = state.State()
        self._known = {}
        self._subscribers = {}
        self._transport = None
        self.rejected = 0
        self.sent_bytes = 0
        self.sent_packets = 0
        self.received_bytes = 0

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        # Without reuse_port a second process cannot bind the address, which
        # is what lets a new incarnation prove that the former one is gone.
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )
        return self

    async def __aexit__(self, *_exc):
        self._transport.close()

    def subscribe(self, subscriber: actor.Actor, kinds) -> None:
        """Pass messages of these classes on; call before the task runs."""
        for kind in kinds:
            self._subscribers.setdefault(kind, []).append(subscriber)

    def tell(self, message) -> None:
        """Send a datagram at once, since that never waits; queue the rest."""
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
                    self._known = witnessplanning.list_reachable(
                        current, self._known
                    )
                    self._coder.retain_senders(self._known)

    def dump(self) -> DatagramDump:
        """Return the traffic counters."""
        return DatagramDump(
            self.sent_packets,
            self.sent_bytes,
            self.received_bytes,
            self.rejected,
        )

    def datagram_received(self, data: bytes, addr) -> None:
        """Verify one packet and pass it to its subscriber."""
        at = clock.read_boot_clock()
        self.received_bytes += len(data)
        try:
            received = self._coder.decode(data, at)
        except errors.CodecError as error:
            self._reject(addr, error)
            return
        if received.sender not in self._known:
            self.rejected += 1
            return
        kind = type(received.message)
        for subscriber in self._subscribers.get(kind, ()):
            subscriber.tell(received)

    def error_received(self, exc) -> None:
        """Ignore an unreachable peer; every message is repeated."""

    def _send(self, receiver, body) -> None:
        member = self._known.get(receiver)
        if member is None or self._transport.is_closing():
            return
        data = self._coder.encode(receiver, body)
        self.sent_bytes += len(data)
        self.sent_packets += 1
        self._transport.sendto(data, (member.host, member.peer_port))

    def _reject(self, addr, error) -> None:
        self.rejected += 1
        # One line per doubling, so that a flood does not fill the log.
        if self.rejected & (self.rejected - 1) == 0:
            eliot.log_message(
                'peer: packet rejected',
                reason=str(error),
                address=addr[0],
                count=self.rejected,
            )
