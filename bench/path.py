"""Measures latency, requests per core and idle cost of the request path."""

import argparse
import asyncio
import itertools
import os
import resource
import socket
import time

from bench import fixture
from demo import fleet

ROUNDS = 10
# Requests on each path in a round.
REQUESTS = 200
WARM_UP_REQUESTS = 300
LOAD_REQUESTS = 1600
# The paths alternate, so that noise of the machine affects all alike.
LOAD_ROUNDS = 5
CONNECTIONS = 8
IDLE_S = 5.0
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def build_request(port: int, path: str, key: str) -> bytes:
    """Return the bytes of one request."""
    return (
        f'GET {path} HTTP/1.1\r\nHost: {fleet.HOST}:{port}\r\n'
        f'Authorization: Bearer {fixture.CALLER_KEY}\r\nSJ-Key: {key}\r\n'
        'SJ-Request-Id: bench.1\r\n\r\n'
    ).encode()


class Caller:
    """A blocking connection that sends requests for the keys in turn."""

    def __init__(self, port: int, path: str, keys: list[str]):
        self._socket = socket.create_connection((fleet.HOST, port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._requests = itertools.cycle(
            [build_request(port, path, key) for key in keys]
        )

    def call(self) -> float:
        """Send one request; return its latency in seconds."""
        request = next(self._requests)
        started = time.perf_counter()
        self._socket.sendall(request)
        data = b''
        while not is_complete(data):
            data += self._socket.recv(65536)
        taken_s = time.perf_counter() - started
        if not data.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(data[:300].decode())
        return taken_s


def is_complete(data: bytes) -> bool:
    """Return whether the bytes hold a complete HTTP reply."""
    head, separator, body = data.partition(b'\r\n\r\n')
    if not separator:
        return False
    lower = head.lower()
    if b'transfer-encoding: chunked' in lower:
        return body.endswith(b'0\r\n\r\n')
    length = lower.split(b'content-length: ')[1].split(b'\r\n')[0]
    return len(body) >= int(length)


def percentile_ms(values: list[float], fraction: float) -> float:
    """Return a percentile of values in seconds, in milliseconds."""
    return sorted(values)[int(len(values) * fraction)] * 1000


def measure_latency(callers: dict[str, Caller]) -> None:
    """Print the latency of each path, one request at a time."""
    latencies = {name: [] for name in callers}
    for caller in callers.values():
        for _ in range(WARM_UP_REQUESTS):
            caller.call()
    # The paths alternate, so that noise of the machine affects all alike.
    for _ in range(ROUNDS):
        for name, caller in callers.items():
            latencies[name] += [caller.call() for _ in range(REQUESTS)]
    baseline = {
        fraction: percentile_ms(latencies['target'], fraction)
        for fraction in (0.5, 0.99)
    }
    for name, values in latencies.items():
        p50, p99 = percentile_ms(values, 0.5), percentile_ms(values, 0.99)
        print(
            f'{name:10} p50 {p50:6.3f} ms (+{p50 - baseline[0.5]:6.3f})'
            f'  p99 {p99:6.3f} ms (+{p99 - baseline[0.99]:6.3f})'
        )


def read_processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f'/proc/{pid}/stat') as stat_file:
        fields = stat_file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    with open(f'/proc/{pid}/statm') as stat_file:
        return (
            int(stat_file.read().split()[1]) * resource.getpagesize() / 2**20
        )


async def send_many(port: int, path: str, keys, count: int) -> None:
    """Send requests over one connection."""
    reader, writer = await asyncio.open_connection(fleet.HOST, port)
    requests = [build_request(port, path, key) for key in keys]
    for number in range(count):
        writer.write(requests[number % len(requests)])
        data = b''
        while not is_complete(data):
            data += await reader.read(65536)
        if not data.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(data[:300].decode())
    writer.close()


async def send_load(port: int, path: str, keys: list[str]) -> None:
    """Send LOAD_REQUESTS requests over several connections."""
    await asyncio.gather(
        *(
            send_many(port, path, keys, LOAD_REQUESTS // CONNECTIONS)
            for _ in range(CONNECTIONS)
        )
    )


def measure_load(paths: dict, pids: dict[str, int], keys) -> None:
    """Print each process's requests per second of processor time."""
    cpu_s = dict.fromkeys(pids, 0.0)
    elapsed_s = dict.fromkeys(pids, 0.0)
    for _ in range(LOAD_ROUNDS):
        for name, pid in pids.items():
            before, started = read_processor_s(pid), time.perf_counter()
            asyncio.run(send_load(*paths[name], keys))
            elapsed_s[name] += time.perf_counter() - started
            cpu_s[name] += read_processor_s(pid) - before
    count = LOAD_REQUESTS * LOAD_ROUNDS
    for name, pid in pids.items():
        print(
            f'{name:10} {count / cpu_s[name]:6.0f} requests/s a core'
            f' ({cpu_s[name] / count * 1e6:5.0f} us each,'
            f' {cpu_s[name] / cpu_s["forwarder"]:4.2f} of the forwarder;'
            f' {count / elapsed_s[name]:5.0f}/s offered,'
            f' {read_memory_mb(pid):5.1f} MiB)'
        )


def measure_idle(pid: int) -> None:
    """Print processor time and memory of an idle node."""
    before = read_processor_s(pid)
    time.sleep(IDLE_S)
    cpu_ms_per_s = (read_processor_s(pid) - before) / IDLE_S * 1000
    print(f'idle node  {cpu_ms_per_s:.1f} ms/s, {read_memory_mb(pid):.1f} MiB')


def main() -> None:
    """Run the measurement."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    with fixture.run_fleet(targets=4) as running:
        owner, other = running.instances[:2]
        keys = fixture.find_keys(running, owner)
        forwarder_port = fixture.start_forwarder(running, owner.target_port)
        paths = {
            'target': (owner.target_port, '/stock'),
            'forwarder': (forwarder_port, '/stock'),
            'owner': (owner.caller_port, '/catalogue/stock'),
            'hop': (other.caller_port, '/catalogue/stock'),
        }
        measure_latency(
            {name: Caller(*endpoint, keys) for name, endpoint in paths.items()}
        )
        names = {
            'forwarder': 'forwarder',
            'owner': f'node:{owner.name}',
            'hop': f'node:{other.name}',
        }
        pids = {
            name: running.processes[process_key].pid
            for name, process_key in names.items()
        }
        measure_load(paths, pids, keys)
        measure_idle(running.processes[f'node:{other.name}'].pid)


if __name__ == '__main__':
    main()
