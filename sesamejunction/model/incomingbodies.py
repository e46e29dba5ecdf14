"""Large bodies that other nodes offer, and the messages of their task."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OfferedBody:
    """A body that another node offers.

    ``latest`` is the boot-clock time by which it must be here whole, and
    ``wanted`` the one by which its request can still meet its objective;
    ``sender`` is the incarnation of the node that has it; ``size`` is in
    bytes. Rank 0 goes first. ``request_id`` is for log lines.
    """

    number: int
    sender: int
    size: int
    rank: int
    latest: float
    wanted: float
    request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PartRequest:
    """The part of a body that is to be sent next; in bytes."""

    start: int
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class OfferBody:
    """Asks for the turn of a body; the reply is a Part or a Refusal.

    The reply comes when the body may begin or is known to be late.
    """

    body: OfferedBody


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitBodyPart:
    """Waits for the open part of a body whose turn it is.

    The reply is the next Part, Whole or a Refusal.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteBody:
    """All bytes of a body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PartArrived:
    """A part that the node ``sender`` sent; the reply is PartTaken."""

    number: int
    sender: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PartReceipt:
    """``expected`` is false for a part that nobody asked for."""

    expected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawBody:
    """Gives back the turn of a body, or its place among those that wait."""

    number: int
