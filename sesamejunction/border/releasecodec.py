"""Converts slot releases and idempotency records to and from protobuf."""

from sesamejunction.border.proto import peers_pb2
from sesamejunction.model import once
from sesamejunction.model import owning

PROGRESS = {
    once.Progress.UNKNOWN: peers_pb2.Progress.UNKNOWN,
    once.Progress.RUNNING: peers_pb2.Progress.RUNNING,
    once.Progress.ANSWERED: peers_pb2.Progress.ANSWERED,
}
PROGRESS_FROM_WIRE = {
    number: model_progress for model_progress, number in PROGRESS.items()
}


def encode_releases(releases) -> list[peers_pb2.SlotRelease]:
    """Return the wire form of releases."""
    return [
        peers_pb2.SlotRelease(
            service=release.service,
            slot=release.slot,
            epoch=release.epoch,
            member=release.member,
            known_since=release.known_since,
            records=map(_encode_entry, release.entries),
        )
        for release in releases
    ]


def decode_releases(releases) -> tuple[owning.SlotRelease, ...]:
    """Return the releases of a wire message."""
    return tuple(
        owning.SlotRelease(
            wire_release.service,
            wire_release.slot,
            wire_release.epoch,
            wire_release.member,
            wire_release.known_since
            if wire_release.HasField('known_since')
            else None,
            tuple(
                _decode_entry(wire_release.service, wire_release.slot, record)
                for record in wire_release.records
            ),
        )
        for wire_release in releases
    )


def _encode_entry(entry):
    identity, record = entry.identity, entry.record
    wire_record = peers_pb2.OnceRecord(
        organisation=identity.organisation,
        route_key=identity.route_key,
        idempotency_key=identity.idempotency_key,
        progress=PROGRESS[record.progress],
        expires=record.expires,
    )
    if record.answer is not None:
        wire_record.answer.CopyFrom(_encode_answer(record.answer))
    return wire_record


def _encode_answer(answer):
    return peers_pb2.KeptAnswer(
        status=answer.status,
        headers=[
            peers_pb2.Header(name=name, value=value)
            for name, value in answer.headers
        ],
        body=answer.body,
    )


def _decode_entry(service, slot, wire_record) -> once.Entry:
    route_key = (
        wire_record.route_key if wire_record.HasField('route_key') else None
    )
    identity = once.Identity(
        wire_record.organisation, route_key, wire_record.idempotency_key
    )
    # Values that only a newer version has are treated as unknown.
    progress = PROGRESS_FROM_WIRE.get(
        wire_record.progress, once.Progress.UNKNOWN
    )
    answer = None
    if wire_record.HasField('answer'):
        headers = tuple(
            (header.name, header.value)
            for header in wire_record.answer.headers
        )
        answer = once.KeptAnswer(
            wire_record.answer.status, headers, wire_record.answer.body
        )
    # No attempt runs under the record any more, so its request id is empty.
    record = once.Record(
        service, slot, progress, wire_record.expires, '', answer
    )
    return once.Entry(identity, record)
