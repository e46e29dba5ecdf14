"""Messages of the line task, which paces large answers that leave a node."""

from sesamejunction.model import valueclass


@valueclass.define
class ExpectedAnswer:
    """An answer that leaves over the line of this machine.

    ``size`` is in bytes, expected or known. Rank 0 has the highest priority.
    ``latest`` is the boot-clock time by which it should have left. It does
    not exist before ``ready_at``. ``request_id`` is for log lines.
    """

    number: int
    size: int
    rank: int
    latest: float
    ready_at: float = 0.0
    request_id: str = ''


@valueclass.define
class PromiseAnswer:
    """Asks whether an expected answer can leave in time.

    The reply is a Refusal, or None if its bytes were promised.
    """

    answer: ExpectedAnswer


@valueclass.define
class AddAnswer:
    """Counts an answer that exists and is sent in any case."""

    answer: ExpectedAnswer


@valueclass.define
class SettleAnswer:
    """Replaces the expected size of an answer with its real one."""

    number: int
    size: int


@valueclass.define
class ReleaseAnswer:
    """Stops counting an answer, which has left or is not needed."""

    number: int


@valueclass.define
class HoldAnswer:
    """Keeps the body of an answer until ``requester`` has taken its parts.

    ``requester`` is the incarnation of a node.
    """

    answer: ExpectedAnswer
    requester: int
    body: bytes


@valueclass.define
class TakePart:
    """Asks for a part of a held answer, in bytes.

    The reply is the part, once the line has room for it, or b'' if the
    answer is not held for the requester.
    """

    number: int
    requester: int
    start: int
    size: int


@valueclass.define
class DropAnswer:
    """A requester has a held answer completely, or does not need it."""

    number: int
    requester: int


@valueclass.define
class RequesterLost:
    """All connections of a requester are closed."""

    requester: int


@valueclass.define
class AwaitGrant:
    """Asks to send ``size`` bytes; the reply is sent when they may leave.

    ``number`` is that of a counted answer, or 0.
    """

    size: int
    rank: int
    latest: float
    number: int = 0


@valueclass.define
class LineDump:
    """Answers that are promised or held, their bytes, and queued parts."""

    answers: int
    held: int
    left: int
    queued_parts: int
