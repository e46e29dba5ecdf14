"""Lease of a node, holder's side.

Times are boot-clock seconds of the holder. The lease starts when the renewal
is sent, and a witness's promise when the renewal is received, so the lease
ends first.
"""

import collections.abc
import dataclasses
import math

from sesamejunction.model import messages
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.model import valueclass

# Two of three: any two promises and any two declarations have a witness in
# common.
PROMISES_NEEDED = 2
# After releases by two of three, at most one former witness may still declare
# the holder ended.
RELEASES_NEEDED = 2

# A node without a lease this long after it read its witness set ends its
# incarnation. Its witnesses may have ended while the set was in transition,
# and a set in transition cannot be replaced.
FIRST_LEASE_S = 3.0
# A witness that has not answered for this long is replaced while the lease is
# valid. It may have declared the node ended, which it never revokes, and the
# loss of one more witness would then end the lease.
SILENT_S = 2.0

NEVER = -math.inf


@valueclass.define
class LeaseHolder:
    """State of a node's lease as the node itself knows it.

    ``previous`` holds the former witnesses while the set is in transition.
    ``acks`` and ``former_acks`` map a witness to the newest ``sent_at`` that
    it has answered under ``version`` and under the version before.
    ``releases`` holds the former witnesses that have released the node.
    ``adopted_at`` is when the node read this version. ``ended`` is final.
    """

    incarnation: int
    version: int = 0
    adopted_at: float = NEVER
    witnesses: tuple[int, ...] = ()
    previous: tuple[int, ...] | None = None
    acks: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    former_acks: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    releases: frozenset[int] = frozenset()
    end: float = NEVER
    ended: bool = False


def adopt_witness_set(
    holder: LeaseHolder, witness_set: state.WitnessSet, now: float
) -> LeaseHolder:
    """Return the holder after it has read a witness set from the log."""
    if witness_set.version > holder.version:
        return dataclasses.replace(
            holder,
            version=witness_set.version,
            adopted_at=now,
            witnesses=witness_set.witnesses,
            previous=witness_set.previous,
            acks={},
            former_acks=holder.acks,
            releases=frozenset(),
        )
    if witness_set.version == holder.version and witness_set.previous is None:
        return dataclasses.replace(holder, previous=None)
    return holder


def take_promise(
    holder: LeaseHolder, promise: messages.LeasePromise
) -> LeaseHolder:
    """Return the holder after a witness has answered a renewal.

    A promise that arrives after the lease has ended is ignored, since the
    holder has already ended its incarnation.
    """
    if holder.ended or promise.holder != holder.incarnation:
        return holder
    witness, sent_at = promise.witness, promise.sent_at
    if promise.version == holder.version and witness in holder.witnesses:
        if sent_at <= holder.acks.get(witness, NEVER):
            return holder
        acks = {**holder.acks, witness: sent_at}
        return _extend_lease(dataclasses.replace(holder, acks=acks))
    if promise.version == holder.version - 1 and _is_former_witness(
        holder, witness
    ):
        if sent_at <= holder.former_acks.get(witness, NEVER):
            return holder
        acks = {**holder.former_acks, witness: sent_at}
        return _extend_lease(dataclasses.replace(holder, former_acks=acks))
    return holder


def take_release(
    holder: LeaseHolder, release: messages.WitnessRelease
) -> LeaseHolder:
    """Return the holder after a former witness has released it."""
    if (
        release.holder != holder.incarnation
        or release.version != holder.version - 1
        or not _is_former_witness(holder, release.witness)
    ):
        return holder
    releases = holder.releases | {release.witness}
    return _extend_lease(dataclasses.replace(holder, releases=releases))


def holds_lease(holder: LeaseHolder, now: float) -> bool:
    """Return whether the lease is valid now."""
    return not holder.ended and now < holder.end


def end_if_expired(holder: LeaseHolder, now: float) -> LeaseHolder:
    """Return the holder, marked as ended if its lease has expired.

    A holder that never got a lease ends after FIRST_LEASE_S.
    """
    if holder.ended or not holder.version:
        return holder
    limit = holder.end
    if limit == NEVER:
        limit = holder.adopted_at + FIRST_LEASE_S
    if now < limit:
        return holder
    return dataclasses.replace(holder, ended=True)


def list_silent_witnesses(holder: LeaseHolder, now: float) -> list[int]:
    """Return the witnesses that no longer answer a holder with a lease.

    Empty while the set is in transition, since it can't be replaced then.
    """
    if holder.previous is not None or not holds_lease(holder, now):
        return []
    return [
        witness_id
        for witness_id in holder.witnesses
        if now - max(holder.acks.get(witness_id, NEVER), holder.adopted_at)
        > SILENT_S
    ]


def relies_on_new_set(holder: LeaseHolder) -> bool:
    """Return whether promises of the newest set extend the lease."""
    return holder.previous is None or len(holder.releases) >= RELEASES_NEEDED


def may_settle_set(holder: LeaseHolder, now: float) -> bool:
    """Return whether the change of witnesses may be recorded as complete."""
    if holder.previous is None or not relies_on_new_set(holder):
        return False
    return now < find_lease_end(holder.acks)


def list_renewals(
    holder: LeaseHolder, now: float, log_offset: int, log_age: float
) -> list[tuple[int, messages.Message]]:
    """Return the messages of one renewal round as (witness, message).

    While the set is in transition, the lease is also renewed with former
    witnesses that have not released it, under the version before. Once the
    new set answers, these are asked for a release.
    """
    if holder.ended or not holder.version:
        return []

    def renew(version, released_by):
        return messages.RenewLease(
            holder.incarnation,
            version,
            now,
            log_offset,
            log_age,
            released_by,
        )

    released_by = tuple(holder.releases) if holder.previous else ()
    message = renew(holder.version, released_by)
    addressed = [(witness_id, message) for witness_id in holder.witnesses]
    if holder.previous is None or may_settle_set(holder, now):
        return addressed
    new_set_answers = now < find_lease_end(holder.acks)
    for witness_id in holder.previous:
        if witness_id in holder.releases:
            continue
        addressed.append((witness_id, renew(holder.version - 1, ())))
        if new_set_answers:
            query = messages.WitnessReleaseQuery(
                holder.incarnation, holder.incarnation, holder.version - 1
            )
            addressed.append((witness_id, query))
    return addressed


def find_lease_end(acks) -> float:
    """Return the lease end that results from the answers of one set."""
    if len(acks) < PROMISES_NEEDED:
        return NEVER
    newest = sorted(acks.values(), reverse=True)
    sent_at = newest[PROMISES_NEEDED - 1]
    return sent_at + timing.LEASE_DURATION_S - timing.DRIFT_MARGIN_S


def _is_former_witness(holder, witness):
    return holder.previous is not None and witness in holder.previous


def _extend_lease(holder):
    end = max(holder.end, find_lease_end(holder.former_acks))
    if relies_on_new_set(holder):
        end = max(end, find_lease_end(holder.acks))
    if end == holder.end:
        return holder
    return dataclasses.replace(holder, end=end)
