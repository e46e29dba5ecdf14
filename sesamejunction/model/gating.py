"""Messages of the gate task."""

import dataclasses

from sesamejunction.model import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Asks for a place at the target; the reply is Admitted or Refusal.

    It comes when a place is free, so it may take up to the deadline.
    """

    head: requests.Head


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A place at the target, to be given back with Finished."""

    load: requests.Load


@dataclasses.dataclass(frozen=True, slots=True)
class CheckAdmission:
    """Asks whether the target would refuse a request now.

    The reply is Judged. The request takes no place and does not queue.
    """

    head: requests.Head


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionEstimate:
    """``refusal`` is None when the request would run or queue.

    ``expected_run_s`` is the expected time at the target, in seconds.
    """

    refusal: requests.Refusal | None
    expected_run_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingBodyCount:
    """How many requests were accepted whose bodies are not here yet."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkFinished:
    """Gives back a place, or leaves the queue.

    ``latency_s`` is None when the work was not answered; ``shed`` is set
    when the target refused it.
    """

    request_id: str
    latency_s: float | None = None
    shed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GetLoad:
    """Asks for the target's load; the reply is a requests.Load."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Planned stop: refuse new work, finish what waits or runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """The target beside this node announced itself."""

    service: str
    slots: int
    cold_slots: int
    port: int
    checks_grants: bool
