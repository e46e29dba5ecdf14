"""What the request path needs from the rest of the node."""

import collections.abc
import dataclasses
import math
import typing

from sesamejunction.commands import uploads
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state

# Planned moves of keys are done in this time.
MOVE_S = 0.6


class Peers(typing.Protocol):
    """Forwards requests to other nodes."""

    async def send(
        self,
        candidate: requests.Candidate,
        head: requests.Head,
        upload: uploads.Upload,
        on_silent: collections.abc.Callable[[], None] | None = None,
    ) -> requests.Answer | requests.Refusal:
        """Forward; raises PeerUnavailable or PeerLost.

        ``on_silent`` is called when the connection is silent while the
        reply is due; the reply may still come.
        """

    def reports_silence(self, candidate: requests.Candidate) -> bool:
        """Return whether ``send`` to the candidate may call it."""


class Target(typing.Protocol):
    """Sends work to the target beside this node."""

    async def send(
        self,
        grant: requests.Grant,
        head: requests.Head,
        upload: uploads.Upload,
    ) -> requests.Answer | requests.Refusal:
        """Send; raises PeerUnavailable or PeerLost."""

    def cancel(self, request_id: str) -> None:
        """Tell the target, without waiting, that the work is not needed."""


class Task(typing.Protocol):
    """A task that takes messages."""

    async def ask(self, message):
        """Return the reply to a message."""

    def tell(self, message) -> None:
        """Queue a message without reply; it may be dropped."""

    def tell_reliably(self, message) -> None:
        """Queue a message without reply; it is never dropped."""


class WaiterLimit:
    """Counts requests that wait for an owner, up to a limit."""

    def __init__(self, limit: int):
        self._left = limit

    def try_enter(self) -> bool:
        """Take a place; returns False when there is none."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def leave(self) -> None:
        """Give the place back."""
        self._left += 1


class StateView:
    """Keeps the newest folded state, so that reading it needs no message."""

    def __init__(self):
        self.current = state.State()

    def publish(self, message: journaling.StateChanged) -> None:
        """Take a new state from the journal."""
        self.current = message.state


class LeaseView:
    """Keeps the lease as last published, so that a check needs no message.

    The reader compares its end with the clock, so a lease that is not renewed
    ends here as well, also when the process was paused.
    """

    def __init__(self):
        self.current = owning.Lease(-math.inf, False)

    def publish(self, message: owning.Lease) -> None:
        """Take a new lease from the task that holds it."""
        self.current = message


class HoldingsView:
    """What the target was granted, for checks without a message."""

    def __init__(self):
        self.rows = ()
        self.until = float('-inf')
        self.waiting = ()

    def is_delayed(self, key: int, now: float) -> bool:
        """Return whether the key is owned here but not soon granted.

        A planned move takes less than MOVE_S; a longer one waits for the
        hold of a former owner that does not answer.
        """
        return any(
            one.first <= key <= one.last and now - since > MOVE_S
            for one, since in self.waiting
        )

    def holds(self, key: int, now: float) -> bool:
        """Return whether the target may run work on the key."""
        return now < self.until and any(
            row.first <= key <= row.last for row in self.rows
        )


class KeyCounter(typing.Protocol):
    """Counts the keys that this node serves, to find the hot ones."""

    def count(self, service: str, key_hash: int, now: float) -> None:
        """Count a request; ``now`` is boot-clock seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Tasks and transports; ``clock`` reads the boot clock in seconds."""

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
    room: WaiterLimit
    keys: KeyCounter | None = None


def refuse(code, message, **details) -> requests.Refusal:
    """Return a refusal that says the request did not run."""
    return requests.Refusal(code, requests.Outcome.NOT_RUN, message, **details)
