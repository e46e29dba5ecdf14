"""Finds the log messages of one request."""

import collections.abc
import json


def explain_request(
    request_id: str, lines: collections.abc.Iterable[str]
) -> list[dict]:
    """Return the messages about a request, oldest first.

    Attempts have the id of their request, followed by a dot and a number.
    Text before the JSON of a line, such as a time or a node's name, is
    skipped. Lines without valid JSON are ignored.
    """
    messages = []
    for line in lines:
        if request_id not in line:
            continue
        message = read_message(line)
        if message is None:
            continue
        logged_id = str(message.get('request', ''))
        if logged_id == request_id or logged_id.startswith(f'{request_id}.'):
            messages.append(message)
    return sorted(messages, key=lambda logged: logged.get('timestamp', 0.0))


def read_message(line: str) -> dict | None:
    """Return the JSON message of a log line, None if there is none."""
    start = line.find('{')
    if start < 0:
        return None
    try:
        return json.loads(line[start:])
    except ValueError:
        return None


OMITTED_FIELDS = frozenset(
    ('task_uuid', 'task_level', 'timestamp', 'message_type', 'node')
)


def describe_message(message: dict) -> str:
    """Format a message as one line: time, node, event and fields."""
    fields = ', '.join(
        f'{name}={value}'
        for name, value in message.items()
        if name not in OMITTED_FIELDS
    )
    return (
        f'{message.get("timestamp", 0.0):.3f} {message.get("node", "?")} '
        f'{message.get("message_type", "?")}: {fields}'
    )
