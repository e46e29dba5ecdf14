"""Encodes and decodes the records of the fleet's keyed topic."""

import msgspec

from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.model import state

RECORD_TYPES = {
    'member': registry.MemberRecord,
    'plan': registry.PlanRecord,
    'allocators': state.Allocators,
    'planner': state.ActivePlanner,
    'secret': registry.SecretRecord,
}
DECODERS = {
    kind: msgspec.msgpack.Decoder(record_type)
    for kind, record_type in RECORD_TYPES.items()
}
ENCODER = msgspec.msgpack.Encoder()


def build_record_key(record: registry.Record) -> str:
    """Return the key under which a record is stored."""
    match record:
        case registry.MemberRecord(name=name) | registry.MemberGone(name=name):
            return f'member/{name}'
        case registry.PlanRecord(service=service):
            return f'plan/{service}'
        case state.Allocators():
            return 'allocators'
        case state.ActivePlanner():
            return 'planner'
        case registry.SecretRecord():
            return 'secret'


def encode_record(record: registry.Record) -> bytes:
    """Return the stored value of a record; empty to delete it."""
    if isinstance(record, registry.MemberGone):
        return b''
    return ENCODER.encode(record)


def decode_record(key: str, value: bytes) -> registry.Record:
    """Return the record; raises CodecError for one of another version."""
    kind = key.partition('/')[0]
    try:
        return DECODERS[kind].decode(value)
    except (KeyError, msgspec.MsgspecError) as error:
        raise errors.CodecError(
            f'record {key} cannot be read ({error}); upgrade this node'
        ) from error
