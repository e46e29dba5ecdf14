"""Decides what a witness promises, releases and declares.

Times are boot-clock seconds of the witness.
"""

import collections.abc
import dataclasses
import math

from sesamejunction.model import messages
from sesamejunction.model import state
from sesamejunction.model import timing

DECLARATIONS_NEEDED = 2
# Old witnesses that must have stopped promising before a new one may declare.
STOPS_NEEDED = 2
# The last promise of the old set has run out after this wait.
FULL_PROMISE_S = timing.LEASE_DURATION_S
# A holder that has just joined may read its first witness set this much
# later than its witnesses.
FIRST_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """One holder under one version of its witness set.

    ``previous`` names the witnesses of the version before; ``stopped`` those
    of them that have released or declared, after which they promise no more.
    The witness may declare at ``may_declare_at`` at the earliest, and not
    before ``promised_until``.
    """

    holder: int
    version: int
    previous: tuple[int, ...] = ()
    promised_until: float = -math.inf
    may_declare_at: float = math.inf
    stopped: frozenset[int] = frozenset()
    released: bool = False
    declared: bool = False


def start_watch(holder: int, found: state.WitnessSet, now: float) -> Watch:
    """Return the watch of a witness that has just read its duty."""
    if found.version == 1:
        return Watch(holder, 1, may_declare_at=now + FIRST_GRACE_S)
    if found.previous is None:
        start = now + FULL_PROMISE_S
        return Watch(holder, found.version, may_declare_at=start)
    return Watch(holder, found.version, found.previous)


def note_settled(watch: Watch, now: float) -> Watch:
    """Return the watch after the log has shown that its set counts.

    The holder records this only after two releases, so the wait can start.
    """
    if watch.may_declare_at < math.inf:
        return watch
    return dataclasses.replace(watch, may_declare_at=now + FULL_PROMISE_S)


def note_stopped(watch: Watch, stopped, now: float) -> Watch:
    """Return the watch after old witnesses are known to have stopped."""
    found = watch.stopped | {one for one in stopped if one in watch.previous}
    if found == watch.stopped:
        return watch
    watch = dataclasses.replace(watch, stopped=found)
    if len(found) < STOPS_NEEDED:
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
    # A first set follows no other, so only its promises delay a declaration.
    start = -math.inf if watch.version == 1 else watch.may_declare_at
    return dataclasses.replace(
        watch, promised_until=until, may_declare_at=start
    )


def makes_promise(watch: Watch) -> bool:
    """Return whether the witness still answers renewals with promises."""
    return not (watch.declared or watch.released)


def release_watch(watch: Watch) -> Watch:
    """Return the watch released, unless it has declared already.

    Only the holder may ask for this: it then knows of the new set. Asked by
    anyone else, the witness would cut off a holder that reads the log late.
    """
    if watch.declared:
        return watch
    return dataclasses.replace(watch, released=True)


def declare_if_due(watch: Watch, now: float) -> Watch:
    """Return the watch, declared once the holder's promise has run out."""
    if now < find_declaration_time(watch):
        return watch
    return dataclasses.replace(watch, declared=True)


def find_declaration_time(watch: Watch) -> float:
    """Return when the witness will declare, infinity when it will not."""
    if watch.declared or watch.released:
        return math.inf
    return max(watch.promised_until, watch.may_declare_at)


def needs_poll(watch: Watch) -> bool:
    """Return whether old witnesses must be asked if they have stopped."""
    return watch.may_declare_at == math.inf and not watch.declared


def needs_watch(current: state.State, holder: int, version: int) -> bool:
    """Return whether the log still gives this version of a set a meaning."""
    found = current.witness_sets.get(holder)
    if found is None:
        return False
    if version == found.version - 1:
        return found.previous is not None
    return version >= found.version


def list_receivers(current: state.State, gone: int) -> list[int]:
    """Return the members that must learn of an ending: all others.

    Members of the slot orders need the evidence to take over, and every
    other node routes callers by it: without the log, a node that was not
    told would go on sending to the lost one.
    """
    return [one for one in current.members if one != gone]


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """Evidence of endings that a node has heard; only ever grows.

    ``declared`` maps (ended, version) to the witnesses that declared.
    """

    declared: collections.abc.Mapping[tuple[int, int], frozenset[int]] = (
        dataclasses.field(default_factory=dict)
    )
    ended: frozenset[int] = frozenset()


def note_declared(ledger: Ledger, message: messages.EndDeclaration) -> Ledger:
    """Return the ledger with one more declaration.

    An incarnation has ended by its own declaration or by two witnesses of
    the same set.
    """
    gone = message.ended
    if gone in ledger.ended:
        return ledger
    key = (gone, message.version)
    witnesses = ledger.declared.get(key, frozenset()) | {message.witness}
    if message.witness == gone or len(witnesses) >= DECLARATIONS_NEEDED:
        declared = {k: v for k, v in ledger.declared.items() if k[0] != gone}
        return Ledger(declared, ledger.ended | {gone})
    return Ledger({**ledger.declared, key: witnesses}, ledger.ended)


def forget_ended(ledger: Ledger, members) -> Ledger:
    """Return the ledger without incarnations that the log has ended."""
    declared = {k: v for k, v in ledger.declared.items() if k[0] in members}
    return Ledger(declared, frozenset(m for m in ledger.ended if m in members))
