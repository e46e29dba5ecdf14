"""Decodes the limits that the platform sets for all nodes together."""

import eliot
import pydantic

from sesamejunction.decisions import retrybudget

PAIR_SEPARATOR = ','


class Bounds(pydantic.BaseModel):
    """The limits that this project keeps; others are ignored.

    A limit that is not set has the value of decisions/retrybudget.
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
    fixed_retries: float = pydantic.Field(
        default=retrybudget.DEFAULT_LIMITS.fixed, ge=0, alias='retrySlack'
    )


def decode_retry_limits(text: str) -> retrybudget.Limits:
    """Return the limits in a text of NAME=VALUE pairs.

    Without readable ones, returns the defaults and logs the reason: a node
    that retries too little still serves its callers.
    """
    pairs = (pair.partition('=') for pair in text.split(PAIR_SEPARATOR))
    values = {name.strip(): value.strip() for name, _, value in pairs}
    try:
        bounds = Bounds.model_validate(values)
    except pydantic.ValidationError as error:
        problem = error.errors(include_url=False, include_input=False)[0]
        eliot.log_message(
            'node: limits unreadable, using the defaults',
            field='.'.join(map(str, problem['loc'])),
            reason=problem['msg'],
        )
        return retrybudget.DEFAULT_LIMITS
    return retrybudget.Limits(
        bounds.retry_ratio, bounds.retry_window_s, bounds.fixed_retries
    )
