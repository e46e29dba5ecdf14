"""A fleet for measurements of the routed path."""

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
START_S = 20.0
# A key with a fifth of a node's requests is moved to another node, and the
# path to its owner would then be measured with a hop.
KEYS = 20
ZONES = ('a', 'b', 'c')


def build_ticket(routing: state.Routing) -> records.TicketApplied:
    """Return the declaration."""
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    return records.TicketApplied(
        1,
        'bench',
        'bench',
        organisations=(state.Organisation('bench', 1e6, 1e6),),
        caller_keys=(state.CallerKey(digest, 'bench'),),
        services=(state.Service('catalogue', routing, 64),),
        zones=tuple((one, state.Standing.IN) for one in ZONES),
    )


@contextlib.contextmanager
def run_fleet(
    targets: int,
    routing=state.Routing.KEY,
    work_ms: float = 0.0,
    kind=fleet.Fleet,
):
    """Run nodes of one service until the caller leaves.

    At least four, since a node needs three others as witnesses.
    """
    layout = (('catalogue', targets),)
    with kind(layout, 12, ZONES, work_ms) as running:
        wait_for_port(running.log_port)
        connection = http.client.HTTPConnection(fleet.HOST, running.log_port)
        record = recordcodec.encode_record('bench-1', build_ticket(routing))
        connection.request('POST', '/records', record)
        connection.getresponse().read()
        for spot in running.spots:
            wait_for_answer(spot)
        yield running


def wait_for_port(port: int) -> None:
    """Wait until a process listens."""
    ends = time.monotonic() + START_S
    while time.monotonic() < ends:
        with contextlib.suppress(OSError):
            socket.create_connection((fleet.HOST, port)).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f'nothing listens on port {port}')


def wait_for_answer(spot: fleet.Spot) -> None:
    """Wait until requests through the node are answered."""
    ends = time.monotonic() + START_S
    while time.monotonic() < ends:
        with contextlib.suppress(OSError):
            if call(spot, '/catalogue/stock', 'warm').status == 200:
                return
        time.sleep(0.1)
    raise TimeoutError(f'{spot.name} does not answer')


def call(spot: fleet.Spot, path: str, key: str):
    """Return the reply to one request over a new connection."""
    connection = http.client.HTTPConnection(fleet.HOST, spot.caller_port)
    headers = {'Authorization': f'Bearer {CALLER_KEY}', 'SJ-Key': key}
    connection.request('GET', path, headers=headers)
    reply = connection.getresponse()
    reply.body = reply.read()
    return reply


def find_keys(running, owner: fleet.Spot) -> list[str]:
    """Return keys that the spot owns, so many that none becomes hot."""
    address = f'{fleet.HOST}:{owner.caller_port}'
    found = []
    for number in range(1000):
        path = (
            '/.well-known/sesamejunction/route'
            f'?service=catalogue&key=lot-{number}'
        )
        reply = call(owner, path, '')
        if json.loads(reply.body).get('owner') == address:
            found.append(f'lot-{number}')
        if len(found) == KEYS:
            return found
    raise RuntimeError(f'{owner.name} owns too few keys')


def start_forwarder(running, target_port: int) -> int:
    """Start the bare forwarder and return its port."""
    with fleet.PortAllocator() as free:
        port = free.allocate(1)[0]
    running.start(
        'forwarder',
        'bench.forwarder',
        port=port,
        target_url=f'http://{fleet.HOST}:{target_port}',
    )
    wait_for_port(port)
    return port
