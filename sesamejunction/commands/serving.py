"""Runs a request at the local target; a keyed one enters its slot first."""

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

MAX_KEPT_ANSWER_BYTES = 64 * 1024

refuse = porting.refuse


async def serve_request(ports, current: state.State, head, upload):
    """Run a request at the local target; returns Answer or Refusal.

    Raises PeerConnectionLost when it may have run without an answer.
    """
    service = current.services.get(head.service)
    if service is None:
        return refuse(
            requests.Code.SERVICE_UNKNOWN, 'the service is not known here'
        )
    execution = RequestExecution(ports, head)
    try:
        reply = await _serve(execution, current, service, upload)
    except BaseException:
        execution.close()
        raise
    match reply:
        case requests.Answer():
            reply.resources.callback(execution.close)
        case _:
            execution.close()
    return reply


class RequestExecution:
    """Resources that a request holds at this node; ``close`` releases them.

    ``service_slot`` is set while the request is in a slot, ``queued`` once it
    has asked for a permit. ``identity`` is set while an idempotency record
    may exist that this request must update. ``sent`` means that the target
    may have received the request, ``declined`` that it refused it, and
    ``complete`` that its answer was read to the end.
    """

    def __init__(self, ports, head: requests.Head):
        self.ports = ports
        self.head = head
        self.service_slot = None
        self.key_hash = None
        self.serving = None
        self.identity = None
        self.kept_answer = None
        self.grant = None
        self.load = None
        self.latency_s = None
        self.queued = False
        self.sent = False
        self.declined = False
        self.shed = False
        self.complete = False

    @property
    def may_still_run(self) -> bool:
        """Return whether the request may still be running at the target."""
        return self.sent and not (self.complete or self.declined)

    def close(self) -> None:
        """Release the slot, the permit and the idempotency record."""
        ports, head = self.ports, self.head
        if self.may_still_run:
            ports.target.cancel(head.request_id)
        if self.queued:
            ports.gate.tell_reliably(
                gating.WorkFinished(head.request_id, self.latency_s, self.shed)
            )
        if self.identity is not None:
            ports.once.tell_reliably(self._build_record_message())
        if self.service_slot is not None:
            self._leave_slot()

    def _leave_slot(self) -> None:
        message = owning.LeaveSlot(*self.service_slot, self.head.request_id)
        if not self.may_still_run:
            self.ports.owners.tell_reliably(message)
            return
        # A released slot must have no running request, so the slot is kept
        # until the target must have abandoned this one: at its deadline, but
        # at the end of the grant if that is earlier or the deadline has
        # passed already.
        now = self.ports.clock()
        until = self.grant.end
        if self.head.deadline > now:
            until = min(until, self.head.deadline)
        delay_s = max(0.0, until - now)
        asyncio.get_running_loop().call_later(
            delay_s, self.ports.owners.tell_reliably, message
        )

    def _build_record_message(self):
        record_id = self.identity, self.head.request_id
        if not self.sent or self.declined:
            return once.Forget(*record_id)
        if self.complete:
            return once.RecordResult(
                *record_id, once.Progress.ANSWERED, self.kept_answer
            )
        return once.RecordResult(*record_id, once.Progress.UNKNOWN)


async def _serve(execution, current, service, upload):
    if not routes.needs_owner(service, execution.head):
        execution.grant = requests.Grant(execution.ports.lease.current.end)
        return await _run(execution, upload)
    key = routes.find_placement_key(service, execution.head)
    slot = None if key is None else routes.find_slot(current, service, key)
    if slot is None:
        return refuse(requests.Code.NO_OWNER, 'no node owns the key now')
    execution.service_slot = service.name, slot
    execution.key_hash = hashing.hash_key(key)
    refusal = await _enter_slot(execution, current)
    if refusal is not None:
        return refusal
    by_key = service.routing is state.Routing.KEY
    if by_key and execution.ports.keys is not None:
        now = execution.ports.clock()
        execution.ports.keys.count(service.name, execution.key_hash, now)
    if execution.head.repeatable:
        return await _run(execution, upload)
    identity = once.Identity(
        execution.head.organisation,
        execution.head.route_key if by_key else None,
        execution.head.idempotency_key,
    )
    return await _run_once(execution, identity, upload)


async def _enter_slot(execution, current) -> requests.Refusal | None:
    """Enter the slot; returns a refusal or None."""
    reply = await execution.ports.owners.ask(
        owning.EnterSlot(
            *execution.service_slot,
            execution.head.request_id,
            execution.key_hash,
        )
    )
    match reply:
        case owning.NotServing(owner=owner, ready_in_s=ready_in_s):
            execution.service_slot = None
            member = current.members.get(owner)
            return refuse(
                requests.Code.NOT_OWNER,
                'this node does not own the key; ask its owner',
                retry_after_s=ready_in_s,
                owner=member and routes.format_address(member),
            )
        case owning.Serving(token=token):
            execution.serving = reply
            execution.grant = requests.Grant(
                reply.lease_end,
                reply.work_end,
                token,
                execution.service_slot[1],
            )


async def _run_once(execution, identity, upload):
    head, serving = execution.head, execution.serving
    # Set before asking: if this task is cancelled during the wait, the record
    # may exist already, and close() must update or remove it.
    execution.identity = identity
    once_reply = await execution.ports.once.ask(
        once.Begin(
            identity,
            head.request_id,
            *execution.service_slot,
            serving.owned_since,
        )
    )
    match once_reply:
        case once.AlreadyAnswered(answer=answer):
            execution.identity = None
            return _repeat_answer(answer)
        case requests.Refusal():
            execution.identity = None
            return once_reply
    reply = await _run(execution, upload)
    if isinstance(reply, requests.Answer):
        return await _keep_answer(execution, reply)
    return reply


async def _run(execution, upload):
    """Acquire a permit, check the grant and send the request.

    Returns Answer or Refusal.
    """
    ports, head = execution.ports, execution.head
    refusal = await _acquire_permit(execution)
    if refusal is not None:
        return refusal
    now = ports.clock()
    if not may_start(execution.grant, now):
        refusal = await _renew_grant(execution)
        if refusal is not None:
            return refusal
    execution.sent = True
    try:
        reply = await ports.target.send(execution.grant, head, upload)
    except errors.PeerUnavailable as error:
        if isinstance(error, errors.PeerConnectionLost):
            raise
        execution.sent = False
        return refuse(
            requests.Code.NO_TARGET, 'the target takes no connection; retry'
        )
    if isinstance(reply, requests.Refusal):
        execution.declined = True
        execution.shed = reply.code is requests.Code.SHED
        return dataclasses.replace(reply, load=execution.load)
    if not upload.is_streamed:
        execution.latency_s = ports.clock() - now
    return requests.Answer(
        reply.status,
        reply.headers,
        _mark_complete(execution, reply.chunks),
        reply.resources,
        execution.load,
    )


def may_start(grant: requests.Grant, now: float) -> bool:
    """Return whether a request may be sent to the target under the grant."""
    return now < grant.start_before


async def _acquire_permit(execution) -> requests.Refusal | None:
    """Wait for a permit of the target; returns a refusal or None."""
    ports, head = execution.ports, execution.head
    execution.queued = True
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
    execution.load = reply.load
    return None


async def _renew_grant(execution) -> requests.Refusal | None:
    """Get a new grant after the lease ended while the request was queued.

    Returns a refusal or None. If another owner may have served the slot in
    between, the request must not run here, since earlier checks, such as that
    of its idempotency record, no longer hold.
    """
    ports, old_serving = execution.ports, execution.serving
    lease_lost = refuse(
        requests.Code.NO_LEASE, 'this node has lost its lease; retry'
    )
    if old_serving is None:
        execution.grant = requests.Grant(ports.lease.current.end)
    else:
        ports.owners.tell_reliably(
            owning.LeaveSlot(
                *execution.service_slot, execution.head.request_id
            )
        )
        # The state is only used to name the owner in the refusal, which is
        # replaced here.
        refusal = await _enter_slot(execution, state.State())
        if refusal is not None:
            return lease_lost
        new_serving = execution.serving
        if (new_serving.token, new_serving.owned_since) != (
            old_serving.token,
            old_serving.owned_since,
        ):
            return lease_lost
    return None if may_start(execution.grant, ports.clock()) else lease_lost


async def _mark_complete(execution, chunks):
    """Yield the chunks, then record that the answer is complete."""
    async for chunk in chunks:
        yield chunk
    execution.complete = True


async def _keep_answer(execution, answer):
    """Buffer the answer if it is small enough to be kept for repeats.

    Returns the answer with all its chunks, including those read here.
    """
    buffered = []
    size = 0
    async with contextlib.AsyncExitStack() as stack:
        # Runs only if reading fails; otherwise the returned answer still
        # needs its resources.
        stack.push_async_callback(answer.resources.aclose)
        async for chunk in answer.chunks:
            buffered.append(chunk)
            size += len(chunk)
            if size > MAX_KEPT_ANSWER_BYTES:
                break
        else:
            execution.kept_answer = once.KeptAnswer(
                answer.status, answer.headers, b''.join(buffered)
            )
        stack.pop_all()
    return dataclasses.replace(
        answer, chunks=_chain_chunks(buffered, answer.chunks)
    )


async def _chain_chunks(buffered, chunks):
    for chunk in buffered:
        yield chunk
    async for chunk in chunks:
        yield chunk


def _repeat_answer(answer: once.KeptAnswer) -> requests.Answer:
    return requests.Answer(
        answer.status,
        answer.headers,
        _chain_chunks((answer.body,), _empty_chunks()),
        contextlib.AsyncExitStack(),
    )


async def _empty_chunks():
    return
    yield
