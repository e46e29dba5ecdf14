"""Messages of the intake task, which schedules large bodies from peers."""

from sesamejunction.model import valueclass


@valueclass.define
class OfferedBody:
    """A body that another node offers to send.

    ``latest`` is the boot-clock time by which it must have arrived
    completely, ``wanted`` the time by which its request can still meet its
    latency objective. ``sender`` is the incarnation of the sending node.
    ``size`` is in bytes. Rank 0 has the highest priority. ``request_id`` is
    for log lines.
    """

    number: int
    sender: int
    size: int
    rank: int
    latest: float
    wanted: float
    request_id: str = ''


@valueclass.define
class PartRequest:
    """The part of a body to send next, in bytes."""

    start: int
    size: int


@valueclass.define
class OfferBody:
    """Queues a body; the reply is a PartRequest or a Refusal.

    The reply is sent when the transfer may begin or would be too late.
    """

    body: OfferedBody


@valueclass.define
class AwaitBodyPart:
    """Waits for the requested part of a body in transfer.

    The reply is the next PartRequest, CompleteBody or a Refusal.
    """

    number: int


@valueclass.define
class CompleteBody:
    """A body that has arrived completely."""

    data: bytes


@valueclass.define
class PartArrived:
    """A part sent by the node ``sender``; the reply is PartReceipt."""

    number: int
    sender: int
    data: bytes


@valueclass.define
class PartReceipt:
    """Reply to PartArrived; ``expected`` is false for an unrequested part."""

    expected: bool


@valueclass.define
class WithdrawBody:
    """Ends the transfer of a body or removes it from the queue."""

    number: int
