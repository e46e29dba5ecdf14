"""Frozen data classes that are cheap to define."""

import copy
import dataclasses
import pickle
import subprocess
import sys

import pytest

from sesamejunction.model import valueclass


@valueclass.define
class Shelf:
    """Has fields of each kind."""

    name: str
    size: int = 3
    books: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class PlainShelf:
    """The same, defined by the standard library."""

    name: str
    size: int = 3
    books: list = dataclasses.field(default_factory=list)


@valueclass.define
class Lone:
    """Has one field."""

    value: object


@valueclass.define
class Empty:
    """Has no field."""


@valueclass.define
class Checked:
    """Checks its field."""

    size: int

    def __post_init__(self):
        if self.size < 0:
            raise ValueError('the size is negative')


# Guards against a class that behaves otherwise than the data class that it
# stands for.
@pytest.mark.parametrize(
    ('arguments', 'named'),
    [
        (('a',), {}),
        (('a', 5), {}),
        (('a',), {'books': [1]}),
        ((), {'name': 'a', 'size': 4}),
    ],
)
def test_instances_are_those_of_a_data_class(arguments, named):
    made, plain = Shelf(*arguments, **named), PlainShelf(*arguments, **named)
    assert dataclasses.asdict(made) == dataclasses.asdict(plain)
    assert repr(made) == repr(plain).removeprefix('Plain')
    assert made == Shelf(*arguments, **named)
    assert made != dataclasses.replace(made, size=99)
    assert made != plain
    match made:
        case Shelf(name=name):
            assert name == 'a'


@pytest.mark.parametrize(
    ('arguments', 'named'), [((), {}), ((1, 2, 3, 4), {})]
)
def test_wrong_arguments_are_refused(arguments, named):
    with pytest.raises(TypeError):
        Shelf(*arguments, **named)


def test_defaults_are_made_anew():
    # Guards against instances that share a default value.
    assert Shelf('a').books is not Shelf('a').books


@pytest.mark.parametrize(
    ('one', 'same', 'other'),
    [
        (Lone(1), Lone(1), Lone(2)),
        (Lone((1, 2)), Lone((1, 2)), Lone(None)),
        (Empty(), Empty(), Lone(())),
        (Checked(1), Checked(1), Checked(2)),
    ],
)
def test_comparison_and_hash_use_all_fields(one, same, other):
    assert one == same and hash(one) == hash(same)
    assert one != other and len({one, same, other}) == 2


@pytest.mark.parametrize('protocol', [2, pickle.HIGHEST_PROTOCOL])
def test_copies_are_equal(protocol):
    made = Shelf('a', 2, [1])
    assert copy.copy(made) == copy.deepcopy(made) == made
    assert pickle.loads(pickle.dumps(made, protocol)) == made


def test_fields_cannot_change():
    made = Shelf('a')
    with pytest.raises(dataclasses.FrozenInstanceError):
        made.size = 4
    with pytest.raises(dataclasses.FrozenInstanceError):
        del made.size
    with pytest.raises(dataclasses.FrozenInstanceError):
        made.other = 4


def test_a_field_can_be_checked():
    with pytest.raises(ValueError):
        Checked(-1)


COUNTING_CODE = """
import sys
compiled = []
sys.addaudithook(
    lambda event, arguments: compiled.append(arguments[1])
    if event == 'compile' and arguments[1] == '<string>' else None
)
from sesamejunction.ui import hosted
print(len(compiled))
"""
# 1,500 with those of the libraries; 2,800 with six methods for each class.
MOST_COMPILED = 2000


def test_start_compiles_little():
    # Guards against a start that takes a third longer, as each start did when
    # six methods were compiled for each of 300 classes. A fleet that restarts
    # pays for it at each node at the same moment.
    count = int(subprocess.check_output([sys.executable, '-c', COUNTING_CODE]))
    assert count <= MOST_COMPILED, count
