"""Decodes the limits that the platform sets for all nodes together."""

import eliot
import msgspec
import pydantic

from sesamejunction.decisions import polls
from sesamejunction.decisions import retrybudget

PAIR_SEPARATOR = ','
# Time from the signal to stop until the process is killed, in seconds.
DEFAULT_GRACE_S = 6.0


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
    fixed_retries: float = pydantic.Field(
        default=retrybudget.DEFAULT_LIMITS.fixed, ge=0, alias='retrySlack'
    )


def decode_retry_limits(text: str) -> retrybudget.Limits:
    """Return the limits of retries; ``text`` as for decode_bounds."""
    bounds = decode_bounds(text)
    return retrybudget.Limits(
        bounds.retry_ratio, bounds.retry_window_s, bounds.fixed_retries
    )


def decode_grace(text: str) -> float:
    """Return the time that the platform gives a stopping process."""
    return decode_bounds(text).grace_s


def decode_apply_time(text: str) -> float:
    """Return the time within which a configuration has to be in force."""
    return decode_bounds(text).apply_s


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
