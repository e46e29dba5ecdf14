"""Changes one value in a declaration file and keeps the rest as written."""

import dataclasses
import os
import pathlib

import yaml

from sesamejunction.border import declarations
from sesamejunction import errors
from sesamejunction.model import state


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A checked new text of a declaration file, not written yet."""

    path: pathlib.Path
    text: str


def plan_standing_edit(
    directory: pathlib.Path, section: str, name: str, standing: state.Standing
) -> Edit:
    """Return the edit that sets a standing in standing.yaml.

    ``section`` is zones or targets. Raises DeclarationError when the files
    are not valid or cannot be changed.
    """
    texts = declarations.read_texts(str(directory))
    text = texts.get(declarations.STANDING, 'zones: {}\n')
    changed = set_standing(text, section, name, standing)
    return _check(directory, texts, declarations.STANDING, changed)


def plan_key_removal(directory: pathlib.Path, digest: str) -> Edit | None:
    """Return the edit that removes a caller key, None if it is not there."""
    texts = declarations.read_texts(str(directory))
    declared = declarations.convert_files(texts)
    if digest not in {one.digest for one in declared.caller_keys}:
        return None
    changed = drop_key(texts[declarations.ORGANISATIONS], digest)
    return _check(directory, texts, declarations.ORGANISATIONS, changed)


def write_edit(edit: Edit) -> None:
    """Replace the file; raises DeclarationError when that fails."""
    partial = edit.path.with_name(f'.{edit.path.name}.partial')
    try:
        partial.write_text(edit.text, encoding='utf-8')
        os.replace(partial, edit.path)
    except OSError as error:
        raise errors.DeclarationError(
            f'{edit.path}: cannot be written ({error}); the ticket is in '
            f'force, so change the file by hand'
        ) from None


def set_standing(text, section, name, standing) -> str:
    """Return the text of standing.yaml with one standing set."""
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    found = _find_value(root, section)
    if found is None:
        return f'{text.rstrip()}\n{section}:\n  {name}: {standing.value}\n'
    value = _find_value(found, name)
    if value is not None:
        start, end = value.start_mark.index, value.end_mark.index
        return text[:start] + standing.value + text[end:]
    entry = f'{name}: {standing.value}'
    if found.value and not found.flow_style:
        first = found.value[0][0].start_mark
        margin = ' ' * first.column
        at = first.index
        return f'{text[:at]}{entry}\n{margin}{text[at:]}'
    # A flow mapping or null is written anew as a block.
    start, end = found.start_mark.index, found.end_mark.index
    kept = found.value if isinstance(found, yaml.MappingNode) else []
    lines = [f'{key.value}: {one.value}' for key, one in kept] + [entry]
    block = ''.join(f'\n  {line}' for line in lines)
    return text[:start].rstrip(' ') + block + text[end:]


def drop_key(text: str, digest: str) -> str:
    """Return the text of organisations.yaml without one caller key."""
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    for organisation in _find_value(root, 'organisations').value:
        keys = _find_value(organisation, 'caller_keys')
        if keys is None or not keys.value:
            continue
        for item in keys.value:
            if _find_value(item, 'sha256').value == digest:
                return _cut_lines(text, keys, item)
    return text


def _cut_lines(text, keys, item):
    if keys.flow_style:
        raise errors.DeclarationError(
            f'{declarations.ORGANISATIONS}, line {keys.start_mark.line + 1}: '
            f'the list of keys stands in brackets; remove the key by hand'
        )
    lines = text.splitlines(keepends=True)
    last = max(value.end_mark.line for _, value in item.value)
    # The end of a block value is the start of the line after it.
    ends_inside = any(
        value.end_mark.line == last and value.end_mark.column > 0
        for _, value in item.value
    )
    return ''.join(lines[: item.start_mark.line] + lines[last + ends_inside :])


def _find_value(node, name):
    if not isinstance(node, yaml.MappingNode):
        return None
    return next(
        (value for key, value in node.value if key.value == name), None
    )


def _check(directory, texts, name, changed) -> Edit:
    declarations.convert_files(texts)
    declarations.convert_files({**texts, name: changed})
    return Edit(directory / name, changed)
