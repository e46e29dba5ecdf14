"""Decides whether a once-only request may run; all times wall-clock."""

import dataclasses
import uuid

from sesamejunction.model import once
from sesamejunction.model import requests
from sesamejunction.model import timing

KEY_VERSION = 7
MAX_RECORDS = 200_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_KEPT_BYTES = 32 * 1024 * 1024
# What moves with a release. Callers repeat within their deadline or not at
# all, and a large release would hold up the move of the slot.
MOVED_KEEP_S = 30.0
MAX_MOVED_BYTES = 256 * 1024
MAX_MOVED_ANSWER_BYTES = 1024
# Expiry, progress, status and tags of one record on the wire.
RECORD_BYTES = 32


def read_key_time(key: str) -> float | None:
    """Return the seconds at which a UUID of version 7 was made.

    Returns None for any other text.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != KEY_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def _refuse(code, outcome, message, **details):
    return requests.Refusal(code, outcome, message, **details)


def _unknown(message, code=requests.Code.OWNER_CHANGED):
    return _refuse(code, requests.Outcome.UNKNOWN, message)


def judge_time(
    made: float, known_since: float, now: float
) -> requests.Refusal | None:
    """Return why a key of this time must not run, None when it may.

    ``known_since`` is the time from which this owner's records are
    complete. Records are kept for 600 s, so a key older than that could
    have run without leaving a record.
    """
    error = timing.MAX_CALLER_CLOCK_ERROR_S
    if made > now + error:
        return _refuse(
            requests.Code.IDEMPOTENCY_KEY_BAD,
            requests.Outcome.NOT_RUN,
            'the Idempotency-Key is from the future; correct the clock and '
            'send a new key',
        )
    if made < now - (timing.IDEMPOTENCY_RETENTION_S - error):
        return _unknown(
            'the Idempotency-Key is older than its record is kept; look up '
            'the effect before sending a new key'
        )
    if made < known_since + error:
        return _unknown(
            'the key was made before this node became the owner; look up '
            'the effect before sending a new key'
        )
    return None


def judge_repeat(
    record: once.Record,
) -> once.AlreadyAnswered | requests.Refusal:
    """Return the reply to a repeat of a recorded request."""
    match record:
        case once.Record(progress=once.Progress.RUNNING):
            # Not run by this repeat: the first one still runs, so the
            # caller may only ask again, with the same key.
            return _refuse(
                requests.Code.RUNNING,
                requests.Outcome.UNKNOWN,
                'the first request with this key still runs; ask again '
                'with the same key',
                retry_after_s=1.0,
            )
        case once.Record(progress=once.Progress.ANSWERED, answer=None):
            return _unknown(
                'the request ran, but its answer is no longer kept; look up '
                'the effect',
                requests.Code.LOST,
            )
        case once.Record(progress=once.Progress.ANSWERED, answer=answer):
            return once.AlreadyAnswered(answer)
        case _:
            return _unknown(
                'the first request with this key may have run; look up the '
                'effect before sending a new key',
                requests.Code.LOST,
            )


def limit_transfer(transfer: once.Transfer, now: float) -> once.Transfer:
    """Return the transfer without old records and large answers.

    ``known_since`` rises to the time of the newest key that is left out, so
    the next owner refuses that key and all older ones.
    """
    newest_first = sorted(
        (read_key_time(one.identity.idempotency_key), number, one)
        for number, one in enumerate(transfer.entries)
    )[::-1]
    known_since, size, kept = transfer.known_since, 0, []
    for made, _, entry in newest_first:
        entry = _shrink_entry(entry)
        size += measure_entry(entry)
        if made < now - MOVED_KEEP_S or size > MAX_MOVED_BYTES:
            known_since = max(known_since, made)
            break
        kept.append(entry)
    return dataclasses.replace(
        transfer, known_since=known_since, entries=tuple(kept[::-1])
    )


def measure_entry(entry: once.Entry) -> int:
    """Return about how many bytes the entry takes in a release."""
    identity, answer = entry.identity, entry.record.answer
    texts = [
        identity.organisation,
        identity.route_key or '',
        identity.idempotency_key,
    ]
    body = 0
    if answer is not None:
        body = len(answer.body)
        texts.extend(text for header in answer.headers for text in header)
    return RECORD_BYTES + body + sum(len(one.encode()) + 2 for one in texts)


def _shrink_entry(entry):
    answer = entry.record.answer
    if answer is None or len(answer.body) <= MAX_MOVED_ANSWER_BYTES:
        return entry
    record = dataclasses.replace(entry.record, answer=None)
    return dataclasses.replace(entry, record=record)


@dataclasses.dataclass(slots=True)
class Ledger:
    """Records in order of their making.

    ``answered`` holds the size of each kept answer, oldest first;
    ``slots`` the identities recorded for each service and slot.
    """

    records: dict[once.Identity, once.Record] = dataclasses.field(
        default_factory=dict
    )
    answered: dict[once.Identity, int] = dataclasses.field(
        default_factory=dict
    )
    slots: dict[tuple[str, int], dict] = dataclasses.field(
        default_factory=dict
    )
    kept_bytes: int = 0
    max_records: int = MAX_RECORDS
    max_kept_bytes: int = MAX_KEPT_BYTES

    def begin(self, message: once.Begin, known_since: float, now: float):
        """Return Run and record the request, or Kept or a Refusal."""
        found = self.records.get(message.identity)
        if found is not None:
            return judge_repeat(found)
        made = read_key_time(message.identity.idempotency_key)
        if made is None:
            return _refuse(
                requests.Code.IDEMPOTENCY_KEY_BAD,
                requests.Outcome.NOT_RUN,
                'the Idempotency-Key must be a UUID of version 7',
            )
        refusal = judge_time(made, known_since, now)
        if refusal is not None:
            return refusal
        self.expire(now)
        if len(self.records) >= self.max_records:
            return _refuse(
                requests.Code.OVERLOADED,
                requests.Outcome.NOT_RUN,
                'too many once-only requests are recorded; retry later',
                retry_after_s=10.0,
            )
        # A key may be up to the clock error ahead, and is refused for its
        # age only 600 s after its own time.
        expires = max(made, now) + timing.IDEMPOTENCY_RETENTION_S
        record = once.Record(
            message.service,
            message.slot,
            once.Progress.RUNNING,
            expires,
            message.request_id,
        )
        self._put(message.identity, record)
        return once.MayRun()

    def settle(self, message: once.RecordResult) -> None:
        """Record the result of a request that was begun."""
        found = self._find_own(message)
        if found is not None:
            self._put(
                message.identity,
                dataclasses.replace(
                    found, progress=message.progress, answer=message.answer
                ),
            )

    def forget(self, message: once.Forget) -> None:
        """Drop the record of a request that is known not to have run."""
        if self._find_own(message) is not None:
            self._remove(message.identity)

    def expire(self, now: float) -> None:
        """Drop expired records; stops at the first that has not."""
        while self.records:
            identity = next(iter(self.records))
            if self.records[identity].expires > now:
                return
            self._remove(identity)

    def export(self, service: str, slot: int) -> tuple[once.Entry, ...]:
        """Return the records of a slot, which are kept here too."""
        return tuple(
            once.Entry(identity, self.records[identity])
            for identity in self.slots.get((service, slot), ())
        )

    def merge_transfer(self, transfer: once.Transfer) -> None:
        """Add the records of a former owner, which never replace own ones.

        A request that was running there has no one to settle it here.
        """
        for entry in transfer.entries:
            if entry.identity in self.records:
                continue
            record = entry.record
            if record.progress is once.Progress.RUNNING:
                record = dataclasses.replace(
                    record, progress=once.Progress.UNKNOWN
                )
            self._put(entry.identity, record)

    def _find_own(self, message):
        # Another attempt's record must survive a late message of this one,
        # else a third attempt would run the request again.
        found = self.records.get(message.identity)
        if found is None or found.progress is not once.Progress.RUNNING:
            return None
        return found if found.request_id == message.request_id else None

    def _put(self, identity, record):
        self.records[identity] = record
        place = record.service, record.slot
        self.slots.setdefault(place, {})[identity] = None
        if record.answer is None:
            return
        size = len(record.answer.body)
        if size > MAX_ANSWER_BYTES:
            self._drop_answer(identity)
            return
        self.answered[identity] = size
        self.kept_bytes += size
        while self.kept_bytes > self.max_kept_bytes:
            oldest = next(iter(self.answered))
            self.kept_bytes -= self.answered.pop(oldest)
            self._drop_answer(oldest)

    def _drop_answer(self, identity):
        self.records[identity] = dataclasses.replace(
            self.records[identity], answer=None
        )

    def _remove(self, identity):
        record = self.records.pop(identity)
        place = record.service, record.slot
        self.slots[place].pop(identity)
        if not self.slots[place]:
            del self.slots[place]
        self.kept_bytes -= self.answered.pop(identity, 0)
