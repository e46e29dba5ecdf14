"""Decides when checkpoints are due, splits and reassembles them.

Also finds gaps between the applied state and the records kept by the log.
"""

import enum

from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass

PART_BYTES = 256 << 10
# A checkpoint is due after this many records since the latest one.
MAX_RECORDS_BETWEEN = 5_000
# Incomplete checkpoints of different writers that are kept while reading. Only
# nodes with a planner rank write checkpoints, and there are fewer of them.
MAX_OPEN_CHECKPOINTS = 8
# Parts of a checkpoint with a larger total are ignored.
MAX_PARTS = 1_024


class Due(enum.Enum):
    """Reason why a checkpoint must be written now."""

    EXPIRED = 'expired'
    RECORDS = 'records'
    AGE = 'age'


class Gap(enum.Enum):
    """How the records kept by the log relate to the applied offset."""

    NONE = 'none'
    LOST = 'lost'
    LOG_BEHIND = 'log-behind'


@valueclass.define
class Complete:
    """A reassembled checkpoint."""

    covers: int
    data: bytes


def find_gap(applied: int, oldest: int, next_offset: int) -> Gap:
    """Return whether records between the state and the log are lost.

    ``applied`` is the next offset to apply; ``oldest`` and ``next_offset``
    are the log's oldest and next offset. If all three are equal, nothing
    is lost. A log whose next offset is below the state's must not be
    applied, since its offsets belong to other records.
    """
    if next_offset < applied:
        return Gap.LOG_BEHIND
    return Gap.LOST if oldest > applied else Gap.NONE


def find_due(
    current: state.State, oldest: int, age_s: float, retention_s: float
) -> Due | None:
    """Return why a checkpoint is due, or None.

    ``oldest`` is the log's oldest offset and ``age_s`` the time since the
    latest complete checkpoint was read. A checkpoint is useless once the
    log has deleted a record after it.
    """
    if current.offset == 0:
        return None
    if current.checkpoint_offset < oldest:
        return Due.EXPIRED
    if current.offset - current.checkpoint_offset >= MAX_RECORDS_BETWEEN:
        return Due.RECORDS
    return Due.AGE if age_s >= retention_s / 2 else None


def split_state(
    checkpoint: int, covers: int, data: bytes
) -> tuple[records.CheckpointPart, ...]:
    """Return the parts of an encoded state, in append order."""
    total = max(1, -(-len(data) // PART_BYTES))
    return tuple(
        records.CheckpointPart(
            checkpoint,
            covers,
            index,
            total,
            data[index * PART_BYTES : (index + 1) * PART_BYTES],
        )
        for index in range(total)
    )


def may_adopt(applied: int, oldest: int, covers: int) -> bool:
    """Return whether a state up to the offset ``covers`` may be adopted.

    It must be newer than the applied state, so that no applied record is
    undone, and the log must still contain every record after it.
    """
    return covers > applied and covers >= oldest


class Assembler:
    """Collects parts in order and returns each checkpoint when complete."""

    def __init__(self):
        self._open = {}

    def add(self, part: records.CheckpointPart) -> Complete | None:
        """Add a part; return the checkpoint if this was its last part."""
        if not 0 <= part.index < part.total <= MAX_PARTS:
            return None
        if part.index == 0 and part.checkpoint not in self._open:
            while len(self._open) >= MAX_OPEN_CHECKPOINTS:
                del self._open[next(iter(self._open))]
            self._open[part.checkpoint] = []
        parts = self._open.get(part.checkpoint)
        # A repeated part is skipped. A part out of order is dropped,
        # but accepted when it is repeated after its predecessor.
        if parts is None or part.index != len(parts):
            return None
        parts.append(part.data)
        if len(parts) < part.total:
            return None
        del self._open[part.checkpoint]
        return Complete(part.covers, b''.join(parts))
