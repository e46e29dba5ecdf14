"""Strategies of odd values for what other writers send to a node."""

import json
import math

from hypothesis import strategies
import msgspec

ODD_VALUES = (
    *(None, True, False, 0, -1, 1, 1.5, -0.0, 1e308, 1e-308),
    *(math.inf, -math.inf, math.nan),
    *((1 << 31), (1 << 63) - 1, 1 << 63, (1 << 64) - 1, -(1 << 63)),
    *('', ' ', '\x00', '\r\nX-Tenant: b', '\u0416', '9' * 400, 'x' * 5000),
    *([], {}, [[]], [None], {'': None}, {'name': {}}),
)


def list_paths(content, path=()):
    """Return the paths of all values in nested lists and dicts."""
    paths = [path]
    if isinstance(content, dict):
        items = content.items()
    elif isinstance(content, list):
        items = enumerate(content)
    else:
        return paths
    for key, value in items:
        paths += list_paths(value, (*path, key))
    return paths


def replace(content, path, change):
    """Return a copy in which the value at a path is changed."""
    if not path:
        return change(content)
    copied = content.copy()
    copied[path[0]] = replace(content[path[0]], path[1:], change)
    return copied


@strategies.composite
def odd_contents(draw, samples):
    """Draw a sample with up to three values replaced, left out or doubled."""
    content = draw(strategies.sampled_from(samples))
    for _ in range(draw(strategies.integers(1, 3))):
        path = draw(strategies.sampled_from(list_paths(content)))
        kind = draw(
            strategies.sampled_from(('replace', 'leave out', 'double'))
        )
        if kind == 'replace' or not path:
            value = draw(strategies.sampled_from(ODD_VALUES))
            content = replace(content, path, lambda _, new=value: new)
            continue

        def change(parent, key=path[-1], is_doubled=kind == 'double'):
            copied = parent.copy()
            if not is_doubled:
                copied.pop(key)
            elif isinstance(copied, list):
                copied.insert(key, copied[key])
            return copied

        content = replace(content, path[:-1], change)
    return content


@strategies.composite
def odd_bytes(draw, contents, encode):
    """Draw encoded odd contents, or the bytes of a sample cut or changed."""
    data = encode(draw(contents))
    if draw(strategies.booleans()):
        return data
    position = draw(strategies.integers(0, len(data)))
    length = draw(strategies.integers(0, 9))
    inserted = draw(strategies.binary(max_size=9))
    return data[:position] + inserted + data[position + length :]


def encode_json(content) -> bytes:
    """Return JSON that may hold numbers that JSON does not know."""
    return json.dumps(content).encode()


def encode_msgpack(content) -> bytes:
    """Return msgpack; integers beyond its range become texts."""
    return msgspec.msgpack.encode(content, enc_hook=str)
