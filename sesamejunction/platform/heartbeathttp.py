"""Handles heartbeats of the target and readiness checks."""

import typing

from aiohttp import web
import msgspec
import pydantic

from sesamejunction.border import controlhttp
from sesamejunction.border import logs
from sesamejunction.model import leasing
from sesamejunction.model import ranges

PREFIX = '/instances/'
READINESS = '/readiness'


# Largest values that a target may report. They keep an odd heartbeat from
# filling the memory of the scheduler or from making a target cold for good.
MAX_SLOTS = 1_000_000
MAX_COLD_S = 3600.0


class Model(pydantic.BaseModel):
    """Base model that ignores unknown fields."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


# Numbers that the records of the fleet's topic can hold.
Number = typing.Annotated[int, pydantic.Field(ge=0, lt=1 << 63)]
Key = typing.Annotated[int, pydantic.Field(ge=0, le=ranges.LAST_KEY)]


# The id of a target is sent on in a header of each request.
MAX_ID_LENGTH = 200


class Sender(Model):
    """The target that a heartbeat names in its path."""

    id: str = pydantic.Field(
        pattern=f'^[!-~]{{1,{MAX_ID_LENGTH}}}$',
    )


class Info(Model):
    """Properties that stay the same while a target runs."""

    service: str
    zone: str = ''
    slots: int = pydantic.Field(ge=0, le=MAX_SLOTS)


class Status(Model):
    """Properties that change; ``sequence`` grows with each heartbeat."""

    state: typing.Literal['ready', 'draining']
    sequence: Number
    # Without a default: a target of which nobody says whether it is cold would
    # get requests without a limit.
    cold_left_s: float = pydantic.Field(
        alias='coldLeftS', le=MAX_COLD_S, allow_inf_nan=False, strict=True
    )


class HeartbeatBody(Model):
    """A heartbeat.

    ``born`` is the start of the target's process in wall-clock milliseconds.
    ``holds`` lists first key, last key and epoch of each range held;
    ``freed`` lists first key, last key and handover data of each range
    released. Targets of services that are not divided by key send neither; a
    missing list is not an empty one.
    """

    info: Info
    status: Status
    born: Number = 0
    holds: tuple[tuple[Key, Key, Number], ...] | None = None
    freed: tuple[tuple[Key, Key, str], ...] | None = None


class HeartbeatHandler:
    """Handles requests of the target and of the platform.

    ``lease`` is the task that receives heartbeats; ``is_ready`` returns
    whether the node is ready for callers. ``count_refused`` is called with
    metric labels for each heartbeat that cannot be used.
    """

    def __init__(self, member: str, lease, is_ready, count_refused):
        self._count_refused = count_refused
        self._logger = logs.ThrottledLogger()
        self._member = member
        self._lease = lease
        self._is_ready = is_ready

    def build_server(self, clients) -> web.Server:
        """Return the server; ``clients`` counts what connections hold."""
        return controlhttp.ControlServer(self.handle, clients)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a readiness check, a heartbeat or a target's departure."""
        if request.path == READINESS:
            return web.Response(status=200 if self._is_ready() else 503)
        if not request.path.startswith(PREFIX):
            return web.Response(status=404)
        target = request.path.removeprefix(PREFIX)
        match request.method:
            case 'PUT':
                return await self._handle_heartbeat(
                    target, await request.read()
                )
            case 'DELETE':
                self._lease.tell(leasing.TargetLeaving(target))
                return build_json_response({})
            case _:
                return web.Response(status=405)

    async def _handle_heartbeat(
        self, target: str, body: bytes
    ) -> web.Response:
        try:
            heartbeat = decode_heartbeat(self._member, target, body)
        except pydantic.ValidationError as error:
            problem = error.errors(include_url=False, include_input=False)[0]
            field = '.'.join(map(str, problem['loc']))
            self._count_refused({'field': str(next(iter(problem['loc']), ''))})
            self._logger.log_message(
                'owner: heartbeat unreadable',
                target=target[:MAX_ID_LENGTH],
                field=field,
                reason=problem['msg'],
            )
            return web.Response(status=400)
        renewal = await self._lease.ask(heartbeat)
        return build_json_response(encode_renewal(renewal))


def decode_heartbeat(
    member: str, target: str, body: bytes
) -> leasing.Heartbeat:
    """Return the heartbeat; raises pydantic.ValidationError."""
    Sender.model_validate({'id': target})
    parsed = HeartbeatBody.model_validate_json(body)
    return leasing.Heartbeat(
        ranges.Life(member, target, parsed.born),
        parsed.info.service,
        parsed.info.zone,
        parsed.info.slots,
        parsed.status.sequence,
        parsed.status.state != 'ready',
        max(0.0, parsed.status.cold_left_s),
        tuple(leasing.HeldKeys(*row) for row in parsed.holds or ()),
        tuple(ranges.ReleasedKeys(*row) for row in parsed.freed or ()),
        parsed.holds is not None,
    )


def encode_renewal(renewal: leasing.Renewal) -> dict:
    """Return the body of the answer to a heartbeat.

    It is empty if the node may not renew any grant now.
    """
    if renewal.rows is None:
        return {}
    rows = [
        [row.first, row.last, row.epoch, row.handover] for row in renewal.rows
    ]
    return {'holds': rows, 'holdS': round(renewal.hold_s, 3)}


def build_json_response(content) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(content), content_type='application/json'
    )
