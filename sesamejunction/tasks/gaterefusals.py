"""Refusals of requests that the target cannot take, or not in time."""

from sesamejunction.commands import ports as porting
from sesamejunction.decisions import scheduling
from sesamejunction.decisions import workorder
from sesamejunction.model import leasing
from sesamejunction.model import requests

RETRY_AFTER_S = 0.1


def refuse_wait(
    pending_request: scheduling.PendingRequest,
    message: str,
    wait_s: float,
    now: float,
    inputs: dict[str, float],
    is_fair: bool = False,
) -> requests.Refusal:
    """Return the refusal of a request that would wait ``wait_s`` seconds.

    ``inputs`` are the values of the decision beside those of the request. With
    ``is_fair``, the queue is one of organisations, whose turns come whether
    others return together or not.
    """
    left_s = pending_request.deadline - now
    if is_fair:
        retry_after_s = max(scheduling.MIN_RETRY_DELAY_S, wait_s / 2)
    else:
        retry_after_s = workorder.choose_retry_delay(
            wait_s, left_s, pending_request.request_id
        )
    described = {
        'rank': pending_request.rank,
        'standing': pending_request.standing.value,
        **inputs,
        'left_s': round(left_s, 3),
    }
    return porting.refuse(
        requests.Code.OVERLOADED,
        message,
        retry_after_s=retry_after_s,
        inputs=tuple(described.items()),
    )


def find_status_refusal(
    target_status: leasing.TargetStatus,
    now: float,
    leave_grace_s: float,
    zone_grace_s: float,
) -> requests.Refusal | None:
    """Return a refusal if the target is absent, leaving or out of service.

    The grace times, in seconds, are those within which it gets new work.
    """
    if target_status.life is None:
        return porting.refuse(
            requests.Code.NO_TARGET,
            'the target is absent; retry',
            retry_after_s=RETRY_AFTER_S,
        )
    leaving, out = target_status.leaving_since, target_status.out_since
    if leaving is not None and now - leaving >= leave_grace_s:
        return porting.refuse(
            requests.Code.STOPPING,
            'the target leaves; retry',
            retry_after_s=RETRY_AFTER_S,
        )
    if out is not None and now - out >= zone_grace_s:
        return porting.refuse(
            requests.Code.ZONE_OUT,
            'the availability zone is out of service; retry',
            retry_after_s=RETRY_AFTER_S,
        )
    return None
