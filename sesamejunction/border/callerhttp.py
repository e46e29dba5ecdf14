"""HTTP server for callers and for requests that peers forward."""

import dataclasses
import secrets
import time

import eliot
import sanic
from sanic import exceptions
from sanic import response

from sesamejunction.border import dispatch
from sesamejunction.border import forwardhttp
from sesamejunction.border import replies
from sesamejunction.border import requestparsing
from sesamejunction.commands import ports as porting
from sesamejunction.commands import requests as commands
from sesamejunction.commands import serving
from sesamejunction import errors
from sesamejunction.model import requests
from sesamejunction.queries import routes

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
ROUTE_PATH = '/.well-known/sesamejunction/route'
MAX_HEADER_BYTES = 8192
# The size of a UUID, without the fields and checks of one.
REQUEST_ID_BYTES = 16
# Time for a caller to send a head, and to leave a connection idle.
HEAD_S = 10
KEEP_ALIVE_S = 75
# sanic would otherwise end a request that is silent for a minute, which is
# less than the longest deadline.
LONGEST_REQUEST_S = 3700

refuse = porting.refuse


@dataclasses.dataclass(frozen=True, slots=True)
class CallerContext:
    """What the handlers need from one incarnation."""

    ports: porting.Ports
    secret: bytes
    max_body_bytes: int
    read_wall_clock: object = time.time


class Nothing:
    """Awaitable that is done at once."""

    def __await__(self):
        return iter(())


NOTHING = Nothing()


class CallerApp(sanic.Sanic):
    """Application without the signals of each request.

    sanic dispatches ten signals a request, to which nothing listens here;
    TOUCHUP, which would remove them, fails with two applications in one
    process.
    """

    def dispatch(self, event, **options):
        """Dispatch the signals of the server only."""
        if event.startswith('http.'):
            return NOTHING
        return super().dispatch(event, **options)


def build_app(
    dispatcher: dispatch.Dispatcher,
    max_body_bytes: int,
    name: str = 'sesamejunction-callers',
) -> sanic.Sanic:
    """Return the application that serves callers and peers.

    The dispatcher gives each request its CallerContext.
    """
    app = CallerApp(name, configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_TIMEOUT = HEAD_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.RESPONSE_TIMEOUT = LONGEST_REQUEST_S

    async def handle(request, path=''):
        return await dispatcher.run(handle_request, request)

    async def find_route(request):
        return await dispatcher.run(handle_route_query, request)

    app.add_route(find_route, ROUTE_PATH, methods=('GET',))
    app.add_route(
        handle, '/<path:path>', methods=METHODS, stream=True, name='call'
    )
    app.error_handler.add(Exception, explain_error)
    return app


def explain_error(request, error):
    """Return the refusal for a request that sanic could not read."""
    if isinstance(error, exceptions.SanicException):
        status = error.status_code
        refusal = refuse(requests.Code.REQUEST_BAD, f'{error}')
    else:
        eliot.log_message('caller: internal error', error=repr(error))
        status = 500
        refusal = requests.Refusal(
            requests.Code.LOST,
            requests.Outcome.UNKNOWN,
            'internal error; look up the effect before sending it again',
        )
    return replies.encode_refusal(refusal, status)


async def handle_request(context, request):
    """Run one HTTP request and send the outcome."""
    for_peer = forwardhttp.PEER_TAG in request.headers
    try:
        outcome = await run_request(context, request, for_peer)
    except requestparsing.HeadError as error:
        outcome = refuse(error.code, str(error))
    except errors.PeerConnectionLost as error:
        outcome = requests.Refusal(
            requests.Code.LOST, requests.Outcome.UNKNOWN, str(error)
        )
    match outcome:
        case requests.Answer():
            return await replies.send_answer(request, outcome, for_peer)
        case requests.Refusal():
            request.stream.request_max_size = replies.DRAIN_BYTES
            if not for_peer:
                outcome = dataclasses.replace(outcome, load=None)
            reply = replies.encode_refusal(outcome)
            if for_peer:
                reply.headers[forwardhttp.REQUEST_ID] = request.headers.get(
                    forwardhttp.REQUEST_ID, ''
                )
            return reply


def has_joined(context: CallerContext | None) -> bool:
    """Return whether an incarnation serves and is a member of the fleet."""
    if context is None:
        return False
    ports = context.ports
    return ports.incarnation in ports.states.current.members


def refuse_unjoined() -> requests.Refusal:
    """Return the refusal while there is no lease to serve under.

    A node that has not joined may not have read the log, so that it must
    not judge caller keys and paths.
    """
    return refuse(
        requests.Code.NO_LEASE,
        'this node has not joined the fleet; retry at another node',
        retry_after_s=1.0,
    )


async def run_request(context, request, for_peer: bool):
    """Check one HTTP request and run it; returns Answer or Refusal.

    Raises HeadError for a bad head, and PeerLost for a forwarded request
    that may have run without an answer.
    """
    if not has_joined(context):
        return refuse_unjoined()
    current = context.ports.states.current
    name, path = requestparsing.split_path(request.path)
    service = current.services.get(name)
    if service is None:
        return refuse(
            requests.Code.SERVICE_UNKNOWN, f'no service {name}; check the path'
        )
    fields = requestparsing.read_fields(request.headers)
    length = fields.content_length or 0
    if length > context.max_body_bytes:
        raise requestparsing.HeadError(
            f'the body is over {context.max_body_bytes} bytes; send less'
        )
    sent = requestparsing.SentRequest(request, fields, service, path)
    if for_peer:
        return await run_forwarded(context, current, sent)
    return await run_called(context, current, sent)


async def run_forwarded(context, current, sent):
    """Run a request that a peer forwarded."""
    headers = sent.request.headers
    head = requestparsing.read_head(
        sent,
        headers.get(forwardhttp.REQUEST_ID, ''),
        headers.get(forwardhttp.ORGANISATION, ''),
        context.ports.clock(),
    )
    if not forwardhttp.verify_tag(
        context.secret,
        head,
        headers.get(forwardhttp.DEADLINE_MS, ''),
        headers.get(forwardhttp.PEER_TIME, ''),
        headers[forwardhttp.PEER_TAG],
        context.read_wall_clock(),
    ):
        return refuse(
            requests.Code.PEER_FORGED,
            'the peer tag is wrong or old; check secret and clock',
        )
    upload = await read_upload(context, sent)
    if isinstance(upload, requests.Refusal):
        return upload
    try:
        return await serving.serve_request(
            context.ports, current, head, upload
        )
    except (errors.InboxFull, errors.TaskStopped) as error:
        return refuse(requests.Code.OVERLOADED, str(error), retry_after_s=1.0)


async def run_called(context, current, sent):
    """Run a request of a caller, who is checked for each request."""
    service = sent.service
    caller = requestparsing.find_caller_key(current, sent.request.headers)
    if caller is None:
        return refuse(requests.Code.KEY_UNKNOWN, 'send a valid caller key')
    if caller.services and service.name not in caller.services:
        return refuse(
            requests.Code.KEY_FORBIDDEN,
            f'the caller key is not for {service.name}',
        )
    head = requestparsing.read_head(
        sent,
        secrets.token_hex(REQUEST_ID_BYTES),
        caller.organisation,
        context.ports.clock(),
    )
    if not head.repeatable and head.idempotency_key is None:
        return refuse(
            requests.Code.IDEMPOTENCY_KEY_BAD,
            'send Idempotency-Key with a UUID of version 7',
        )
    if routes.needs_owner(service, head) and not routes.find_placement_key(
        service, head
    ):
        return refuse(
            requests.Code.ROUTE_KEY_MISSING, 'send SJ-Key with the routing key'
        )
    upload = await read_upload(context, sent)
    if isinstance(upload, requests.Refusal):
        return upload
    return await commands.route_request(context.ports, current, head, upload)


async def read_upload(context, sent):
    """Return the Upload, or the Refusal of a body that cannot be read."""
    try:
        return await requestparsing.read_upload(
            sent.request, sent.fields, context.max_body_bytes
        )
    except errors.UploadAborted as error:
        sent.request.stream.keep_alive = False
        return refuse(requests.Code.REQUEST_BAD, str(error))


async def handle_route_query(context, request):
    """Return the address of a key's owner as JSON."""
    if not has_joined(context):
        return replies.encode_refusal(refuse_unjoined())
    current = context.ports.states.current
    if requestparsing.find_caller_key(current, request.headers) is None:
        return replies.encode_refusal(
            refuse(requests.Code.KEY_UNKNOWN, 'send a valid caller key')
        )
    service = request.args.get('service', '')
    key = request.args.get('key', '')
    owner = routes.find_owner(current, service, key)
    if owner is None:
        return replies.encode_refusal(
            refuse(requests.Code.NO_OWNER, 'no owner is known for this key')
        )
    return response.json({'owner': routes.format_address(owner)})
