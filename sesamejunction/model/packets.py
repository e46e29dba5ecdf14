"""Messages of the datagram task."""

from sesamejunction.model import messages
from sesamejunction.model import valueclass


@valueclass.define
class SendTo:
    """Sends a message to a member."""

    incarnation: int
    message: messages.Message


@valueclass.define
class Received:
    """An authenticated message; ``at`` is its arrival on the boot clock."""

    sender: int
    message: messages.Message
    at: float
