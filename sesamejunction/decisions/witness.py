"""Lease of a node, witness's side: promises, releases and declarations.

Times are boot-clock seconds of the witness.
"""

import collections.abc
import dataclasses
import math

from sesamejunction.model import messages
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.model import valueclass

DECLARATIONS_NEEDED = 2
# Former witnesses that must have stopped promising before a new one may
# declare the holder ended.
STOPS_NEEDED = 2
# After this wait the last promise of the former set has expired.
FULL_PROMISE_S = timing.LEASE_DURATION_S
# A holder that has just joined may read its first witness set this much
# later than its witnesses.
FIRST_GRACE_S = 2.0


@valueclass.define
class Watch:
    """A witness's state for one holder and one version of its witness set.

    ``previous`` holds the witnesses of the version before; ``stopped`` holds
    those of them that have released or declared, so that they promise no
    more. The witness may declare the holder ended at ``may_declare_at`` at
    the earliest, and not before ``promised_until``.
    """

    holder: int
    version: int
    previous: tuple[int, ...] = ()
    promised_until: float = -math.inf
    may_declare_at: float = math.inf
    stopped: frozenset[int] = frozenset()
    released: bool = False
    declared: bool = False


def start_watch(
    holder: int, witness_set: state.WitnessSet, now: float
) -> Watch:
    """Return the watch of a witness that has just read the witness set."""
    if witness_set.version == 1:
        return Watch(holder, 1, may_declare_at=now + FIRST_GRACE_S)
    if witness_set.previous is None:
        start = now + FULL_PROMISE_S
        return Watch(holder, witness_set.version, may_declare_at=start)
    return Watch(holder, witness_set.version, witness_set.previous)


def note_settled(watch: Watch, now: float) -> Watch:
    """Return the watch after the change of witnesses was recorded.

    The holder records this only after two releases, so the wait can start.
    """
    if watch.may_declare_at < math.inf:
        return watch
    return dataclasses.replace(watch, may_declare_at=now + FULL_PROMISE_S)


def note_stopped(watch: Watch, stopped, now: float) -> Watch:
    """Return the watch after former witnesses are known to have stopped."""
    all_stopped = watch.stopped | {
        former for former in stopped if former in watch.previous
    }
    if all_stopped == watch.stopped:
        return watch
    watch = dataclasses.replace(watch, stopped=all_stopped)
    if len(all_stopped) < STOPS_NEEDED:
        return watch
    return note_settled(watch, now)


def take_renewal(
    watch: Watch, renew: messages.RenewLease, now: float
) -> Watch:
    """Return the watch after a renewal; see ``makes_promise``."""
    watch = note_stopped(watch, renew.released_by, now)
    if not makes_promise(watch):
        return watch
    until = max(watch.promised_until, now + timing.LEASE_DURATION_S)
    # A first set has no predecessor, so only its promises delay a declaration.
    start = -math.inf if watch.version == 1 else watch.may_declare_at
    return dataclasses.replace(
        watch, promised_until=until, may_declare_at=start
    )


def makes_promise(watch: Watch) -> bool:
    """Return whether the witness still answers renewals with promises."""
    return not (watch.declared or watch.released)


def release_watch(watch: Watch) -> Watch:
    """Return the watch as released, unless the witness has declared already.

    Only the holder may request this, as it then knows the new set. If any
    other node could, a holder that reads the log late would lose its lease.
    """
    if watch.declared:
        return watch
    return dataclasses.replace(watch, released=True)


def declare_if_due(watch: Watch, now: float) -> Watch:
    """Return the watch, as declared if the promise to the holder expired."""
    if now < find_declaration_time(watch):
        return watch
    return dataclasses.replace(watch, declared=True)


def find_declaration_time(watch: Watch) -> float:
    """Return when the witness will declare, infinity if it will not."""
    if watch.declared or watch.released:
        return math.inf
    return max(watch.promised_until, watch.may_declare_at)


def needs_poll(watch: Watch) -> bool:
    """Return whether former witnesses must be asked if they have stopped."""
    return watch.may_declare_at == math.inf and not watch.declared


def needs_watch(current: state.State, holder: int, version: int) -> bool:
    """Return whether this version of a witness set is still in use."""
    witness_set = current.witness_sets.get(holder)
    if witness_set is None:
        return False
    if version == witness_set.version - 1:
        return witness_set.previous is not None
    return version >= witness_set.version


def list_receivers(current: state.State, ended_member: int) -> list[int]:
    """Return the members to notify of a member's end: all others.

    Members of the slot orders need the evidence to take over, and every
    other node uses it for routing: during an outage of the log, a node that
    was not notified would continue to send requests to the lost one.
    """
    return [
        receiver for receiver in current.members if receiver != ended_member
    ]


@valueclass.define
class Ledger:
    """Received evidence that members have ended; it is never withdrawn.

    ``declared`` maps (member, version) to the witnesses that have declared.
    """

    declared: collections.abc.Mapping[tuple[int, int], frozenset[int]] = (
        dataclasses.field(default_factory=dict)
    )
    ended: frozenset[int] = frozenset()


def note_declared(ledger: Ledger, message: messages.EndDeclaration) -> Ledger:
    """Return the ledger with one more declaration.

    An incarnation has ended if it declares so itself, or if two witnesses of
    the same set do.
    """
    ended_member = message.ended
    if ended_member in ledger.ended:
        return ledger
    key = (ended_member, message.version)
    witnesses = ledger.declared.get(key, frozenset()) | {message.witness}
    if (
        message.witness == ended_member
        or len(witnesses) >= DECLARATIONS_NEEDED
    ):
        declared = {
            k: v for k, v in ledger.declared.items() if k[0] != ended_member
        }
        return Ledger(declared, ledger.ended | {ended_member})
    return Ledger({**ledger.declared, key: witnesses}, ledger.ended)


def forget_ended(ledger: Ledger, members) -> Ledger:
    """Return the ledger without incarnations that the log shows as ended."""
    declared = {k: v for k, v in ledger.declared.items() if k[0] in members}
    return Ledger(declared, frozenset(m for m in ledger.ended if m in members))
