"""Reinitialises the log after all state was lost."""

import secrets
import typing
import uuid

from sesamejunction.commands import tickets
from sesamejunction.decisions import checkpoints
from sesamejunction import errors
from sesamejunction.model import state


class Log(tickets.Log, typing.Protocol):
    """The log service, including checkpoints."""

    def encode_state(self, current: state.State) -> bytes:
        """Return a state encoded for a checkpoint."""


async def start_over(log: Log, last_ticket: int, wall_s: float) -> int:
    """Append a checkpoint of an empty state; return the offset it covers.

    ``last_ticket`` is the number of the last accepted ticket; older ones stay
    refused. ``wall_s`` is the wall-clock time and becomes the first epoch: it
    exceeds all former epochs, since a slot changes less than once a second.
    Raises UsageError while the log still holds the state.
    """
    view = tickets.LogView(log)
    try:
        await view.catch_up()
    except errors.RetentionGap:
        pass
    else:
        raise errors.UsageError(
            'the log still holds the state, nothing changed; start-over is '
            'only for a log whose records and checkpoints are all gone'
        )
    page = await log.read(0)
    empty = state.State(
        offset=page.next, last_ticket=last_ticket, first_epoch=int(wall_s)
    )
    data = log.encode_state(empty)
    number = secrets.randbits(62)
    for part in checkpoints.split_state(number, empty.offset, data):
        await log.append(uuid.uuid4().hex, part)
    return empty.offset
