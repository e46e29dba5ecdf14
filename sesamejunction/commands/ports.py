"""Interfaces and state views that the request path depends on."""

import collections.abc
import dataclasses
import math
import typing

from sesamejunction.commands import uploads
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import valueclass

# Upper bound of the duration of a planned key move.
PLANNED_MOVE_S = 0.6


class Peers(typing.Protocol):
    """Forwards requests to other nodes."""

    async def send(
        self,
        candidate: requests.Candidate,
        head: requests.Head,
        upload: uploads.Upload,
        on_silent: collections.abc.Callable[[], None] | None = None,
    ) -> requests.Answer | requests.Refusal:
        """Forward a request; raises PeerUnavailable or PeerConnectionLost.

        ``on_silent`` is called when nothing is received on the connection
        while the reply is due; the reply may still arrive.
        """

    def reports_silence(self, candidate: requests.Candidate) -> bool:
        """Return whether ``send`` may call ``on_silent`` for the candidate."""


class Target(typing.Protocol):
    """Sends requests to the local target."""

    async def send(
        self,
        grant: requests.Grant,
        head: requests.Head,
        upload: uploads.Upload,
    ) -> requests.Answer | requests.Refusal:
        """Send a request; raises PeerUnavailable or PeerConnectionLost."""

    def cancel(self, request_id: str) -> None:
        """Tell the target to abandon a request, without waiting."""


class Task(typing.Protocol):
    """A task with an inbox."""

    async def ask(self, message):
        """Send a message and return the reply."""

    def tell(self, message) -> None:
        """Queue a message that has no reply; it may be dropped."""

    def tell_reliably(self, message) -> None:
        """Queue a message that has no reply; it is never dropped."""


class WaiterLimit:
    """Limits how many requests may wait for an owner."""

    def __init__(self, limit: int):
        self._remaining = limit

    def try_enter(self) -> bool:
        """Add a waiting request; returns False if the limit is reached."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def leave(self) -> None:
        """Remove a waiting request."""
        self._remaining += 1


@dataclasses.dataclass(slots=True)
class StopProgress:
    """Progress of a planned stop, readable without a message.

    While ``is_refusing``, no new work is started. Once ``is_over``, requests
    that are still open are answered with what is known of them.
    """

    is_refusing: bool = False
    is_over: bool = False


class StateView:
    """Holds the latest folded state, readable without a message."""

    def __init__(self):
        self.current = state.State()

    def publish(self, message: journaling.StateChanged) -> None:
        """Store a new state from the journal."""
        self.current = message.state


class LeaseView:
    """Holds the latest published lease, readable without a message.

    Readers compare its end with the clock, so a lease that is not renewed
    expires here too, even if the process was paused.
    """

    def __init__(self):
        self.current = owning.Lease(-math.inf, False)

    def publish(self, message: owning.Lease) -> None:
        """Store a new lease from the lease task."""
        self.current = message


class HoldingsView:
    """Holds the key ranges granted to the target, readable without a message.

    ``rows`` lists the granted ranges, which may be used before the boot-clock
    time ``until``. ``waiting`` lists ranges that are owned but not granted
    yet, each with the boot-clock time at which its wait started.
    """

    def __init__(self):
        self.rows = ()
        self.until = float('-inf')
        self.waiting = ()

    def is_delayed(self, key: int, now: float) -> bool:
        """Return whether the grant of an owned key is delayed.

        A planned move takes less than PLANNED_MOVE_S. A longer wait means
        that a former owner does not answer and its hold has to expire.
        """
        return any(
            key_range.first <= key <= key_range.last
            and now - since > PLANNED_MOVE_S
            for key_range, since in self.waiting
        )

    def withdraw(self, key: int) -> None:
        """Remove the granted range that contains the key."""
        self.rows = [
            row for row in self.rows if not row.first <= key <= row.last
        ]

    def holds(self, key: int, now: float) -> bool:
        """Return whether the target may run requests for the key."""
        return now < self.until and any(
            row.first <= key <= row.last for row in self.rows
        )


class KeyCounter(typing.Protocol):
    """Counts requests by key, to find hot keys."""

    def count(self, service: str, key_hash: int, now: float) -> None:
        """Count a request; ``now`` is boot-clock seconds."""


@valueclass.define
class Ports:
    """Tasks and transports; ``clock`` returns boot-clock seconds.

    ``waiter_limit`` limits the requests that wait for an owner. ``keys`` is
    None if hot keys are not tracked.
    """

    incarnation: int
    states: StateView
    gate: Task
    lease: LeaseView
    owners: Task
    shares: Task
    once: Task
    chooser: Task
    peers: Peers
    target: Target
    clock: collections.abc.Callable[[], float]
    waiter_limit: WaiterLimit
    keys: KeyCounter | None = None
    stop: StopProgress = dataclasses.field(default_factory=StopProgress)


def refuse(code, message, **details) -> requests.Refusal:
    """Return a refusal of a request that did not run."""
    return requests.Refusal(code, requests.Outcome.NOT_RUN, message, **details)
