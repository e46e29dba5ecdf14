"""Edits one value of a declaration file and leaves the rest unchanged."""

import os
import pathlib

import yaml

from sesamejunction.border import declarations
from sesamejunction import errors
from sesamejunction.model import state
from sesamejunction.model import valueclass


@valueclass.define
class Edit:
    """Validated new text of a declaration file, not written yet."""

    path: pathlib.Path
    text: str


def plan_standing_edit(
    directory: pathlib.Path, section: str, name: str, standing: state.Standing
) -> Edit:
    """Return the edit that sets a standing in standing.yaml.

    ``section`` is zones or targets. Raises DeclarationError when the files are
    invalid or cannot be edited.
    """
    texts = declarations.read_texts(str(directory))
    text = texts.get(declarations.STANDING, 'zones: {}\n')
    changed_text = set_standing(text, section, name, standing)
    return _validate_edit(
        directory, texts, declarations.STANDING, changed_text
    )


def plan_key_removal(directory: pathlib.Path, digest: str) -> Edit | None:
    """Return the edit that removes a caller key, None if it is not declared.

    ``digest`` is the SHA-256 of the key. Raises DeclarationError when the
    files are invalid or cannot be edited.
    """
    texts = declarations.read_texts(str(directory))
    declared = declarations.convert_files(texts)
    if digest not in {
        caller_key.digest for caller_key in declared.caller_keys
    }:
        return None
    changed_text = remove_key(texts[declarations.ORGANISATIONS], digest)
    return _validate_edit(
        directory, texts, declarations.ORGANISATIONS, changed_text
    )


def write_edit(edit: Edit) -> None:
    """Replace the file atomically; raises DeclarationError on failure."""
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
    section_node = _find_value(root, section)
    if section_node is None:
        return f'{text.rstrip()}\n{section}:\n  {name}: {standing.value}\n'
    value = _find_value(section_node, name)
    if value is not None:
        start, end = value.start_mark.index, value.end_mark.index
        return text[:start] + standing.value + text[end:]
    entry = f'{name}: {standing.value}'
    if section_node.value and not section_node.flow_style:
        first_mark = section_node.value[0][0].start_mark
        indent = ' ' * first_mark.column
        position = first_mark.index
        return f'{text[:position]}{entry}\n{indent}{text[position:]}'
    # A flow mapping or a null value is rewritten in block style.
    start, end = section_node.start_mark.index, section_node.end_mark.index
    pairs = (
        section_node.value
        if isinstance(section_node, yaml.MappingNode)
        else []
    )
    lines = [
        f'{key.value}: {value_node.value}' for key, value_node in pairs
    ] + [entry]
    block = ''.join(f'\n  {line}' for line in lines)
    return text[:start].rstrip(' ') + block + text[end:]


def remove_key(text: str, digest: str) -> str:
    """Return the text of organisations.yaml without one caller key.

    Raises DeclarationError if the key is in a flow sequence.
    """
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    for organisation in _find_value(root, 'organisations').value:
        keys = _find_value(organisation, 'caller_keys')
        if keys is None or not keys.value:
            continue
        for item in keys.value:
            if _find_value(item, 'sha256').value == digest:
                return _remove_item(text, keys, item)
    return text


def _remove_item(text, keys, item):
    if keys.flow_style:
        raise errors.DeclarationError(
            f'{declarations.ORGANISATIONS}, line {keys.start_mark.line + 1}: '
            f'the list of keys is in brackets; remove the key by hand'
        )
    lines = text.splitlines(keepends=True)
    last_line = max(value.end_mark.line for _, value in item.value)
    # A block value ends at the start of the line after it, so the last line
    # belongs to the item only if a value ends within it.
    includes_last = any(
        value.end_mark.line == last_line and value.end_mark.column > 0
        for _, value in item.value
    )
    return ''.join(
        lines[: item.start_mark.line] + lines[last_line + includes_last :]
    )


def _find_value(node, name):
    if not isinstance(node, yaml.MappingNode):
        return None
    return next(
        (value for key, value in node.value if key.value == name), None
    )


def _validate_edit(directory, texts, name, changed_text) -> Edit:
    declarations.convert_files(texts)
    declarations.convert_files({**texts, name: changed_text})
    return Edit(directory / name, changed_text)
