"""Frames on the connections between nodes."""

import msgspec

from sesamejunction.model import leasing
from sesamejunction.model import registry


# A WorkRefused with this id answers no single exchange: it tells that its
# sender is stopping and accepts no new exchanges. The ids of exchanges start
# at 1, so earlier versions ignore such a reply.
ALL_EXCHANGES = 0


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base of all frames; ``id`` is the exchange's id on the connection."""

    id: int


class Hello(Frame, tag=1):
    """First frame: the two incarnations and an authentication tag."""

    sender: int
    receiver: int
    tag: bytes


class WorkHead(Frame):
    """Head of a request for the receiver's local target.

    ``left_ms`` and ``objective_ms`` are relative to the time of sending.
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
    """A request with its body.

    ``repeat_share`` as in requests.Head, ``standing`` the value of a
    requests.Standing; earlier versions do not send them. ``takes_parts`` is
    set if the sender accepts AnswerHead as the reply.
    """

    body: bytes
    repeat_share: float = 0.0
    standing: int = 0
    takes_parts: bool = False


class WorkAnswer(Frame, tag=3):
    """The target's complete answer.

    ``load`` has the first four fields of requests.Load in their order, as
    earlier versions read exactly these; ``work_s`` is the fifth.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: tuple[int, int, int, float] | None
    work_s: float | None = None


class WorkRefused(Frame, tag=4):
    """A reply without an answer; fields as in requests.Refusal.

    ``outcome`` tells whether the request may have run. Fields with a default
    are missing in frames of earlier versions.
    """

    code: str
    outcome: str
    message: str
    retry_after_s: float | None
    load: tuple[int, int, int, float] | None
    inputs: tuple[tuple[str, float], ...] = ()
    reached_target: bool = False
    work_s: float | None = None


class Cancel(Frame, tag=5):
    """The caller disconnected, so the request can be abandoned."""


class ReleaseQuestion(Frame, tag=6):
    """Asks the node of a former owner to release keys."""

    body: leasing.AskRelease


class AllocatorStopQuestion(Frame, tag=7):
    """Asks a former allocator to stop."""

    body: leasing.AskAllocatorStop


class CopyQuestion(Frame, tag=8):
    """Requests a copy of a topic; the sender's own copy ends at ``end``."""

    topic: str
    end: int


class ReleaseReply(Frame, tag=9):
    """Answers ReleaseQuestion and AllocatorStopQuestion."""

    body: leasing.ReleaseResult


class CopyReply(Frame, tag=10):
    """Answers CopyQuestion; ``age`` is the age of the copy in seconds."""

    body: registry.TopicCopy | None
    age: float


class LoadQuestion(Frame, tag=11):
    """Requests the load of the keys of the receiver's local target."""


class LoadReply(Frame, tag=12):
    """Answers LoadQuestion."""

    body: leasing.KeyLoadReport


class Ping(Frame, tag=13):
    """Requests a Pong, to check that the connection still works."""


class Pong(Frame, tag=14):
    """Answers Ping."""


class WorkOffer(WorkHead, tag=15):
    """A request whose body of ``size`` bytes is sent on demand.

    It has its own tag so that a node of an earlier version closes the
    connection instead of running the request without a body.
    ``repeat_share``, ``standing`` and ``takes_parts`` as in Work.
    """

    size: int
    repeat_share: float = 0.0
    standing: int = 0
    takes_parts: bool = False


class AskPart(Frame, tag=16):
    """Requests ``size`` bytes of an offered body from ``start`` on.

    ``turn`` is the body's number at the receiving node.
    """

    turn: int
    start: int
    size: int


class BodyPart(Frame, tag=17):
    """The requested bytes, sent on the connection for large bodies.

    ``id`` is the ``turn`` of AskPart.
    """

    data: bytes


class NewsQuestion(Frame, tag=18):
    """Requests the changes of a topic, as registry.AskNews.

    It is sent on the connection for large bodies only: a node of an earlier
    version, which does not know the tag, ends that connection.
    """

    topic: str
    end: int
    wait_ms: int


class NewsReply(Frame, tag=19):
    """Answers NewsQuestion.

    ``data`` is an encoded registry.TopicNews, compressed if ``is_packed``,
    or empty if there is no copy. ``as_of_s`` as in registry.NewsAnswer.
    """

    data: bytes
    is_packed: bool
    as_of_s: float


class WaitQuestion(Frame, tag=20):
    """Requests the expected wait of one more request, as AskExpectedWait.

    It is sent only to nodes that have reported ``work_s``: a node of an
    earlier version, which does not know the tag, ends the connection.
    """

    service: str
    route: str


class WaitReply(Frame, tag=21):
    """Answers WaitQuestion; fields as in choosing.ExpectedWait."""

    wait_s: float
    run_s: float
    slots: int


class AnswerHead(Frame, tag=22):
    """The target's answer without its body of ``size`` bytes.

    The body is held under ``number`` and sent in parts on request. ``load``
    and ``work_s`` as in WorkAnswer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    load: tuple[int, int, int, float] | None
    number: int
    size: int
    work_s: float | None = None


class AskAnswerPart(Frame, tag=23):
    """Requests ``size`` bytes of a held answer from ``start`` on.

    It is sent on the connection for large bodies, as the following frames.
    """

    number: int
    start: int
    size: int


class AnswerPart(Frame, tag=24):
    """Answers AskAnswerPart; empty if the answer is not held any more."""

    data: bytes


class DropAnswer(Frame, tag=25):
    """Tells that a held answer has arrived or is not needed any more."""

    number: int


class FloorQuestion(Frame, tag=26):
    """Requests the newest facts of earlier eras, as registry.AskFloor.

    It is sent on the connection for large bodies only, as NewsQuestion.
    """

    era: int
    end: int


class FloorReply(Frame, tag=27):
    """Answers FloorQuestion."""

    body: registry.FloorAnswer | None


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
    | NewsQuestion
    | NewsReply
    | WaitQuestion
    | WaitReply
    | AnswerHead
    | AskAnswerPart
    | AnswerPart
    | DropAnswer
    | FloorQuestion
    | FloorReply
)
REPLIES = (
    WorkAnswer,
    WorkRefused,
    ReleaseReply,
    CopyReply,
    LoadReply,
    NewsReply,
    WaitReply,
    FloorReply,
    Pong,
    AnswerHead,
    AnswerPart,
)
