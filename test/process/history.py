"""Checks ownership and at-most-once in the histories of the targets."""

import collections
import dataclasses
import itertools
import math

import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One run in a target's history; times are CLOCK_BOOTTIME seconds."""

    target: str
    service: str
    request_id: str
    organisation: str
    route_key: str | None
    idempotency_key: str | None
    slot: int | None
    token: tuple[int, int] | None
    key_seen: bool
    start: float
    end: float | None
    finished: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Overlap:
    """Two targets ran work with the same key at the same time."""

    first: Entry
    second: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class OlderToken:
    """Work started with an older token than earlier work with its key."""

    first: Entry
    second: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class RanTwice:
    """Work with the same idempotency key was started twice."""

    first: Entry
    second: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class CallerKeySeen:
    """A target received a caller's secret key."""

    entry: Entry


Violation = Overlap | OlderToken | RanTwice | CallerKeySeen
ENTRY = pydantic.TypeAdapter(Entry)


def decode_lines(data: bytes) -> list[Entry]:
    """Return the entries of a history in JSON lines."""
    return [ENTRY.validate_json(line) for line in data.splitlines()]


def find_violations(entries, keyed=None) -> list[Violation]:
    """Return all violations; ``keyed`` names the services routed by key.

    Without ``keyed`` all work with a routing key is checked for owners.
    """
    found = [CallerKeySeen(run) for run in entries if run.key_seen]
    by_key = collections.defaultdict(list)
    by_idempotency_key = collections.defaultdict(list)
    for run in sorted(entries, key=lambda run: run.start):
        if run.route_key is not None and (
            keyed is None or run.service in keyed
        ):
            by_key[run.service, run.route_key].append(run)
        if run.idempotency_key is not None:
            by_idempotency_key[run.organisation, run.idempotency_key].append(
                run
            )
    for runs in by_key.values():
        found += _find_overlaps(runs)
        found += _find_older_tokens(runs)
    for runs in by_idempotency_key.values():
        found += [RanTwice(*pair) for pair in itertools.pairwise(runs)]
    return found


def _find_overlaps(runs) -> list[Overlap]:
    found = []
    # For each target the run with the latest end, of those started so far.
    latest = {}
    for run in runs:
        for target, other in latest.items():
            if target != run.target and _end_or_infinity(other) > run.start:
                found.append(Overlap(other, run))
        held = latest.get(run.target)
        if held is None or _end_or_infinity(run) > _end_or_infinity(held):
            latest[run.target] = run
    return found


def _find_older_tokens(runs) -> list[OlderToken]:
    found = []
    newest = None
    for run in runs:
        if run.token is None:
            continue
        if (
            newest is not None
            and run.token < newest.token
            and not _is_return_from_hot_slot(newest, run)
        ):
            found.append(OlderToken(newest, run))
        else:
            newest = run
    return found


def _is_return_from_hot_slot(previous, entry) -> bool:
    """Return whether a key returned from its hot slot to its fixed slot.

    Hot slots are numbered after the fixed ones and have their own tokens. At
    the return both slots have the same order, hence the same owner.
    """
    if previous.slot is None or entry.slot is None:
        return False
    return entry.slot < previous.slot and entry.target == previous.target


def _end_or_infinity(entry) -> float:
    return math.inf if entry.end is None else entry.end
