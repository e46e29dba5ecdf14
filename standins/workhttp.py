"""Decoding of the target stand-in's JSON bodies and header fields."""

import json

import pydantic

from standins import work

CHUNK_BYTES = 64 * 1024
# The replay tool sends this header and checks it in the answer.
CALL_ID = 'Call-Id'
MAX_ANSWER_BYTES = 1 << 32


class WireGrant(pydantic.BaseModel):
    """Body of POST /-/grant; ``end`` is CLOCK_BOOTTIME milliseconds."""

    model_config = pydantic.ConfigDict(frozen=True)

    incarnation: int
    floor: str = pydantic.Field(pattern=r'^\d+\.\d+$')
    end: int


class Faults(pydantic.BaseModel):
    """Body of POST /-/fault; fields not given keep their value.

    ``cold`` and ``silent`` take effect once, at the time of the call;
    ``crossed`` and ``late`` are the numbers of answers still to be affected.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    work_ms: float = pydantic.Field(default=1.0, ge=0, le=600_000)
    slow: float = pydantic.Field(default=1.0, ge=0, le=10_000)
    lag_s: float = pydantic.Field(default=0.0, ge=0, le=600)
    cold: bool = False
    silent: bool = False
    crossed: int = pydantic.Field(default=0, ge=0)
    late: int = pydantic.Field(default=0, ge=0)
    late_s: float = pydantic.Field(default=1.0, ge=0, le=600)
    key_marks: tuple[str, ...] = ('demo-caller-key', 'demo-key-')


def decode_grant(data: bytes) -> work.Grant:
    """Return a grant; raises pydantic.ValidationError."""
    wire = WireGrant.model_validate_json(data)
    return work.Grant(
        decode_token(wire.floor), wire.end / 1000, wire.incarnation
    )


def decode_token(text: str) -> tuple[int, int]:
    """Return (epoch, place); raises ValueError."""
    epoch, place = text.split('.')
    return int(epoch), int(place)


def update_faults(faults: Faults, data: bytes) -> Faults:
    """Return the faults with the fields of a JSON object changed.

    Raises ValueError (of which pydantic.ValidationError is a kind) for an
    unknown field or a bad value.
    """
    changes = json.loads(data)
    if not isinstance(changes, dict):
        raise ValueError('send a JSON object')
    return Faults.model_validate(faults.model_dump() | changes)


def decode_work(fields, path: str, caller_key_markers) -> work.Work:
    """Return the work described by header fields; raises ValueError.

    ``caller_key_markers`` are texts that occur in caller keys only.
    """

    def read_field(name, convert):
        text = fields.get(name)
        return None if text is None else convert(text)

    def read_ms(text):
        return int(text) / 1000

    return work.Work(
        fields.get('sj-request-id', ''),
        fields.get('sj-organisation', ''),
        '',
        fields.get('sj-key'),
        fields.get('idempotency-key'),
        read_field('sj-slot', int),
        read_field('sj-token', decode_token),
        read_field('sj-start-before', read_ms),
        read_field('sj-end', read_ms),
        'authorization' in fields
        or any(
            marker in text
            for marker in caller_key_markers
            for text in (*fields.values(), path)
        ),
    )
