"""Encodes and decodes the records of the fleet's keyed topic."""

import dataclasses
import ipaddress
import re

import msgspec

from sesamejunction import errors
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state

RECORD_TYPES = {
    'member': registry.MemberRecord,
    'plan': registry.PlanRecord,
    'allocators': state.Allocators,
    'planner': state.ActivePlanner,
    'secret': registry.SecretRecord,
    'era': registry.EraRecord,
}
DECODERS = {
    kind: msgspec.msgpack.Decoder(record_type)
    for kind, record_type in RECORD_TYPES.items()
}
ENCODER = msgspec.msgpack.Encoder()
PORTS = range(1, 1 << 16)
# Numbers that packets between nodes and the records themselves can hold.
NUMBERS = range(1 << 63)
# Rounds of planners, which the next planner adds one to.
ROUNDS = range(1 << 62)
SECRET = re.compile('(?:[0-9a-f]{2})+')


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
        case registry.EraRecord():
            return 'era'


# Begin of the keys of members.
MEMBER_PREFIX = 'member/'


class EraMark(msgspec.Struct):
    """The era in which a record was decided on, which a plan tells."""

    era: int = 0


MARK_DECODER = msgspec.msgpack.Decoder(EraMark)


def encode_record(record: registry.Record, era: int = 0) -> bytes:
    """Return the stored value of a record; empty to delete it.

    Plans and allocators also tell ``era``, in which they were decided on,
    unless it is the first one: records of earlier versions have no such field.
    """
    match record:
        case registry.MemberGone():
            return b''
        case registry.PlanRecord() | state.Allocators() if era:
            fields = {
                field.name: getattr(record, field.name)
                for field in dataclasses.fields(record)
            }
            return ENCODER.encode({**fields, 'era': era})
    return ENCODER.encode(record)


def decode_era(item: registry.TopicItem | None) -> registry.EraRecord | None:
    """Return the record of the era, None if there is none to be read."""
    try:
        return item and decode_record('era', item.value)
    except errors.CodecError:
        return None


def decode_mark(value: bytes) -> int:
    """Return the era in which a plan or allocators were decided on.

    Raises CodecError if the field is no number.
    """
    try:
        return MARK_DECODER.decode(value).era
    except msgspec.MsgspecError as error:
        raise errors.CodecError(
            f'the era of a record cannot be read ({error}); upgrade this node'
        ) from error


def decode_record(key: str, value: bytes) -> registry.Record:
    """Return the record.

    Raises CodecError for a record of another version or of another writer,
    whose values this node could not use.
    """
    kind = key.partition('/')[0]
    try:
        record = DECODERS[kind].decode(value)
    except (KeyError, RecursionError, msgspec.MsgspecError) as error:
        raise errors.CodecError(
            f'record {key} cannot be read ({error}); upgrade this node'
        ) from error
    problem = find_problem(record)
    if problem is None and build_record_key(record) != key:
        problem = 'it belongs to another key'
    if problem is not None:
        raise errors.CodecError(
            f'record {key} cannot be used ({problem}); find its writer'
        )
    return record


def find_problem(record: registry.Record) -> str | None:
    """Return what makes the values of a record unusable, None if nothing."""
    match record:
        case registry.MemberRecord():
            return _find_member_problem(record)
        case registry.PlanRecord():
            return _find_plan_problem(record)
        case state.Allocators(places=places):
            usable = places and all(
                place.member in NUMBERS and place.epoch in NUMBERS
                for place in places
            )
            return None if usable else 'a place or its number'
        case state.ActivePlanner(round=planner_round):
            return None if planner_round in ROUNDS else 'the round'
        case registry.SecretRecord(secret=secret):
            return None if SECRET.fullmatch(secret) else 'the secret'
    return None


def _find_member_problem(record) -> str | None:
    try:
        # The platform has IPv4 only, and so have the sockets of nodes.
        ipaddress.IPv4Address(record.host)
    except ValueError:
        return 'the host is no IPv4 address'
    usable = {
        'the port': record.peer_port in PORTS,
        'the number of slots': record.slots in NUMBERS,
        'the incarnation': record.incarnation in NUMBERS,
        'the life': record.life is None or _is_usable_life(record.life),
    }
    return next((name for name, found in usable.items() if not found), None)


def _is_usable_life(life: ranges.Life) -> bool:
    return life.born in NUMBERS


def _find_plan_problem(record) -> str | None:
    """Return a problem unless the ranges cover all keys once, in order."""
    next_key = 0
    for key_range in record.ranges:
        if key_range.first != next_key or key_range.last < key_range.first:
            return 'the keys are not covered in order'
        lives = (key_range.owner, *key_range.previous)
        if key_range.epoch not in NUMBERS or not all(
            map(_is_usable_life, lives)
        ):
            return 'an epoch or a life'
        next_key = key_range.last + 1
    if record.ranges and next_key != ranges.LAST_KEY + 1:
        return 'the keys are not covered'
    return None
