"""Frames on the connections between nodes."""

import msgspec

from sesamejunction.model import leasing
from sesamejunction.model import registry


# In Refused in place of an exchange: the sender stops, and nothing new may be
# sent to it. Exchanges count from 1, so earlier versions drop such a reply.
ALL_EXCHANGES = 0


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base of all frames; ``id`` names the exchange on its connection."""

    id: int


class Hello(Frame, tag=1):
    """First frame: who connects to whom, and a tag that proves it."""

    sender: int
    receiver: int
    tag: bytes


class WorkHead(Frame):
    """Head of a request for the target beside the receiver.

    ``left_ms`` and ``objective_ms`` count from the sending.
    """

    request_id: str
    service: str
    method: str
    path: str
    route_key: str | None
    organisation: str
    left_ms: int
    objective_ms: int
    repeatable: bool
    headers: tuple[tuple[str, str], ...]
    route: str
    rank: int
    caller_service: str


class Work(WorkHead, tag=2):
    """A request with its body."""

    body: bytes


class WorkAnswer(Frame, tag=3):
    """The target's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: tuple[int, int, int, float] | None


class WorkRefused(Frame, tag=4):
    """The request has no answer; ``outcome`` says whether it may have run."""

    code: str
    outcome: str
    message: str
    retry_after_s: float | None
    load: tuple[int, int, int, float] | None
    inputs: tuple[tuple[str, float], ...] = ()


class Cancel(Frame, tag=5):
    """The caller has left; the work is not needed."""


class ReleaseQuestion(Frame, tag=6):
    """Asks the node of a life to release keys."""

    body: leasing.AskRelease


class AllocatorStopQuestion(Frame, tag=7):
    """Asks a former allocator to stop."""

    body: leasing.AskAllocatorStop


class CopyQuestion(Frame, tag=8):
    """Asks for a copy of a topic; the sender is at ``end``."""

    topic: str
    end: int


class ReleaseReply(Frame, tag=9):
    """Answers Question and TermQuestion."""

    body: leasing.ReleaseResult


class CopyReply(Frame, tag=10):
    """Answers CopyQuestion; ``age`` is in seconds."""

    body: registry.TopicCopy | None
    age: float


class LoadQuestion(Frame, tag=11):
    """Asks how busy the keys of the target beside the receiver are."""


class LoadReply(Frame, tag=12):
    """Answers LoadQuestion."""

    body: leasing.KeyLoadReport


class Ping(Frame, tag=13):
    """Asks for a Pong, to see that the connection still works."""


class Pong(Frame, tag=14):
    """Answers Ping."""


class WorkOffer(WorkHead, tag=15):
    """A request whose body of ``size`` bytes is sent when it is asked for.

    A tag of its own: a node that does not know it ends the connection, and
    would otherwise run the request without a body.
    """

    size: int


class AskPart(Frame, tag=16):
    """Asks for ``size`` bytes of an offered body from ``start`` on.

    ``turn`` names the body at the receiver.
    """

    turn: int
    start: int
    size: int


class BodyPart(Frame, tag=17):
    """The bytes that were asked for, on the connection for large bodies.

    ``id`` is the turn.
    """

    data: bytes


FRAMES = (
    Hello
    | Work
    | WorkAnswer
    | WorkRefused
    | Cancel
    | ReleaseQuestion
    | AllocatorStopQuestion
    | CopyQuestion
    | ReleaseReply
    | CopyReply
    | LoadQuestion
    | LoadReply
    | Ping
    | Pong
    | WorkOffer
    | AskPart
    | BodyPart
)
REPLIES = (WorkAnswer, WorkRefused, ReleaseReply, CopyReply, LoadReply, Pong)
