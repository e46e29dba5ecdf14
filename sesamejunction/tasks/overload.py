"""Refusals of requests that would wait too long for the target."""

from sesamejunction.commands import ports as porting
from sesamejunction.decisions import scheduling
from sesamejunction.decisions import workorder
from sesamejunction.model import requests


def refuse_wait(
    pending_request: scheduling.PendingRequest,
    message: str,
    wait_s: float,
    now: float,
    inputs: dict[str, float],
) -> requests.Refusal:
    """Return the refusal of a request that would wait ``wait_s`` seconds.

    ``inputs`` are the values of the decision beside those of the request.
    """
    left_s = pending_request.deadline - now
    described = {
        'rank': pending_request.rank,
        'standing': pending_request.standing.value,
        **inputs,
        'left_s': round(left_s, 3),
    }
    return porting.refuse(
        requests.Code.OVERLOADED,
        message,
        retry_after_s=workorder.choose_retry_delay(
            wait_s, left_s, pending_request.request_id
        ),
        inputs=tuple(described.items()),
    )
