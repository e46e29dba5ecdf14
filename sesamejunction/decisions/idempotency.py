"""Decides whether a request with an idempotency key may run.

All times are wall-clock seconds.
"""

import dataclasses
import uuid

from sesamejunction.model import once
from sesamejunction.model import requests
from sesamejunction.model import timing

KEY_VERSION = 7
MAX_RECORDS = 200_000
# Larger answer bodies are not kept, and when all kept ones exceed
# MAX_KEPT_BYTES, the oldest are dropped. Their records remain.
MAX_ANSWER_BYTES = 64 * 1024
MAX_KEPT_BYTES = 32 * 1024 * 1024
# Limits on the records that are sent with a release. Callers retry within
# their deadline or not at all, and a large release would delay the slot's
# move.
MAX_MOVED_AGE_S = 30.0
MAX_MOVED_BYTES = 256 * 1024
MAX_MOVED_ANSWER_BYTES = 1024
# Approximate encoded size of a record's expiry, progress, status and tags.
RECORD_BYTES = 32


def read_key_time(key: str) -> float | None:
    """Return the timestamp of a version 7 UUID in seconds.

    Returns None for any other text.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != KEY_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def _build_refusal(code, outcome, message, **details):
    return requests.Refusal(code, outcome, message, **details)


def _refuse_as_unknown(message, code=requests.Code.OWNER_CHANGED):
    return _build_refusal(code, requests.Outcome.UNKNOWN, message)


def check_key_time(
    key_time: float, known_since: float, now: float
) -> requests.Refusal | None:
    """Return the refusal of a key made at ``key_time``, None if it may run.

    ``known_since`` is the time from which this owner's records are
    complete. Records are kept for 600 s, so a request with an older key may
    have run although it has no record any more.
    """
    clock_error_s = timing.MAX_CALLER_CLOCK_ERROR_S
    if key_time > now + clock_error_s:
        return _build_refusal(
            requests.Code.IDEMPOTENCY_KEY_BAD,
            requests.Outcome.NOT_RUN,
            'the Idempotency-Key is from the future; correct the clock and '
            'send a new key',
        )
    if key_time < now - (timing.IDEMPOTENCY_RETENTION_S - clock_error_s):
        return _refuse_as_unknown(
            'the Idempotency-Key is older than its record is kept; look up '
            'the effect before sending a new key'
        )
    if key_time < known_since + clock_error_s:
        return _refuse_as_unknown(
            'the key was made before this node became the owner; look up '
            'the effect before sending a new key'
        )
    return None


def answer_repeat(
    record: once.Record,
) -> once.AlreadyAnswered | requests.Refusal:
    """Return the reply to a repeat of a recorded request."""
    match record:
        case once.Record(progress=once.Progress.RUNNING):
            # The first request is still running. This one does not run, and
            # the caller must retry with the same key.
            return _build_refusal(
                requests.Code.RUNNING,
                requests.Outcome.UNKNOWN,
                'the first request with this key still runs; ask again '
                'with the same key',
                retry_after_s=1.0,
            )
        case once.Record(progress=once.Progress.ANSWERED, answer=None):
            return _refuse_as_unknown(
                'the request ran, but its answer is no longer kept; look up '
                'the effect',
                requests.Code.LOST,
            )
        case once.Record(progress=once.Progress.ANSWERED, answer=answer):
            return once.AlreadyAnswered(answer)
        case _:
            return _refuse_as_unknown(
                'the first request with this key may have run; look up the '
                'effect before sending a new key',
                requests.Code.LOST,
            )


def limit_transfer(transfer: once.Transfer, now: float) -> once.Transfer:
    """Return the transfer without old records and large answers.

    ``known_since`` is raised to the time of the newest omitted key, so the
    next owner refuses that key and all older ones.
    """
    newest_first = sorted(
        (read_key_time(candidate.identity.idempotency_key), index, candidate)
        for index, candidate in enumerate(transfer.entries)
    )[::-1]
    known_since, size, kept = transfer.known_since, 0, []
    for key_time, _, entry in newest_first:
        entry = _shrink_entry(entry)
        size += measure_entry(entry)
        if key_time < now - MAX_MOVED_AGE_S or size > MAX_MOVED_BYTES:
            known_since = max(known_since, key_time)
            break
        kept.append(entry)
    return dataclasses.replace(
        transfer, known_since=known_since, entries=tuple(kept[::-1])
    )


def measure_entry(entry: once.Entry) -> int:
    """Return the approximate encoded size of the entry in a release."""
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
    return RECORD_BYTES + body + sum(len(item.encode()) + 2 for item in texts)


def _shrink_entry(entry):
    answer = entry.record.answer
    if answer is None or len(answer.body) <= MAX_MOVED_ANSWER_BYTES:
        return entry
    record = dataclasses.replace(entry.record, answer=None)
    return dataclasses.replace(entry, record=record)


@dataclasses.dataclass(slots=True)
class Ledger:
    """Idempotency records in the order in which they were added.

    ``answered`` maps identities to the sizes of their kept answers, oldest
    first; ``slots`` holds the recorded identities of each service and slot.
    ``kept_bytes`` is the total size of the kept answers.
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
        """Record a new request and return MayRun.

        Returns AlreadyAnswered or a Refusal if the request must not run.
        """
        known_record = self.records.get(message.identity)
        if known_record is not None:
            return answer_repeat(known_record)
        key_time = read_key_time(message.identity.idempotency_key)
        if key_time is None:
            return _build_refusal(
                requests.Code.IDEMPOTENCY_KEY_BAD,
                requests.Outcome.NOT_RUN,
                'the Idempotency-Key must be a UUID of version 7',
            )
        refusal = check_key_time(key_time, known_since, now)
        if refusal is not None:
            return refusal
        self.expire(now)
        if len(self.records) >= self.max_records:
            return _build_refusal(
                requests.Code.OVERLOADED,
                requests.Outcome.NOT_RUN,
                'too many once-only requests are recorded; retry later',
                retry_after_s=10.0,
            )
        # A key's time may be ahead of the clock by the allowed error. It is
        # refused for its age only 600 s after that time, so the record must
        # be kept as long.
        expires = max(key_time, now) + timing.IDEMPOTENCY_RETENTION_S
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
        """Record the result of a running request."""
        known_record = self._find_own(message)
        if known_record is not None:
            self._put(
                message.identity,
                dataclasses.replace(
                    known_record,
                    progress=message.progress,
                    answer=message.answer,
                ),
            )

    def forget(self, message: once.Forget) -> None:
        """Delete the record of a request that is known not to have run."""
        if self._find_own(message) is not None:
            self._remove(message.identity)

    def expire(self, now: float) -> None:
        """Delete expired records, up to the first that has not expired."""
        while self.records:
            identity = next(iter(self.records))
            if self.records[identity].expires > now:
                return
            self._remove(identity)

    def export(self, service: str, slot: int) -> tuple[once.Entry, ...]:
        """Return the records of a slot without deleting them."""
        return tuple(
            once.Entry(identity, self.records[identity])
            for identity in self.slots.get((service, slot), ())
        )

    def merge_transfer(self, transfer: once.Transfer) -> None:
        """Add the records of a former owner, without replacing own ones.

        The result of a request that was running there will not be reported
        here, so it becomes unknown.
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
        # A late message of one attempt must not change the record of another
        # attempt. Otherwise a third attempt would run the request again.
        known_record = self.records.get(message.identity)
        if (
            known_record is None
            or known_record.progress is not once.Progress.RUNNING
        ):
            return None
        return (
            known_record
            if known_record.request_id == message.request_id
            else None
        )

    def _put(self, identity, record):
        self.records[identity] = record
        slot_key = record.service, record.slot
        self.slots.setdefault(slot_key, {})[identity] = None
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
        slot_key = record.service, record.slot
        self.slots[slot_key].pop(identity)
        if not self.slots[slot_key]:
            del self.slots[slot_key]
        self.kept_bytes -= self.answered.pop(identity, 0)
