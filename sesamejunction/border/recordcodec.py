"""Encodes and decodes log records and complete states as MessagePack."""

import collections.abc
import typing
import zlib

import msgspec

from sesamejunction import errors
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass

RECORD_TYPES = {
    record_type.__name__: record_type
    for record_type in typing.get_args(records.Record)
}


class RecordFrame(msgspec.Struct, frozen=True, array_like=True):
    """A log record: its id, its kind and its encoded body."""

    record_id: str
    kind: str
    body: msgspec.Raw


@valueclass.define
class Entry:
    """One record at a log offset.

    ``record`` is None if its kind is unknown or its body unreadable.
    """

    record_id: str
    record: records.Record | None


def encode_record(record_id: str, record: records.Record) -> bytes:
    """Return the bytes of one log offset that holds a single record."""
    return join_frames((encode_frame(record_id, record),))


def encode_frame(record_id: str, record: records.Record) -> bytes:
    """Return the bytes of one record, to be joined with others."""
    body = msgspec.Raw(msgspec.msgpack.encode(record))
    frame = RecordFrame(record_id, type(record).__name__, body)
    return msgspec.msgpack.encode(frame)


def join_frames(frames: collections.abc.Sequence[bytes]) -> bytes:
    """Return the bytes of one log offset that holds all frames in order."""
    return msgspec.msgpack.encode(
        [msgspec.Raw(encoded_frame) for encoded_frame in frames]
    )


def decode_records(data: bytes) -> tuple[Entry, ...]:
    """Return the records of one log offset in order.

    A record that cannot be decoded becomes an Entry without a record, so that
    the others still apply. Raises CodecError when the bytes are not a list of
    frames.
    """
    try:
        frames = msgspec.msgpack.decode(data, type=list[RecordFrame])
    except msgspec.MsgspecError as error:
        raise errors.CodecError(
            f'log record is not readable ({error}); upgrade this node'
        ) from error
    return tuple(
        Entry(raw_frame.record_id, _decode_body(raw_frame))
        for raw_frame in frames
    )


def _decode_body(frame: RecordFrame) -> records.Record | None:
    kind = RECORD_TYPES.get(frame.kind)
    if kind is None:
        return None
    try:
        return msgspec.msgpack.decode(frame.body, type=kind)
    except msgspec.MsgspecError:
        return None


def encode_state(current: state.State) -> bytes:
    """Return the compressed bytes of a state."""
    return zlib.compress(msgspec.msgpack.encode(current), level=1)


def decode_state(data: bytes) -> state.State:
    """Return a state; raises CodecError when the bytes are not one."""
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=state.State)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise errors.CodecError(
            f'checkpoint is not readable ({error}); fetch a newer one'
        ) from error
