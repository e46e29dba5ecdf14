"""Runs a fleet for measurements of the request path."""

import contextlib
import hashlib
import http.client
import json
import socket
import time

from demo import fleet
from sesamejunction.border import recordcodec
from sesamejunction.model import records
from sesamejunction.model import state

CALLER_KEY = 'bench-caller-key'
START_TIMEOUT_S = 20.0
# Requests are spread over so many keys that none is hot. A key with a fifth of
# a node's requests would be moved to another node, and the path to its owner
# would include a hop.
KEYS = 20
ZONES = ('a', 'b', 'c')


def build_ticket(routing: state.Routing) -> records.TicketApplied:
    """Return a ticket that declares an organisation, its key and a service."""
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    return records.TicketApplied(
        1,
        'bench',
        'bench',
        organisations=(state.Organisation('bench', 1e6, 1e6),),
        caller_keys=(state.CallerKey(digest, 'bench'),),
        services=(state.Service('catalogue', routing, 64),),
        zones=tuple((zone, state.Standing.IN) for zone in ZONES),
    )


@contextlib.contextmanager
def run_fleet(
    targets: int,
    routing=state.Routing.KEY,
    work_ms: float = 0.0,
    fleet_class=fleet.Fleet,
):
    """Run the nodes of one service while the context is open.

    ``targets`` must be at least 4, since a node needs three others as
    witnesses.
    """
    layout = (('catalogue', targets),)
    with fleet_class(layout, 12, ZONES, work_ms) as running:
        wait_for_port(running.log_port)
        connection = http.client.HTTPConnection(fleet.HOST, running.log_port)
        record = recordcodec.encode_record('bench-1', build_ticket(routing))
        connection.request('POST', '/records', record)
        connection.getresponse().read()
        for instance in running.instances:
            wait_for_answer(instance)
        yield running


def wait_for_port(port: int) -> None:
    """Wait until a process listens on a port."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((fleet.HOST, port)).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f'nothing listens on port {port}')


def wait_for_answer(instance: fleet.Instance) -> None:
    """Wait until the instance's node answers a request with 200."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if (
                send_request(instance, '/catalogue/stock', 'warm').status
                == 200
            ):
                return
        time.sleep(0.1)
    raise TimeoutError(f'{instance.name} does not answer')


def send_request(instance: fleet.Instance, path: str, key: str):
    """Send one request over a new connection.

    Returns the reply, with its body in the added attribute ``body``.
    """
    connection = http.client.HTTPConnection(fleet.HOST, instance.caller_port)
    headers = {'Authorization': f'Bearer {CALLER_KEY}', 'SJ-Key': key}
    connection.request('GET', path, headers=headers)
    reply = connection.getresponse()
    reply.body = reply.read()
    return reply


def find_keys(running, owner: fleet.Instance) -> list[str]:
    """Return KEYS keys that the instance owns.

    Raises RuntimeError if it owns too few of a thousand keys.
    """
    address = f'{fleet.HOST}:{owner.caller_port}'
    owned_keys = []
    for number in range(1000):
        path = (
            '/.well-known/sesamejunction/route'
            f'?service=catalogue&key=lot-{number}'
        )
        reply = send_request(owner, path, '')
        if json.loads(reply.body).get('owner') == address:
            owned_keys.append(f'lot-{number}')
        if len(owned_keys) == KEYS:
            return owned_keys
    raise RuntimeError(f'{owner.name} owns too few keys')


def start_forwarder(running, target_port: int) -> int:
    """Start the bare forwarder in front of a target; return its port."""
    with fleet.PortAllocator() as allocator:
        port = allocator.allocate(1)[0]
    running.start(
        'forwarder',
        'bench.forwarder',
        port=port,
        target_url=f'http://{fleet.HOST}:{target_port}',
    )
    wait_for_port(port)
    return port
