"""Decodes the limits that the platform sets for all nodes together."""

import eliot
import msgspec
import pydantic

from sesamejunction.decisions import polls
from sesamejunction.decisions import retrybudget

PAIR_SEPARATOR = ','
# Time from the signal to stop until the process is killed, in seconds.
DEFAULT_GRACE_S = 6.0
# Times within which a withdrawn key, an evacuated zone and a leaving target
# get no more requests, in seconds.
DEFAULT_REVOKE_S = 5.0
DEFAULT_EVACUATE_S = 5.0
DEFAULT_DRAIN_S = 2.0
# Part of the time for a withdrawn key that is left for the request's way.
KEY_MARGIN_S = 0.5
# Part of the time for a leaving target in which it is sent new work.
LEAVE_FRACTION = 0.5


class Bounds(pydantic.BaseModel):
    """The limits that this project keeps; others are ignored.

    A limit that is not set has its default.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, allow_inf_nan=False
    )

    retry_ratio: float = pydantic.Field(
        default=retrybudget.DEFAULT_LIMITS.ratio,
        ge=0,
        alias='retryBudgetRatio',
    )
    retry_window_s: float = pydantic.Field(
        default=retrybudget.DEFAULT_LIMITS.window_s,
        gt=0,
        alias='budgetWindowS',
    )
    grace_s: float = pydantic.Field(
        default=DEFAULT_GRACE_S, gt=0, alias='graceS'
    )
    apply_s: float = pydantic.Field(
        default=polls.DEFAULT_APPLY_S, gt=0, alias='configApplyS'
    )
    revoke_s: float = pydantic.Field(
        default=DEFAULT_REVOKE_S, gt=0, alias='revokeS'
    )
    evacuate_s: float = pydantic.Field(
        default=DEFAULT_EVACUATE_S, gt=0, alias='evacuateS'
    )
    drain_s: float = pydantic.Field(
        default=DEFAULT_DRAIN_S, gt=0, alias='drainS'
    )
    fixed_retries: float = pydantic.Field(
        default=retrybudget.DEFAULT_LIMITS.fixed, ge=0, alias='retrySlack'
    )

    @property
    def key_trust_s(self) -> float:
        """Return the age of declarations up to which keys are accepted."""
        return max(0.0, self.revoke_s - KEY_MARGIN_S)

    @property
    def zone_grace_s(self) -> float:
        """Return how long an evacuated zone is still sent new work.

        The evacuation itself is known within the time to apply changes.
        """
        return max(0.0, self.evacuate_s - self.apply_s)

    @property
    def leave_grace_s(self) -> float:
        """Return how long a leaving target is still sent new work."""
        return self.drain_s * LEAVE_FRACTION


def decode_retry_limits(text: str) -> retrybudget.Limits:
    """Return the limits of retries; ``text`` as for decode_bounds."""
    bounds = decode_bounds(text)
    return retrybudget.Limits(
        bounds.retry_ratio, bounds.retry_window_s, bounds.fixed_retries
    )


def decode_grace(text: str) -> float:
    """Return the time that the platform gives a stopping process."""
    return decode_bounds(text).grace_s


def decode_bounds(text: str) -> Bounds:
    """Return the limits in a text of NAME=VALUE pairs or a JSON object.

    A template gets a table, which is rendered as JSON. An unreadable limit is
    logged and has its default: a node that retries too little still serves
    its callers.
    """
    values = split_bounds(text)
    try:
        return Bounds.model_validate(values)
    except pydantic.ValidationError as error:
        problems = error.errors(include_url=False, include_input=False)
    for problem in problems:
        name = problem['loc'][0]
        eliot.log_message(
            'node: limit unreadable, using the default',
            field=name,
            reason=problem['msg'],
        )
        del values[name]
    return Bounds.model_validate(values)


def split_bounds(text: str) -> dict:
    """Return the values by name, as text or as JSON values."""
    if text.lstrip().startswith('{'):
        try:
            return msgspec.json.decode(text, type=dict)
        except msgspec.MsgspecError as error:
            eliot.log_message(
                'node: limits unreadable, using the defaults',
                reason=str(error),
            )
            return {}
    pairs = (pair.partition('=') for pair in text.split(PAIR_SEPARATOR))
    return {name.strip(): value.strip() for name, _, value in pairs}
