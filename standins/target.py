"""Stand-in for a target: runs work and announces itself to its node."""

import asyncio
import collections
import dataclasses
import os
import time
import uuid

import aiohttp
import fire
import orjson
import sanic
from sanic import response
import uvloop

from standins import work as works
from standins import workhttp

ANNOUNCE_INTERVAL_S = 1.0
NOT_RUN_HEADERS = {'SJ-Not-Run': '1'}
# Sanic's default limits would cut a silent connection or a slow request.
NO_LIMIT_S = 24 * 3600
SHED_REASONS = frozenset((works.Reason.SHED, works.Reason.DRAINING))
MAX_UPLOAD_BYTES = 1 << 40


def read_boot_clock() -> float:
    """Return CLOCK_BOOTTIME in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Target:
    """State of one target: admission, faults and running work."""

    def __init__(self, profile: works.Profile, work_ms: float):
        self.admission = works.WorkAdmission(profile)
        self.faults = workhttp.Faults(work_ms=work_ms)
        self.running = collections.defaultdict(set)
        self._connection_count = 0
        # Connections with a lower number are never answered.
        self._stalled_below = 0

    def set_faults(self, data: bytes) -> None:
        """Set the faults given as JSON; raises ValueError."""
        new_faults = workhttp.update_faults(self.faults, data)
        if new_faults.cold:
            self.admission.reset_to_cold()
        if new_faults.silent:
            self._stalled_below = self._connection_count
        self.faults = new_faults.model_copy(
            update={'cold': False, 'silent': False}
        )

    async def stall_if_silenced(self, request) -> None:
        """Never return on a connection that the silent fault has stalled."""
        context = request.conn_info.ctx
        if not hasattr(context, 'number'):
            context.number = self._connection_count
            self._connection_count += 1
        if context.number < self._stalled_below:
            await asyncio.Event().wait()

    def cancel_all(self) -> None:
        """Cancel all running work."""
        for tasks in self.running.values():
            for task in tasks:
                task.cancel()

    def cancel(self, request_id: str) -> bool:
        """Cancel the work with this id; return whether it was running."""
        tasks = self.running.get(request_id, ())
        for task in tasks:
            task.cancel()
        return bool(tasks)

    async def run(self, work, accepted, receive) -> int | None:
        """Run work; return the bytes received, or None if it was cancelled.

        ``receive`` reads the upload, which counts as part of the work.
        """
        task = asyncio.create_task(self._perform(accepted, receive))
        tasks = self.running[work.request_id]
        tasks.add(task)
        try:
            await self._wait_for_end(work, task)
        finally:
            task.cancel()
            finished = task.done() and not task.cancelled()
            finished = finished and task.exception() is None
            self.admission.finish(accepted.run, read_boot_clock(), finished)
            tasks.discard(task)
            if not tasks:
                self.running.pop(work.request_id, None)
        return task.result() if finished else None

    async def _perform(self, accepted, receive) -> int:
        received = await receive()
        duration_s = self.faults.work_ms / 1000 * self.faults.slow
        await asyncio.sleep(duration_s * accepted.slowdown)
        return received

    async def _wait_for_end(self, work, task) -> None:
        while not task.done():
            now = read_boot_clock()
            # Computed anew each time, because a new grant extends the end.
            stop_time = self.admission.find_stop_time(work)
            if stop_time is not None and now >= stop_time:
                return
            remaining_s = None if stop_time is None else stop_time - now
            await asyncio.wait({task}, timeout=remaining_s)


async def handle_work(target: Target, request, path: str):
    """Answer one request for work, or refuse it.

    A target that has failed from overload aborts the connection.
    """
    try:
        work = workhttp.decode_work(
            request.headers, request.url, target.faults.key_marks
        )
        size = int(request.args.get('bytes', '0'))
    except ValueError as error:
        return response.text(f'{error}\n', 400)
    match target.admission.start(work, read_boot_clock()):
        case works.Refused(reason):
            status = 503 if reason in SHED_REASONS else 409
            return response.json(
                {'refused': reason.value},
                status,
                headers=NOT_RUN_HEADERS | {'SJ-Request-Id': work.request_id},
            )
        case works.Overloaded():
            target.cancel_all()
            return request.transport.abort()
        case works.Accepted() as accepted:
            return await send_answer(
                target, request, path, work, accepted, size
            )


async def send_answer(target, request, path, work, accepted, size):
    """Run accepted work and send its answer, subject to the faults set."""
    faults = target.faults

    async def receive():
        received_bytes = 0
        while (chunk := await request.stream.read()) is not None:
            received_bytes += len(chunk)
        return received_bytes

    received = await target.run(work, accepted, receive)
    if received is None:
        return request.transport.abort()
    request_id = work.request_id
    if faults.crossed > 0:
        request_id = uuid.uuid4().hex
        target.faults = target.faults.model_copy(
            update={'crossed': max(0, target.faults.crossed - 1)}
        )
    if faults.late > 0:
        target.faults = target.faults.model_copy(
            update={'late': max(0, target.faults.late - 1)}
        )
        await asyncio.sleep(faults.late_s)
    await target.stall_if_silenced(request)
    headers = {'SJ-Request-Id': request_id}
    if workhttp.CALL_ID in request.headers:
        headers[workhttp.CALL_ID] = request.headers[workhttp.CALL_ID]
    if size > 0:
        return await send_bytes(request, size, headers)
    return response.json(
        {
            'target': target.admission.profile.name,
            'organisation': work.organisation,
            'path': '/' + path,
            'bytes': received,
        },
        headers=headers,
    )


async def send_bytes(request, size: int, headers) -> None:
    """Stream an answer of this many bytes."""
    remaining = min(size, workhttp.MAX_ANSWER_BYTES)
    reply = await request.respond(
        headers=headers, content_type='application/octet-stream'
    )
    block = bytes(workhttp.CHUNK_BYTES)
    while remaining > 0:
        await reply.send(block[: min(remaining, len(block))])
        remaining -= len(block)
    await reply.eof()


def build_app(target: Target) -> sanic.Sanic:
    """Return the HTTP application of a target."""
    app = sanic.Sanic('standin-target', configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    app.config.RESPONSE_TIMEOUT = NO_LIMIT_S
    app.config.REQUEST_TIMEOUT = NO_LIMIT_S
    app.config.KEEP_ALIVE_TIMEOUT = NO_LIMIT_S
    app.config.REQUEST_MAX_SIZE = MAX_UPLOAD_BYTES
    app.on_request(target.stall_if_silenced)
    add_controls(app, target)
    add_reports(app, target)

    async def work(request, path=''):
        return await handle_work(target, request, path)

    app.add_route(
        work,
        '/<path:path>',
        methods=('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'),
        stream=True,
    )
    return app


def add_controls(app, target: Target) -> None:
    """Add the routes below /-/ that change the target's state."""

    @app.post('/-/grant')
    async def grant(request):
        try:
            is_accepted = target.admission.update_grant(
                workhttp.decode_grant(request.body)
            )
        except ValueError as error:
            return response.text(f'{error}\n', 400)
        return response.empty(204 if is_accepted else 409)

    @app.post('/-/drain')
    async def drain(_request):
        target.admission.draining = True
        return response.empty(204)

    @app.post('/-/cancel/<request_id:str>')
    async def cancel(_request, request_id):
        return response.empty(204 if target.cancel(request_id) else 404)

    @app.post('/-/fault')
    async def fault(request):
        try:
            target.set_faults(request.body)
        except ValueError as error:
            return response.text(f'{error}\n', 400)
        return response.json(target.faults.model_dump())


def add_reports(app, target: Target) -> None:
    """Add the routes below /-/ that only read."""

    @app.get('/-/health')
    async def health(_request):
        sample = target.admission.read_load(
            read_boot_clock(), target.faults.lag_s
        )
        is_healthy = not (sample.draining or sample.fallen)
        return response.json({'ok': is_healthy}, 200 if is_healthy else 503)

    @app.get('/-/load')
    async def load(_request):
        sample = target.admission.read_load(
            read_boot_clock(), target.faults.lag_s
        )
        return response.json(dataclasses.asdict(sample))

    @app.get('/-/history')
    async def history(_request):
        lines = [orjson.dumps(run) for run in target.admission.history]
        return response.raw(
            b''.join(line + b'\n' for line in lines),
            content_type='application/x-ndjson',
        )


async def announce(node_url: str, announcement: dict) -> None:
    """Announce the target to its node each second."""
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_INTERVAL_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            try:
                async with session.post(
                    f'{node_url}/announce', json=announcement
                ):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                # The node may be down or paused; the next attempt is soon.
                pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def serve(target, host, port, node_url, announcement) -> None:
    """Serve until cancelled."""
    server = await build_app(target).create_server(
        host=host, port=port, return_asyncio_server=True
    )
    await server.startup()
    await server.start_serving()
    await announce(node_url, announcement)


def main(
    name,
    service,
    zone,
    port,
    node_url,
    host='127.0.0.1',
    slots='12',
    cold_slots='2',
    work_ms='1',
    checks_grants='1',
    needs_grant='0',
) -> None:
    """Run the stand-in."""
    os.environ['UV_USE_IO_URING'] = '0'
    profile = works.Profile(
        str(name),
        str(service),
        int(slots),
        int(cold_slots),
        str(checks_grants) == '1',
        str(needs_grant) == '1',
    )
    announcement = {
        'service': profile.service,
        'zone': str(zone),
        'slots': profile.slots,
        'cold_slots': profile.cold_slots,
        'port': int(port),
        'checks_grants': profile.checks_grants,
    }
    target = Target(profile, float(work_ms))
    uvloop.run(serve(target, str(host), int(port), node_url, announcement))


if __name__ == '__main__':
    fire.Fire(main)
