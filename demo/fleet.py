"""Starts stand-ins and nodes as an operator's init system would."""

import contextlib
import dataclasses
import hashlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

HOST = '127.0.0.1'
SECRET = 'demo-fleet-secret-0001'
OPERATOR_KEY = 'demo-operator-key'
STOP_S = 10.0
FIRST_PORT = 10_000
BLOCK_PORTS = 128
BLOCKS = 170


@dataclasses.dataclass(frozen=True, slots=True)
class Spot:
    """One target and its node."""

    name: str
    service: str
    zone: str
    slots: int
    checks_grants: bool
    caller_port: int
    peer_port: int
    operator_port: int
    target_port: int


class PortAllocator:
    """Hands out ports that no other fleet on the machine gets.

    Ports come in blocks below the range that the system gives to clients.
    The first port of a block stays bound for as long as the block is used.
    """

    def __init__(self):
        self._stack = contextlib.ExitStack()
        self._left = []

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self._stack.close()

    def allocate(self, count: int) -> list[int]:
        """Return ports that are free for TCP and UDP."""
        taken = []
        while len(taken) < count:
            if not self._left:
                self._left = self._hold_block()
            port = self._left.pop(0)
            if is_free(port):
                taken.append(port)
        return taken

    def _hold_block(self) -> list[int]:
        first = os.getpid() % BLOCKS
        for step in range(BLOCKS):
            start = FIRST_PORT + (first + step) % BLOCKS * BLOCK_PORTS
            guard = socket.socket()
            try:
                guard.bind((HOST, start))
            except OSError:
                guard.close()
                continue
            self._stack.enter_context(guard)
            return list(range(start + 1, start + BLOCK_PORTS))
        raise RuntimeError('no free block of ports; stop other fleets')


def is_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as one:
            if kind == socket.SOCK_STREAM:
                # A finished connection does not keep a listener away.
                one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind((HOST, port))
            except OSError:
                return False
    return True


class Fleet:
    """Processes of a demonstration fleet; leaving stops them all.

    Each process writes to its own file in the directory ``logs``, which is
    removed at the end.
    """

    def __init__(self, layout, slots: int, zones, work_ms: float = 1.0):
        """Choose the ports; ``layout`` holds (service, count) pairs.

        ``node_flags`` holds further flags by spot name, ``target_flags``
        those of all targets.
        """
        self.spots = []
        self.processes = {}
        self.logs = None
        self.node_flags = {}
        self.target_flags = {}
        self._work_ms = work_ms
        self._stack = contextlib.ExitStack()
        self.ports = self._stack.enter_context(PortAllocator())
        self.log_port = self.ports.allocate(1)[0]
        self.log_url = f'http://{HOST}:{self.log_port}'
        index = 0
        for service, count in layout:
            for number in range(count):
                self.spots.append(
                    Spot(
                        f'{service}-{number}',
                        service,
                        zones[index % len(zones)],
                        slots,
                        number % 2 == 0,
                        *self.ports.allocate(4),
                    )
                )
                index += 1

    def __enter__(self):
        with contextlib.ExitStack() as stack:
            stack.push(self.__exit__)
            self.logs = pathlib.Path(
                self._stack.enter_context(tempfile.TemporaryDirectory())
            )
            self.start('log', 'standins.log', port=self.log_port)
            for spot in self.spots:
                self.start_node(spot)
                self.start_target(spot)
            stack.pop_all()
        return self

    def __exit__(self, *_exc):
        with self._stack:
            try:
                self._stop()
            finally:
                # Also after an interrupt during the stop.
                for process in self.processes.values():
                    if process.poll() is None:
                        process.kill()
                        process.wait()

    def _stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                # A process that a test has paused must run to be stopped.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        ends = time.monotonic() + STOP_S
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, ends - time.monotonic()))

    def start(self, key: str, module: str, **flags) -> None:
        """Start a module with flags."""
        command = [sys.executable, '-m', module]
        command += [
            f'--{name.replace("_", "-")}={value}'
            for name, value in flags.items()
        ]
        path = self.logs / (key.replace(':', '-') + '.log')
        with path.open('ab') as output:
            # An own session, so that the terminal's interrupt reaches only
            # this process, which then stops the others in order.
            self.processes[key] = subprocess.Popen(
                command,
                env=os.environ | {'UV_USE_IO_URING': '0'},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def start_node(self, spot: Spot) -> None:
        """Start the node of a spot."""
        self.start(
            f'node:{spot.name}',
            'sesamejunction.ui.node',
            name=spot.name,
            zone=spot.zone,
            host=HOST,
            caller_port=spot.caller_port,
            peer_port=spot.peer_port,
            operator_port=spot.operator_port,
            fleet_secret=SECRET,
            operator_key_sha256=hashlib.sha256(
                OPERATOR_KEY.encode()
            ).hexdigest(),
            **{'log_url': self.log_url} | self.node_flags.get(spot.name, {}),
        )

    def start_target(self, spot: Spot) -> None:
        """Start the target of a spot."""
        self.start(
            f'target:{spot.name}',
            'standins.target',
            name=spot.name,
            service=spot.service,
            zone=spot.zone,
            port=spot.target_port,
            node_url=f'http://{HOST}:{spot.operator_port}',
            slots=spot.slots,
            work_ms=self._work_ms,
            checks_grants=int(spot.checks_grants),
            **self.target_flags,
        )
