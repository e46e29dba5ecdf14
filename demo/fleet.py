"""Starts stand-ins and nodes as processes, as an init system would."""

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
STOP_TIMEOUT_S = 10.0
FIRST_PORT = 10_000
BLOCK_PORTS = 128
BLOCK_COUNT = 170


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Names and ports of one target and its node."""

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
    """Allocates ports that no other fleet on the machine uses.

    Ports come in blocks below the ephemeral range. The first port of a block
    stays bound while the block is in use, which reserves the block.
    """

    def __init__(self):
        self._stack = contextlib.ExitStack()
        self._unused = []

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self._stack.close()

    def allocate(self, count: int) -> list[int]:
        """Return ports that are free for TCP and UDP."""
        allocated = []
        while len(allocated) < count:
            if not self._unused:
                self._unused = self._reserve_block()
            port = self._unused.pop(0)
            if is_free(port):
                allocated.append(port)
        return allocated

    def _reserve_block(self) -> list[int]:
        first_block = os.getpid() % BLOCK_COUNT
        for step in range(BLOCK_COUNT):
            start = (
                FIRST_PORT + (first_block + step) % BLOCK_COUNT * BLOCK_PORTS
            )
            reservation = socket.socket()
            try:
                reservation.bind((HOST, start))
            except OSError:
                reservation.close()
                continue
            self._stack.enter_context(reservation)
            return list(range(start + 1, start + BLOCK_PORTS))
        raise RuntimeError('no free block of ports; stop other fleets')


def is_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            if kind == socket.SOCK_STREAM:
                # Connections in TIME_WAIT do not prevent a listener.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


class Fleet:
    """Processes of a fleet; leaving the context stops them all.

    Each process writes its output to a file in the directory ``logs``, which
    is removed at the end.
    """

    def __init__(self, layout, slots: int, zones, work_ms: float = 1.0):
        """Allocate the ports; ``layout`` holds (service, count) pairs.

        ``slots`` and ``work_ms`` apply to each target. ``node_flags`` holds
        further flags by instance name, ``target_flags`` those of all targets.
        """
        self.instances = []
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
                self.instances.append(
                    Instance(
                        f'{service}-{number}',
                        service,
                        zones[index % len(zones)],
                        slots,
                        # Every second target checks grants.
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
            for instance in self.instances:
                self.start_node(instance)
                self.start_target(instance)
            stack.pop_all()
        return self

    def __exit__(self, *_exc):
        with self._stack:
            try:
                self._stop()
            finally:
                # Reached also when the stop was interrupted.
                for process in self.processes.values():
                    if process.poll() is None:
                        process.kill()
                        process.wait()

    def _stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                # A process that a test has paused cannot handle SIGTERM.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))

    def start(self, key: str, module: str, **flags) -> None:
        """Start a module as a process; ``key`` names it in ``processes``."""
        command = [sys.executable, '-m', module]
        command += [
            f'--{name.replace("_", "-")}={value}'
            for name, value in flags.items()
        ]
        path = self.logs / (key.replace(':', '-') + '.log')
        with path.open('ab') as output:
            # In a session of its own a child does not get Ctrl-C from the
            # terminal; the parent stops its children in order.
            self.processes[key] = subprocess.Popen(
                command,
                env=os.environ | {'UV_USE_IO_URING': '0'},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def start_node(self, instance: Instance) -> None:
        """Start the node of an instance."""
        self.start(
            f'node:{instance.name}',
            'sesamejunction.ui.node',
            name=instance.name,
            zone=instance.zone,
            host=HOST,
            caller_port=instance.caller_port,
            peer_port=instance.peer_port,
            operator_port=instance.operator_port,
            fleet_secret=SECRET,
            operator_key_sha256=hashlib.sha256(
                OPERATOR_KEY.encode()
            ).hexdigest(),
            **{'log_url': self.log_url}
            | self.node_flags.get(instance.name, {}),
        )

    def start_target(self, instance: Instance) -> None:
        """Start the target of an instance."""
        self.start(
            f'target:{instance.name}',
            'standins.target',
            name=instance.name,
            service=instance.service,
            zone=instance.zone,
            port=instance.target_port,
            node_url=f'http://{HOST}:{instance.operator_port}',
            slots=instance.slots,
            work_ms=self._work_ms,
            checks_grants=int(instance.checks_grants),
            **self.target_flags,
        )
