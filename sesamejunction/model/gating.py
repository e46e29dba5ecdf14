"""Messages of the gate and scheduler tasks, which admit work to the target."""

import math

from sesamejunction.model import requests
from sesamejunction.model import valueclass


@valueclass.define
class Admit:
    """Requests a concurrency permit of the target.

    The reply is Admitted or Refusal. It is sent once a permit is free, so it
    may take until the deadline.
    """

    head: requests.Head


@valueclass.define
class Admitted:
    """A permit of the target, to be released with WorkFinished.

    ``expected_run_s`` is the expected run time at the target in seconds.
    """

    load: requests.Load
    expected_run_s: float = math.inf


@valueclass.define
class CheckAdmission:
    """Checks whether the target would refuse a request now.

    The reply is AdmissionEstimate. The request is neither admitted nor
    queued.
    """

    head: requests.Head


@valueclass.define
class AdmissionEstimate:
    """Reply to CheckAdmission.

    ``refusal`` is None if the request would run or be queued.
    ``expected_run_s`` is the expected run time at the target in seconds.
    """

    refusal: requests.Refusal | None
    expected_run_s: float


@valueclass.define
class PendingBodyCount:
    """Published number of large bodies that are queued or arriving.

    Their requests count as queued in the target's load.
    """

    count: int


@valueclass.define
class WorkFinished:
    """Releases a permit, or removes the request from the queue.

    ``latency_s`` is None if there was no answer. ``shed`` is set if the
    target itself refused the request. ``slowness`` is what the target
    reported with the answer or refusal, as in requests.TargetReport.
    ``is_dropped`` is set if the target closed the connection before an answer
    or gave none for much longer than expected. The target may run the request
    until ``occupied_until``, in boot-clock seconds.
    """

    request_id: str
    latency_s: float | None = None
    shed: bool = False
    slowness: float | None = None
    is_dropped: bool = False
    occupied_until: float = 0.0


@valueclass.define
class GetLoad:
    """Requests the target's load; the reply is a requests.Load."""


@valueclass.define
class StopAdmitting:
    """Starts a planned stop: new work is refused, admitted work finishes."""


@valueclass.define
class TargetAnnounced:
    """The local target announced itself to the node.

    ``slots`` is its maximum concurrency, ``cold_slots`` that during a cold
    start. ``port`` is where it accepts requests. ``checks_grants`` is set if
    it checks fencing tokens.
    """

    service: str
    slots: int
    cold_slots: int
    port: int
    checks_grants: bool
