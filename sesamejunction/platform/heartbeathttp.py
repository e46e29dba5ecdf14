"""Answers the server's heartbeats and the platform's question of readiness."""

from aiohttp import web
import eliot
import msgspec
import pydantic

from sesamejunction.model import leasing
from sesamejunction.model import ranges

PREFIX = '/instances/'
READINESS = '/readiness'
# Longest answer that a server takes.
MAX_ANSWER_BYTES = 4096
MAX_ROWS = 80


class Model(pydantic.BaseModel):
    """Fields that this version does not know are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class Info(Model):
    """What does not change in a server's life."""

    service: str
    zone: str = ''
    slots: int = pydantic.Field(ge=0)


class Status(Model):
    """What changes; ``sequence`` grows with each heartbeat."""

    state: str
    sequence: int
    cold_left_s: float = pydantic.Field(default=0.0, alias='coldLeftS')


class Beat(Model):
    """A heartbeat; ``born`` is the server's start in milliseconds."""

    info: Info
    status: Status
    born: int = 0
    holds: tuple[tuple[int, int, int], ...] = ()
    freed: tuple[tuple[int, int, str], ...] = ()


class HeartbeatHandler:
    """Handles what the server beside the node and the platform ask.

    ``lease`` takes heartbeats; ``is_ready`` tells whether callers may come.
    """

    def __init__(self, member: str, lease, is_ready):
        self._member = member
        self._lease = lease
        self._is_ready = is_ready

    def build_server(self) -> web.Server:
        """Return the aiohttp server."""
        return web.Server(self.handle, access_log=None)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        if request.path == READINESS:
            return web.Response(status=200 if self._is_ready() else 503)
        if not request.path.startswith(PREFIX):
            return web.Response(status=404)
        target = request.path.removeprefix(PREFIX)
        match request.method:
            case 'PUT':
                return await self._take_beat(target, await request.read())
            case 'DELETE':
                self._lease.tell(leasing.TargetLeaving(target))
                return answer_json({})
            case _:
                return web.Response(status=405)

    async def _take_beat(self, target: str, body: bytes) -> web.Response:
        try:
            heartbeat = decode_heartbeat(self._member, target, body)
        except pydantic.ValidationError as error:
            first = error.errors(include_url=False, include_input=False)[0]
            eliot.log_message(
                'owner: heartbeat unreadable',
                target=target,
                field='.'.join(map(str, first['loc'])),
                reason=first['msg'],
            )
            return web.Response(status=400)
        renewal = await self._lease.ask(heartbeat)
        return answer_json(encode_renewal(renewal))


def decode_heartbeat(
    member: str, target: str, body: bytes
) -> leasing.Heartbeat:
    """Return the heartbeat; raises pydantic.ValidationError."""
    beat = Beat.model_validate_json(body)
    return leasing.Heartbeat(
        ranges.Life(member, target, beat.born),
        beat.info.service,
        beat.info.zone,
        beat.info.slots,
        beat.status.sequence,
        beat.status.state != 'ready',
        max(0.0, beat.status.cold_left_s),
        tuple(leasing.HeldKeys(*row) for row in beat.holds),
        tuple(ranges.ReleasedKeys(*row) for row in beat.freed),
    )


def encode_renewal(renewal: leasing.Renewal) -> dict:
    """Return the body of the answer to a heartbeat."""
    if renewal.rows is None:
        return {}
    rows = [
        [row.first, row.last, row.epoch, row.handover]
        for row in renewal.rows[:MAX_ROWS]
    ]
    return {'holds': rows, 'holdS': round(renewal.hold_s, 3)}


def answer_json(found) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(found), content_type='application/json'
    )
