"""Runs a caller's request: enters it, chooses nodes, makes attempts."""

import asyncio
import dataclasses

from sesamejunction.commands import ports as porting
from sesamejunction.commands import requestattempts
from sesamejunction.decisions import attempts
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import requests
from sesamejunction.model import sharing
from sesamejunction.queries import routes

# Ports belongs to this use case; callers of the package import it from here.
Ports = porting.Ports
refuse = porting.refuse

# With the pauses below, as many as fit into the default deadline.
MAX_ATTEMPTS = 24
ORDER_LENGTH = 3
# Attempts after ones that reached no target and take nothing from the budget
# of retries.
FREE_DECLINES = 3
# Waits between looks for an owner, while a slot moves.
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.1


async def route_request(ports: Ports, current, head, upload):
    """Run a request that a caller sent to this node.

    Returns Answer or Refusal. ``current`` is the folded state.
    """
    journey = Journey(ports, current, head, upload)
    try:
        return await journey.run()
    except (errors.InboxFull, errors.TaskStopped) as error:
        return journey.explain_failure(str(error))
    except asyncio.CancelledError:
        journey.leave()
        raise
    finally:
        journey.close()


class Journey:
    """Executes the table of decisions/attempts for one request."""

    def __init__(self, ports: Ports, current, head, upload):
        self._ports = ports
        self._state = current
        self._head = head
        self._upload = upload
        self._phase = attempts.Phase.RECEIVED
        self._keyed = routes.needs_owner(current.services[head.service], head)
        self._tries = requestattempts.OpenAttempts(
            ports, current, upload, self._keyed
        )
        self._candidate = None
        self._second_after_s = None
        self._refusal = None
        self._answer = None
        self._owner = None
        self._tried = ()
        self._unreachable = ()
        self._pause_s = FIRST_PAUSE_S
        self._ready_at = None
        self._count = 0
        self._receipt = 0
        self._tainted = False
        self._lasting = False
        self._reached = 0

    async def run(self):
        """Run the request to its end; returns Answer or Refusal."""
        event = await self._enter()
        while True:
            facts = attempts.NO_INPUTS
            if type(event) not in attempts.UNGUARDED_EVENTS:
                facts = await self._gather_facts(event)
            self._phase, action = attempts.advance(self._phase, event, facts)
            match action:
                case attempts.Action.CHOOSE:
                    event = await self._choose()
                case attempts.Action.CHOOSE_HEDGE:
                    event = await self._choose_second(event)
                case attempts.Action.CONNECT:
                    self._start_attempt()
                    event = attempts.FirstByte()
                case attempts.Action.AWAIT:
                    event = await self._await_attempt()
                case attempts.Action.FORWARD_ANSWER:
                    return self._answer
                case attempts.Action.REPLY_NOT_RUN:
                    return self._refusal
                case attempts.Action.REPLY_UNKNOWN:
                    return self._explain_unknown()

    def close(self) -> None:
        """Cancel attempts whose result is not needed any more."""
        self._tries.close()

    def leave(self) -> None:
        """Record that the caller left; close() cancels what is open."""
        self._phase, _ = attempts.advance(
            self._phase,
            attempts.CallerLeft(),
            attempts.GuardInputs(self._head.repeatable),
        )

    def explain_failure(self, reason: str) -> requests.Refusal:
        """Return the refusal after a task of this node failed to answer."""
        if self._tainted or self._tries.count_open():
            return self._explain_unknown()
        return refuse(requests.Code.OVERLOADED, reason, retry_after_s=1.0)

    async def _enter(self):
        """Check the lease and the organisation's share."""
        ports, head = self._ports, self._head
        lease = ports.lease.current
        if head.deadline <= ports.clock():
            self._refusal = refuse(
                requests.Code.DEADLINE, 'the deadline has passed'
            )
            return attempts.Rejected()
        if not lease.serves_callers or lease.end <= ports.clock():
            self._refusal = refuse(
                requests.Code.NO_LEASE,
                f'this node may not serve now ({lease.reason or "no lease"});'
                ' retry at another node',
                retry_after_s=1.0,
            )
            return attempts.Rejected()
        spent = await self._take_token(head.deadline)
        match spent:
            case sharing.TokenTaken(receipt=receipt):
                self._receipt = receipt
            case sharing.OverRate(retry_after_s, inputs):
                self._refusal = refuse(
                    requests.Code.OVER_RATE,
                    'the organisation is over its rate; retry later',
                    retry_after_s=retry_after_s,
                    inputs=inputs,
                )
                return attempts.Rejected()
        return attempts.Admitted()

    async def _take_token(self, deadline: float):
        """Return Spent or OverRate; a token is waited for until deadline."""
        if not self._is_metered():
            return sharing.TokenTaken()
        return await self._ports.shares.ask(
            sharing.TakeToken(self._head.organisation, deadline)
        )

    def _is_metered(self) -> bool:
        """Return whether the request takes from an organisation's share."""
        if not self._head.organisation:
            return False
        found = self._state.organisations.get(self._head.organisation)
        return found is None or found.rate > 0

    async def _gather_facts(self, event) -> attempts.GuardInputs:
        """Return what the guards need; takes a retry only when it counts."""
        repeatable, replayable = self._head.repeatable, self._upload.replayable
        still_open, heard = self._tries.count_open(), self._tries.count_heard()
        may_retry = False
        match event:
            case attempts.Late():
                wants = repeatable and replayable
            case attempts.Silent():
                wants = repeatable and replayable and not heard
            case attempts.Lost():
                wants = repeatable and replayable and not still_open
            case attempts.NotConnected() | attempts.Declined():
                wants = replayable and not still_open
            case _:
                wants = False
        if isinstance(event, attempts.Lost):
            self._tainted = True
        if wants:
            may_retry = await self._may_retry(event)
        return attempts.GuardInputs(
            repeatable, replayable, may_retry, still_open, self._tainted, heard
        )

    async def _may_retry(self, event) -> bool:
        if self._count >= MAX_ATTEMPTS:
            return False
        limit = self._head.max_targets
        # An open attempt may have reached its target as well.
        reached = self._reached + self._tries.count_open()
        if limit is not None and reached >= limit:
            return False
        if self._ports.clock() >= self._head.deadline:
            return False
        if isinstance(event, attempts.Declined) and self._keyed:
            # Following a moved slot costs the targets nothing; it is bound
            # by the pauses, the attempts and the deadline.
            return True
        # What may have run has used its token. Without another for the next
        # attempt, targets would run up to RETRY_PART above the rate.
        match event:
            case attempts.Late() | attempts.Silent():
                return await self._may_try_beside()
            case attempts.Lost():
                return await self._take_retry(self._head.deadline)
            case _:
                return await self._may_resend()

    async def _take_retry(self, token_by: float) -> bool:
        """Take a retry of the node and a token; waits until ``token_by``."""
        if not await self._ports.chooser.ask(choosing.TakeRetry()):
            return False
        return isinstance(await self._take_token(token_by), sharing.TokenTaken)

    async def _may_try_beside(self) -> bool:
        """Return whether to make an attempt beside one that is open.

        A task that cannot answer now costs the second attempt only.
        """
        try:
            return await self._take_retry(0.0)
        except (errors.InboxFull, errors.TaskStopped):
            return False

    async def _may_resend(self) -> bool:
        """Return whether to try again what has surely not run."""
        if self._count <= FREE_DECLINES and not self._reached:
            # Nothing has reached a target yet, so the attempt adds no work.
            return True
        return await self._ports.chooser.ask(choosing.TakeRetry())

    async def _choose(self):
        """Find a candidate, waiting for one while a slot moves."""
        # Each member of the order is asked at once the first time; after
        # that a pause goes before each attempt.
        event = attempts.NotFound()
        if self._keyed and self._count >= ORDER_LENGTH:
            if not await self._pause():
                return event
        while True:
            event = await self._choose_now()
            if isinstance(event, attempts.Found):
                return event
            if self._lasting or not await self._pause():
                self._give_back_token()
                return event
            # All were asked. Those that answered may own the slot by now;
            # the others are tried again only when nobody else is left.
            seen, self._tried = self._tried, self._unreachable
            if seen == self._unreachable:
                self._tried = self._unreachable = ()

    async def _choose_second(self, event):
        """Find a candidate for an attempt beside those that are open."""
        try:
            found = await self._choose_now()
            if isinstance(event, attempts.Silent) and isinstance(
                found, attempts.NotFound
            ):
                # The same member may take it, over another connection.
                self._tried = self._unreachable
                found = await self._choose_now()
            return found
        except (errors.InboxFull, errors.TaskStopped):
            return attempts.NotFound()

    async def _choose_now(self):
        reply = await self._ports.chooser.ask(
            choosing.ChooseCandidate(
                self._head, self._tried, self._owner, self._count == 0
            )
        )
        match reply:
            case choosing.Chosen(candidate=candidate):
                self._candidate = candidate
                self._second_after_s = (
                    reply.second_after_s if self._count == 0 else None
                )
                return attempts.Found()
            case choosing.NoCandidate(reason=reason, lasting=lasting):
                self._lasting = lasting
                if self._refusal is None:
                    self._refusal = refuse(
                        requests.Code.NO_OWNER
                        if self._keyed
                        else requests.Code.NO_TARGET,
                        f'{reason}; retry later',
                        retry_after_s=1.0,
                    )
                return attempts.NotFound()

    async def _pause(self) -> bool:
        """Wait; returns False when there is no room or time for it."""
        ports, pause = self._ports, self._pause_s
        self._pause_s = min(pause * 2, LONGEST_PAUSE_S)
        if self._ready_at is not None:
            # The successor said when it serves; a whole pause may pass that
            # by almost its length.
            left_s = max(FIRST_PAUSE_S, self._ready_at - ports.clock())
            pause = min(pause, left_s)
            # It counts once: the successor may be gone by then.
            self._ready_at = None
        if ports.clock() + pause >= self._head.deadline:
            return False
        if not ports.room.try_enter():
            return False
        try:
            await asyncio.sleep(pause)
        finally:
            ports.room.leave()
        return True

    def _give_back_token(self) -> None:
        if self._count == 0:
            self._ports.shares.tell_reliably(
                sharing.ReturnToken(self._head.organisation, self._receipt)
            )

    def _start_attempt(self) -> None:
        self._count += 1
        incarnation = self._candidate.member.incarnation
        self._tried = (*self._tried, incarnation)
        head = dataclasses.replace(
            self._head, request_id=f'{self._head.request_id}.{self._count}'
        )
        self._tries.start(self._candidate, head)

    async def _await_attempt(self):
        """Wait for a result, a silence, or the time of a second try."""
        found = await self._tries.wait(self._second_after_s)
        match found:
            case requestattempts.AttemptResult():
                return self._take_result(found)
            case attempts.Late():
                self._second_after_s = None
        return found

    def _take_result(self, result: requestattempts.AttemptResult):
        if isinstance(result.event, attempts.Lost) or (
            isinstance(result.reply, requests.Refusal)
            and result.reply.code is requests.Code.SHED
        ):
            self._reached += 1
        if isinstance(result.event, attempts.NotConnected):
            gone = result.candidate.member.incarnation
            self._unreachable = (*self._unreachable, gone)
        match result.reply:
            case requests.Answer():
                self._answer = self._describe_answer(result)
            case requests.Refusal(owner=owner, retry_after_s=wait_s):
                self._refusal = result.reply
                self._owner = owner
                if self._keyed and wait_s is not None:
                    self._ready_at = self._ports.clock() + wait_s
            case None if self._refusal is None:
                self._refusal = refuse(
                    requests.Code.NO_TARGET,
                    'no node that may run this can be reached; retry later',
                    retry_after_s=1.0,
                )
        return result.event

    def _describe_answer(self, result) -> requests.Answer:
        owner = routes.format_address(result.candidate.member)
        reply = result.reply
        return requests.Answer(
            reply.status,
            (*reply.headers, ('SJ-Owner', owner)),
            reply.chunks,
            reply.resources,
        )

    def _explain_unknown(self) -> requests.Refusal:
        known = self._refusal
        if known and known.outcome is requests.Outcome.UNKNOWN:
            return known
        return requests.Refusal(
            requests.Code.LOST,
            requests.Outcome.UNKNOWN,
            'the connection was lost or late after the request was sent; '
            'look up its effect before sending it again',
        )
