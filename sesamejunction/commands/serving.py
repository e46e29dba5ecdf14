"""Runs a request at the target beside this node."""

import asyncio
import contextlib
import dataclasses

from sesamejunction.commands import ports as porting
from sesamejunction.decisions import hashing
from sesamejunction import errors
from sesamejunction.model import gating
from sesamejunction.model import once
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.queries import routes

KEPT_ANSWER_BYTES = 64 * 1024

refuse = porting.refuse


async def serve_request(ports, current: state.State, head, upload):
    """Run a request here; returns Answer or Refusal.

    Raises PeerLost when it may have run without an answer.
    """
    service = current.services.get(head.service)
    if service is None:
        return refuse(
            requests.Code.SERVICE_UNKNOWN, 'the service is not known here'
        )
    visit = Visit(ports, head)
    try:
        reply = await _serve(visit, current, service, upload)
    except BaseException:
        visit.close()
        raise
    match reply:
        case requests.Answer():
            reply.resources.callback(visit.close)
        case _:
            visit.close()
    return reply


class Visit:
    """What one request holds at this node; ``close`` gives it back."""

    def __init__(self, ports, head: requests.Head):
        self.ports = ports
        self.head = head
        self.place = None
        self.key_hash = None
        self.serving = None
        self.identity = None
        self.kept = None
        self.grant = None
        self.load = None
        self.latency_s = None
        self.queued = False
        self.sent = False
        self.declined = False
        self.shed = False
        self.complete = False

    @property
    def may_run_on(self) -> bool:
        """Return whether the target may still work on the request."""
        return self.sent and not (self.complete or self.declined)

    def close(self) -> None:
        """Give back slot, place at the target and record."""
        ports, head = self.ports, self.head
        if self.may_run_on:
            ports.target.cancel(head.request_id)
        if self.queued:
            ports.gate.tell_reliably(
                gating.WorkFinished(head.request_id, self.latency_s, self.shed)
            )
        if self.identity is not None:
            ports.once.tell_reliably(self._describe_result())
        if self.place is not None:
            self._leave_slot()

    def _leave_slot(self) -> None:
        leave = owning.LeaveSlot(*self.place, self.head.request_id)
        if not self.may_run_on:
            self.ports.owners.tell_reliably(leave)
            return
        # A release says that nothing runs in the slot any more, so the slot
        # is kept until the target must have given up.
        now = self.ports.clock()
        until = self.grant.end
        if self.head.deadline > now:
            until = min(until, self.head.deadline)
        rest = max(0.0, until - now)
        asyncio.get_running_loop().call_later(
            rest, self.ports.owners.tell_reliably, leave
        )

    def _describe_result(self):
        mine = self.identity, self.head.request_id
        if not self.sent or self.declined:
            return once.Forget(*mine)
        if self.complete:
            return once.RecordResult(*mine, once.Progress.ANSWERED, self.kept)
        return once.RecordResult(*mine, once.Progress.UNKNOWN)


async def _serve(visit, current, service, upload):
    if not routes.needs_owner(service, visit.head):
        visit.grant = requests.Grant(visit.ports.lease.current.end)
        return await _run(visit, upload)
    key = routes.find_placement_key(service, visit.head)
    slot = None if key is None else routes.find_slot(current, service, key)
    if slot is None:
        return refuse(requests.Code.NO_OWNER, 'no node owns the key now')
    visit.place = service.name, slot
    visit.key_hash = hashing.hash_key(key)
    refusal = await _enter(visit, current)
    if refusal is not None:
        return refusal
    by_key = service.routing is state.Routing.KEY
    if by_key and visit.ports.keys is not None:
        now = visit.ports.clock()
        visit.ports.keys.count(service.name, visit.key_hash, now)
    if visit.head.repeatable:
        return await _run(visit, upload)
    identity = once.Identity(
        visit.head.organisation,
        visit.head.route_key if by_key else None,
        visit.head.idempotency_key,
    )
    return await _run_once(visit, identity, upload)


async def _enter(visit, current) -> requests.Refusal | None:
    """Enter the slot; returns why not, or None."""
    reply = await visit.ports.owners.ask(
        owning.EnterSlot(*visit.place, visit.head.request_id, visit.key_hash)
    )
    match reply:
        case owning.NotServing(owner=owner, ready_in_s=ready_in_s):
            visit.place = None
            member = current.members.get(owner)
            return refuse(
                requests.Code.NOT_OWNER,
                'this node does not own the key; ask its owner',
                retry_after_s=ready_in_s,
                owner=member and routes.format_address(member),
            )
        case owning.Serving(token=token):
            visit.serving = reply
            visit.grant = requests.Grant(
                reply.lease_end, reply.work_end, token, visit.place[1]
            )


async def _run_once(visit, identity, upload):
    head, serving = visit.head, visit.serving
    # Set before the question: if this task is cancelled while it waits, the
    # record may have been made, and it is ours to give back.
    visit.identity = identity
    begun = await visit.ports.once.ask(
        once.Begin(
            identity,
            head.request_id,
            *visit.place,
            serving.owned_since,
        )
    )
    match begun:
        case once.AlreadyAnswered(answer=answer):
            visit.identity = None
            return _replay(answer)
        case requests.Refusal():
            visit.identity = None
            return begun
    reply = await _run(visit, upload)
    if isinstance(reply, requests.Answer):
        return await _keep_answer(visit, reply)
    return reply


async def _run(visit, upload):
    """Wait for a place, check the lease, send; returns Answer or Refusal."""
    ports, head = visit.ports, visit.head
    refusal = await _take_place(visit)
    if refusal is not None:
        return refusal
    now = ports.clock()
    if not may_start(visit.grant, now):
        refusal = await _renew_grant(visit)
        if refusal is not None:
            return refusal
    visit.sent = True
    try:
        reply = await ports.target.send(visit.grant, head, upload)
    except errors.PeerUnavailable as error:
        if isinstance(error, errors.PeerConnectionLost):
            raise
        visit.sent = False
        return refuse(
            requests.Code.NO_TARGET, 'the target takes no connection; retry'
        )
    if isinstance(reply, requests.Refusal):
        visit.declined = True
        visit.shed = reply.code is requests.Code.SHED
        return dataclasses.replace(reply, load=visit.load)
    if not upload.is_streamed:
        visit.latency_s = ports.clock() - now
    return requests.Answer(
        reply.status,
        reply.headers,
        _watch(visit, reply.chunks),
        reply.resources,
        visit.load,
    )


def may_start(grant: requests.Grant, now: float) -> bool:
    """Return whether work may be sent to the target under the grant."""
    return now < grant.start_before


async def _take_place(visit) -> requests.Refusal | None:
    """Wait for a place at the target; returns why there is none, or None."""
    ports, head = visit.ports, visit.head
    visit.queued = True
    try:
        async with asyncio.timeout(max(0.0, head.deadline - ports.clock())):
            reply = await ports.gate.ask(gating.Admit(head))
    except TimeoutError:
        return refuse(
            requests.Code.DEADLINE,
            'the deadline passed while the request waited; it did not run',
        )
    if isinstance(reply, requests.Refusal):
        return reply
    visit.load = reply.load
    return None


async def _renew_grant(visit) -> requests.Refusal | None:
    """Ask again for a lease that ended while the request waited.

    Another owner may have served the slot in between; then the request must
    not run here under what was decided before.
    """
    ports, before = visit.ports, visit.serving
    lost = refuse(
        requests.Code.NO_LEASE, 'this node has lost its lease; retry'
    )
    if before is None:
        visit.grant = requests.Grant(ports.lease.current.end)
    else:
        ports.owners.tell_reliably(
            owning.LeaveSlot(*visit.place, visit.head.request_id)
        )
        refusal = await _enter(visit, state.State())
        if refusal is not None:
            return lost
        after = visit.serving
        if (after.token, after.owned_since) != (
            before.token,
            before.owned_since,
        ):
            return lost
    return None if may_start(visit.grant, ports.clock()) else lost


async def _watch(visit, chunks):
    async for chunk in chunks:
        yield chunk
    visit.complete = True


async def _keep_answer(visit, answer):
    """Read an answer that is small enough to keep before passing it on."""
    held = []
    size = 0
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(answer.resources.aclose)
        async for chunk in answer.chunks:
            held.append(chunk)
            size += len(chunk)
            if size > KEPT_ANSWER_BYTES:
                break
        else:
            visit.kept = once.KeptAnswer(
                answer.status, answer.headers, b''.join(held)
            )
        stack.pop_all()
    return dataclasses.replace(answer, chunks=_join(held, answer.chunks))


async def _join(held, chunks):
    for chunk in held:
        yield chunk
    async for chunk in chunks:
        yield chunk


def _replay(answer: once.KeptAnswer) -> requests.Answer:
    return requests.Answer(
        answer.status,
        answer.headers,
        _join((answer.body,), _nothing()),
        contextlib.AsyncExitStack(),
    )


async def _nothing():
    return
    yield
