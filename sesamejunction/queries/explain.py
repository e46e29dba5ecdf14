"""Finds the log lines that belong to one request, in order of time."""

import collections.abc
import json


def explain_request(
    request_id: str, lines: collections.abc.Iterable[str]
) -> list[dict]:
    """Return the messages about a request, oldest first.

    Attempts of a request carry its id and numbers behind dots. Text before
    the JSON of a line, such as a time or a node's name, is passed over.
    Raises nothing for lines that are not JSON; they are left out.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        message = read_message(line)
        if message is None:
            continue
        named = str(message.get('request', ''))
        if named == request_id or named.startswith(f'{request_id}.'):
            found.append(message)
    return sorted(found, key=lambda one: one.get('timestamp', 0.0))


def read_message(line: str) -> dict | None:
    """Return the message of a log line, None when it has none."""
    start = line.find('{')
    if start < 0:
        return None
    try:
        return json.loads(line[start:])
    except ValueError:
        return None


LEFT_OUT = frozenset(
    ('task_uuid', 'task_level', 'timestamp', 'message_type', 'node')
)


def describe_message(message: dict) -> str:
    """Return one line: time, node, what happened and its inputs."""
    fields = ', '.join(
        f'{name}={value}'
        for name, value in message.items()
        if name not in LEFT_OUT
    )
    return (
        f'{message.get("timestamp", 0.0):.3f} {message.get("node", "?")} '
        f'{message.get("message_type", "?")}: {fields}'
    )
