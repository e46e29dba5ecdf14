"""Frozen data classes that are cheap to define.

``dataclasses.dataclass`` compiles up to six methods for each class. A node has
some 300 such classes, and compiling their methods took a third of the time in
which its process loads. Here only the constructor is compiled; all classes
share the other methods.
"""

import dataclasses
import operator
import typing

# Stands for an argument that was not given, if its default is made anew.
ABSENT = object()


@typing.dataclass_transform(frozen_default=True)
def define(cls: type) -> type:
    """Return the class as a data class with slots and frozen fields.

    It is equal to ``dataclasses.dataclass(frozen=True, slots=True)``, except
    that ``repr`` and comparisons use all fields.
    """
    made = dataclasses.dataclass(init=False, repr=False, eq=False, slots=True)(
        cls
    )
    fields = dataclasses.fields(made)
    made.__init__ = build_constructor(made, fields)
    made.__eq__, made.__hash__ = build_comparison(fields)
    made.__repr__ = describe
    made.__setattr__ = refuse_change
    made.__delattr__ = refuse_deletion
    made.__getstate__ = read_fields
    made.__setstate__ = restore_fields
    return made


def build_constructor(cls: type, fields: tuple):
    """Return the method ``__init__``, compiled for the fields."""
    names = {'set_field': object.__setattr__, 'ABSENT': ABSENT}
    parameters, lines = ['self'], []
    for field in fields:
        name, value = field.name, field.name
        parameter = name
        if field.default is not dataclasses.MISSING:
            names[f'default_{name}'] = field.default
            parameter = f'{name}=default_{name}'
        elif field.default_factory is not dataclasses.MISSING:
            names[f'make_{name}'] = field.default_factory
            parameter = f'{name}=ABSENT'
            value = f'make_{name}() if {name} is ABSENT else {name}'
        parameters.append(parameter)
        lines.append(f'    set_field(self, {name!r}, {value})')
    if hasattr(cls, '__post_init__'):
        lines.append('    self.__post_init__()')
    source = '\n'.join(
        (f'def __init__({", ".join(parameters)}):', *(lines or ['    pass']))
    )
    exec(source, names)
    constructor = names['__init__']
    constructor.__qualname__ = f'{cls.__qualname__}.__init__'
    return constructor


def build_comparison(fields: tuple) -> tuple:
    """Return the methods ``__eq__`` and ``__hash__``."""
    names = [field.name for field in fields]
    if len(names) > 1:
        read = operator.attrgetter(*names)
    else:

        def read(instance):
            return tuple(getattr(instance, name) for name in names)

    def equals(self, other):
        if other.__class__ is not self.__class__:
            return NotImplemented
        return read(self) == read(other)

    def compute_hash(self):
        return hash(read(self))

    return equals, compute_hash


def describe(self) -> str:
    """Return the name of the class with its fields."""
    values = ', '.join(
        f'{field.name}={getattr(self, field.name)!r}'
        for field in dataclasses.fields(self)
    )
    return f'{type(self).__qualname__}({values})'


def refuse_change(self, name, _value):
    """Refuse to set a field."""
    raise dataclasses.FrozenInstanceError(f'cannot assign to field {name!r}')


def refuse_deletion(self, name):
    """Refuse to delete a field."""
    raise dataclasses.FrozenInstanceError(f'cannot delete field {name!r}')


def read_fields(self) -> list:
    """Return the values of all fields, to copy an instance."""
    return [getattr(self, field.name) for field in dataclasses.fields(self)]


def restore_fields(self, values) -> None:
    """Set the fields of a copy."""
    for field, value in zip(dataclasses.fields(self), values, strict=True):
        object.__setattr__(self, field.name, value)
