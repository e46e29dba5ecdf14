"""Decodes the size of the machine that the platform states."""

import eliot
import pydantic

from sesamejunction.model import valueclass


class MachineModel(pydantic.BaseModel):
    """What the platform states of a machine; missing values are unknown."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    memory_mb: float | None = pydantic.Field(
        default=None, alias='memoryMb', ge=1, allow_inf_nan=False
    )
    descriptors: int | None = pydantic.Field(
        default=None, alias='maxFds', ge=1
    )


@valueclass.define
class MachineSize:
    """Memory in MB, and descriptors that the process may open."""

    memory_mb: float
    descriptors: int


def decode_machine(
    text: str, memory_mb: float, descriptors: int
) -> MachineSize:
    """Return the size in a JSON table, or the given one where it is unknown.

    A table that cannot be read is logged: a node that holds less for its
    clients than it could still serves them.
    """
    stated = MachineModel()
    if text:
        try:
            stated = MachineModel.model_validate_json(text)
        except pydantic.ValidationError as error:
            problem = error.errors(include_url=False, include_input=False)[0]
            eliot.log_message(
                'node: machine size unreadable, using the settings',
                field='.'.join(map(str, problem['loc'])),
                reason=problem['msg'],
            )
    return MachineSize(
        stated.memory_mb or memory_mb, stated.descriptors or descriptors
    )
