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
from sesamejunction.model import valueclass
from sesamejunction.queries import routes

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
ROUTE_PATH = '/.well-known/sesamejunction/route'
MAX_HEADER_BYTES = 8192
# Random bytes in a request id, as many as a UUID has.
REQUEST_ID_BYTES = 16
# Limits on the time to receive a request head and on idle connections.
HEAD_TIMEOUT_S = 10
KEEP_ALIVE_TIMEOUT_S = 75
# By default sanic aborts a request after a minute without a response, which is
# shorter than the longest deadline.
RESPONSE_TIMEOUT_S = 3700

refuse = porting.refuse


@valueclass.define
class CallerContext:
    """What the request handlers need from the current incarnation."""

    ports: porting.Ports
    secret: bytes
    max_body_bytes: int
    read_wall_clock: object = time.time


class CompletedAwaitable:
    """Awaitable that completes immediately with None."""

    def __await__(self):
        return iter(())


COMPLETED = CompletedAwaitable()


class CallerApp(sanic.Sanic):
    """Sanic application that skips the signals of requests.

    sanic dispatches ten signals for each request, and nothing here subscribes
    to them. The sanic option TOUCHUP would remove them, but it fails with two
    applications in one process.
    """

    def dispatch(self, event, **options):
        """Dispatch signals of the server and ignore those of requests."""
        if event.startswith('http.'):
            return COMPLETED
        return super().dispatch(event, **options)


def build_app(
    dispatcher: dispatch.Dispatcher,
    max_body_bytes: int,
    name: str = 'sesamejunction-callers',
) -> sanic.Sanic:
    """Return the application that serves callers and peers.

    The dispatcher passes the current CallerContext with each request.
    """
    app = CallerApp(name, configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_TIMEOUT = HEAD_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S

    async def handle(request, path=''):
        return await dispatcher.run(handle_request, request)

    async def find_route(request):
        return await dispatcher.run(handle_route_query, request)

    app.add_route(find_route, ROUTE_PATH, methods=('GET',))
    app.add_route(
        handle, '/<path:path>', methods=METHODS, stream=True, name='call'
    )
    app.error_handler.add(Exception, handle_exception)
    return app


def handle_exception(request, error):
    """Return the refusal of an invalid request or of an internal error."""
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
    """Run one HTTP request and send its answer or refusal.

    Returns the reply for sanic to send, None if it was streamed already.
    """
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
    """Return whether a current incarnation is a member of the fleet."""
    if context is None:
        return False
    ports = context.ports
    return ports.incarnation in ports.states.current.members


def refuse_unjoined() -> requests.Refusal:
    """Return the refusal of a node that has not joined the fleet.

    Such a node may not have read the log yet, so it must not decide about
    caller keys and paths.
    """
    return refuse(
        requests.Code.NO_LEASE,
        'this node has not joined the fleet; retry at another node',
        retry_after_s=1.0,
    )


async def run_request(context, request, for_peer: bool):
    """Validate and run one HTTP request; returns Answer or Refusal.

    Raises HeadError for an invalid head, and PeerConnectionLost for a
    forwarded request that may have run without an answer.
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
    parsed = requestparsing.ParsedRequest(request, fields, service, path)
    if for_peer:
        return await run_forwarded_request(context, current, parsed)
    return await run_caller_request(context, current, parsed)


async def run_forwarded_request(context, current, parsed):
    """Run a request that a peer forwarded, after a check of its peer tag."""
    headers = parsed.request.headers
    head = requestparsing.build_head(
        parsed,
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
    upload = await read_upload(context, parsed)
    if isinstance(upload, requests.Refusal):
        return upload
    try:
        return await serving.serve_request(
            context.ports, current, head, upload
        )
    except (errors.InboxFull, errors.TaskStopped) as error:
        return refuse(requests.Code.OVERLOADED, str(error), retry_after_s=1.0)


async def run_caller_request(context, current, parsed):
    """Run a caller's request; each request must carry a valid caller key."""
    service = parsed.service
    caller = requestparsing.find_caller_key(current, parsed.request.headers)
    if caller is None:
        return refuse(requests.Code.KEY_UNKNOWN, 'send a valid caller key')
    if caller.services and service.name not in caller.services:
        return refuse(
            requests.Code.KEY_FORBIDDEN,
            f'the caller key is not for {service.name}',
        )
    head = requestparsing.build_head(
        parsed,
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
    upload = await read_upload(context, parsed)
    if isinstance(upload, requests.Refusal):
        return upload
    return await commands.route_request(context.ports, current, head, upload)


async def read_upload(context, parsed):
    """Return the Upload, or the Refusal of a body that cannot be read."""
    try:
        return await requestparsing.read_upload(
            parsed.request, parsed.fields, context.max_body_bytes
        )
    except errors.UploadAborted as error:
        parsed.request.stream.keep_alive = False
        return refuse(requests.Code.REQUEST_BAD, str(error))


async def handle_route_query(context, request):
    """Return the address of the node that owns a key, as JSON."""
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
