"""Messages of the datagram task."""

import dataclasses

from sesamejunction.model import messages


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Sends a message to a member."""

    incarnation: int
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """An authenticated message; ``at`` is its arrival on the boot clock."""

    sender: int
    message: messages.Message
    at: float
