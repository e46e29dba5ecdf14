"""Decides the holder's side of a node's lease.

Times are boot-clock seconds of the holder. The lease counts from before the
renewal was sent, a witness's promise from its receipt, so the lease ends
first.
"""

import collections.abc
import dataclasses
import math

from sesamejunction.model import messages
from sesamejunction.model import state
from sesamejunction.model import timing

# Two of three: any two promises and any two declarations share a witness.
PROMISES_NEEDED = 2
# Two of three releases leave at most one old witness that may declare.
RELEASES_NEEDED = 2

# A node that has got no lease this long after it read its witness set ends its
# incarnation. Its witnesses may have ended while the set was being changed,
# and such a set cannot be replaced.
FIRST_LEASE_S = 3.0
# A witness without an answer for this long is replaced while the lease holds.
# It may have declared, which it never takes back, and without it the loss of
# one more witness would end the lease.
SILENT_S = 2.0

NEVER = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseHolder:
    """A node's lease as the node itself sees it.

    ``previous`` holds the old witnesses while the set changes; ``acks`` and
    ``old_acks`` map a witness to the newest ``sent_at`` that it has answered
    under ``version`` and under the version before; ``releases`` are the old
    witnesses that have released. ``adopted_at`` is when the node read this
    version. ``ended`` is never taken back.
    """

    incarnation: int
    version: int = 0
    adopted_at: float = NEVER
    witnesses: tuple[int, ...] = ()
    previous: tuple[int, ...] | None = None
    acks: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    old_acks: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    releases: frozenset[int] = frozenset()
    end: float = NEVER
    ended: bool = False


def adopt_witness_set(
    holder: LeaseHolder, found: state.WitnessSet, now: float
) -> LeaseHolder:
    """Return the holder after it has read its witness set in the log."""
    if found.version > holder.version:
        return dataclasses.replace(
            holder,
            version=found.version,
            adopted_at=now,
            witnesses=found.witnesses,
            previous=found.previous,
            acks={},
            old_acks=holder.acks,
            releases=frozenset(),
        )
    if found.version == holder.version and found.previous is None:
        return dataclasses.replace(holder, previous=None)
    return holder


def take_promise(
    holder: LeaseHolder, promise: messages.LeasePromise
) -> LeaseHolder:
    """Return the holder after a witness has answered a renewal.

    A promise that arrives after the lease has ended changes nothing, since
    the holder has already stopped for good.
    """
    if holder.ended or promise.holder != holder.incarnation:
        return holder
    witness, sent_at = promise.witness, promise.sent_at
    if promise.version == holder.version and witness in holder.witnesses:
        if sent_at <= holder.acks.get(witness, NEVER):
            return holder
        acks = {**holder.acks, witness: sent_at}
        return _extend(dataclasses.replace(holder, acks=acks))
    if promise.version == holder.version - 1 and _is_old(holder, witness):
        if sent_at <= holder.old_acks.get(witness, NEVER):
            return holder
        acks = {**holder.old_acks, witness: sent_at}
        return _extend(dataclasses.replace(holder, old_acks=acks))
    return holder


def take_release(
    holder: LeaseHolder, release: messages.WitnessRelease
) -> LeaseHolder:
    """Return the holder after an old witness has released it."""
    if (
        release.holder != holder.incarnation
        or release.version != holder.version - 1
        or not _is_old(holder, release.witness)
    ):
        return holder
    releases = holder.releases | {release.witness}
    return _extend(dataclasses.replace(holder, releases=releases))


def holds_lease(holder: LeaseHolder, now: float) -> bool:
    """Return whether the node may act as a live member now."""
    return not holder.ended and now < holder.end


def end_if_expired(holder: LeaseHolder, now: float) -> LeaseHolder:
    """Return the holder, ended for good once its lease has run out.

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
    """Return the witnesses that have stopped answering a live holder.

    Empty while the set changes, since it cannot be replaced then.
    """
    if holder.previous is not None or not holds_lease(holder, now):
        return []
    return [
        one
        for one in holder.witnesses
        if now - max(holder.acks.get(one, NEVER), holder.adopted_at) > SILENT_S
    ]


def counts_new_set(holder: LeaseHolder) -> bool:
    """Return whether promises of the newest set carry the lease."""
    return holder.previous is None or len(holder.releases) >= RELEASES_NEEDED


def may_settle_set(holder: LeaseHolder, now: float) -> bool:
    """Return whether the change of witnesses may be recorded as done."""
    if holder.previous is None or not counts_new_set(holder):
        return False
    return now < find_end(holder.acks)


def list_renewals(
    holder: LeaseHolder, now: float, log_offset: int, log_age: float
) -> list[tuple[int, messages.Message]]:
    """Return the datagrams of one round as (witness, message).

    While the set changes, old witnesses that have not released are renewed
    under their version and asked for a release, once the new set answers.
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
    planned = [(one, message) for one in holder.witnesses]
    if holder.previous is None or may_settle_set(holder, now):
        return planned
    ready = now < find_end(holder.acks)
    for one in holder.previous:
        if one in holder.releases:
            continue
        planned.append((one, renew(holder.version - 1, ())))
        if ready:
            query = messages.WitnessReleaseQuery(
                holder.incarnation, holder.incarnation, holder.version - 1
            )
            planned.append((one, query))
    return planned


def find_end(acks) -> float:
    """Return the lease end that the answers of one set give."""
    if len(acks) < PROMISES_NEEDED:
        return NEVER
    newest = sorted(acks.values(), reverse=True)
    sent_at = newest[PROMISES_NEEDED - 1]
    return sent_at + timing.LEASE_DURATION_S - timing.DRIFT_MARGIN_S


def _is_old(holder, witness):
    return holder.previous is not None and witness in holder.previous


def _extend(holder):
    end = max(holder.end, find_end(holder.old_acks))
    if counts_new_set(holder):
        end = max(end, find_end(holder.acks))
    if end == holder.end:
        return holder
    return dataclasses.replace(holder, end=end)
