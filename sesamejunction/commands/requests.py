"""Routes a caller's request: admits it, chooses nodes and makes attempts."""

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

# Re-exported for users of this module.
Ports = porting.Ports
refuse = porting.refuse

# With the pauses below, this many attempts fit into the default deadline.
MAX_ATTEMPTS = 24
# Members in a slot's order, as in decisions/successors.ORDER_LENGTH.
MAX_ORDER_LENGTH = 3
# Retries that are not charged to the retry budget, as long as no attempt has
# reached a target.
FREE_RETRIES = 3
# Pauses between searches for an owner while a slot moves. Each is twice as
# long as the previous one, up to LONGEST_PAUSE_S.
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.1
OVER_RATE = (
    requests.Code.OVER_RATE,
    'the organisation is over its rate; retry later',
)
RATE_NOT_CHECKED = (
    requests.Code.OVERLOADED,
    "the organisation's rate cannot be checked now; retry later",
)
RETRY_REASONS = {
    attempts.Late: choosing.RetryReason.LATE,
    attempts.Silent: choosing.RetryReason.SILENT,
    attempts.Lost: choosing.RetryReason.LOST,
    attempts.Declined: choosing.RetryReason.REFUSED,
    attempts.NotConnected: choosing.RetryReason.UNREACHABLE,
}


async def route_request(ports: Ports, current, head, upload):
    """Run a request that a caller sent to this node.

    Returns Answer or Refusal. ``current`` is the state folded from the log.
    """
    request_run = RequestRun(ports, current, head, upload)
    try:
        return await request_run.run()
    except (errors.InboxFull, errors.TaskStopped) as error:
        return request_run.refuse_after_failure(str(error))
    except asyncio.CancelledError:
        if ports.stop.is_over:
            asyncio.current_task().uncancel()
            return request_run.refuse_after_failure(
                'the node stops', requests.Code.STOPPING
            )
        request_run.record_caller_left()
        raise
    finally:
        request_run.close()


class RequestRun:
    """Runs the state machine of decisions/attempts for one request."""

    def __init__(self, ports: Ports, current, head, upload):
        self._ports = ports
        self._state = current
        self._head = head
        self._upload = upload
        self._phase = attempts.Phase.RECEIVED
        self._keyed = routes.needs_owner(current.services[head.service], head)
        self._attempts = requestattempts.OpenAttempts(
            ports, current, upload, self._keyed
        )
        self._candidate = None
        self._hedge_delay_s = None
        self._refusal = None
        self._answer = None
        self._owner = None
        self._tried = ()
        self._unreachable = ()
        self._pause_s = FIRST_PAUSE_S
        self._successor_ready_at = None
        self._attempt_count = 0
        self._token_receipt = 0
        self._may_have_run = False
        self._failure_is_permanent = False
        self._targets_reached = 0
        # Incarnations of the open attempts that took a retry.
        self._retried_at = set()

    async def run(self):
        """Run the request until it has a result; returns Answer or Refusal."""
        event = await self._admit()
        while True:
            guard_inputs = attempts.NO_INPUTS
            if type(event) not in attempts.UNGUARDED_EVENTS:
                guard_inputs = await self._build_guard_inputs(event)
            self._phase, action = attempts.advance(
                self._phase, event, guard_inputs
            )
            match action:
                case attempts.Action.CHOOSE:
                    event = await self._choose()
                case attempts.Action.CHOOSE_HEDGE:
                    event = await self._choose_hedge(event)
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
                    return self._refuse_as_unknown()

    def close(self) -> None:
        """Cancel the attempts that are still open."""
        self._attempts.close()

    def record_caller_left(self) -> None:
        """Record that the caller disconnected; close() cancels attempts."""
        self._phase, _ = attempts.advance(
            self._phase,
            attempts.CallerLeft(),
            attempts.GuardInputs(self._head.repeatable),
        )

    def refuse_after_failure(
        self, reason: str, code=requests.Code.OVERLOADED
    ) -> requests.Refusal:
        """Return the refusal for when this node cannot finish the request."""
        if self._may_have_run or self._attempts.count_open():
            return self._refuse_as_unknown()
        return refuse(code, reason, retry_after_s=1.0)

    async def _admit(self):
        """Check the deadline, the node's lease and the organisation's rate.

        Returns Admitted or Rejected.
        """
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
        token_reply = await self._take_token(head.deadline)
        match token_reply:
            case sharing.TokenTaken(receipt=receipt):
                self._token_receipt = receipt
            case sharing.OverRate(retry_after_s, inputs, is_certain):
                code, reason = OVER_RATE if is_certain else RATE_NOT_CHECKED
                self._refusal = refuse(
                    code, reason, retry_after_s=retry_after_s, inputs=inputs
                )
                return attempts.Rejected()
        return attempts.Admitted()

    async def _take_token(self, deadline: float):
        """Take a rate token, waiting at most until ``deadline``.

        Returns TokenTaken or OverRate. Organisations without a rate limit
        need no token.
        """
        if not self._is_metered():
            return sharing.TokenTaken()
        return await self._ports.shares.ask(
            sharing.TakeToken(self._head.organisation, deadline)
        )

    def _is_metered(self) -> bool:
        """Return whether the organisation of the request has a rate limit."""
        if not self._head.organisation:
            return False
        declared = self._state.organisations.get(self._head.organisation)
        return declared is None or declared.rate > 0

    async def _build_guard_inputs(self, event) -> attempts.GuardInputs:
        """Return the inputs of the guards.

        Takes a retry from the budget only if the result depends on it.
        """
        repeatable, replayable = self._head.repeatable, self._upload.replayable
        open_count, responsive = (
            self._attempts.count_open(),
            self._attempts.count_responsive(),
        )
        may_retry = False
        match event:
            case attempts.Late():
                needs_retry = repeatable and replayable
            case attempts.Silent():
                needs_retry = repeatable and replayable and not responsive
            case attempts.Lost():
                needs_retry = repeatable and replayable and not open_count
            case attempts.NotConnected() | attempts.Declined():
                needs_retry = replayable and not open_count
            case _:
                needs_retry = False
        if isinstance(event, attempts.Lost):
            self._may_have_run = True
        if needs_retry:
            may_retry = await self._may_retry(event)
        return attempts.GuardInputs(
            repeatable,
            replayable,
            may_retry,
            open_count,
            self._may_have_run,
            responsive,
        )

    async def _may_retry(self, event) -> bool:
        if self._attempt_count >= MAX_ATTEMPTS:
            return False
        limit = self._head.max_targets
        # An open attempt may have reached its target as well.
        reached = self._targets_reached + self._attempts.count_open()
        if limit is not None and reached >= limit:
            return False
        if self._ports.clock() >= self._head.deadline:
            return False
        if (
            isinstance(event, attempts.Declined)
            and self._keyed
            and not self._targets_reached
        ):
            # Following a moved slot adds no load on targets; the pauses, the
            # number of attempts and the deadline bound it.
            return True
        # An attempt that may have run has used its token. If the next attempt
        # took none, targets could run more requests than the organisation's
        # rate allows, by as many as the retry budget does.
        match event:
            case attempts.Late() | attempts.Silent():
                return await self._may_hedge(event)
            case attempts.Lost():
                return await self._take_retry_and_token(
                    event, self._head.deadline
                )
            case _:
                return await self._may_resend(event)

    async def _take_retry(self, event) -> bool:
        """Take a retry from the service's budget at this node."""
        return await self._ports.chooser.ask(
            choosing.TakeRetry(
                self._head.request_id,
                self._head.service,
                RETRY_REASONS[type(event)],
            )
        )

    async def _take_retry_and_token(self, event, token_by: float) -> bool:
        """Take a retry from the service's budget and a rate token.

        Waits for the token until ``token_by`` at most; 0 does not wait.
        """
        if not await self._take_retry(event):
            return False
        return isinstance(await self._take_token(token_by), sharing.TokenTaken)

    async def _may_hedge(self, event) -> bool:
        """Return whether to make a hedged attempt beside an open one.

        If a task cannot reply, no hedged attempt is made and the open one
        continues.
        """
        try:
            return await self._take_retry_and_token(event, 0.0)
        except (errors.InboxFull, errors.TaskStopped):
            return False

    async def _may_resend(self, event) -> bool:
        """Return whether to retry a request that has certainly not run."""
        if self._attempt_count <= FREE_RETRIES and not self._targets_reached:
            # No target was reached yet, so the retry adds no load to them.
            return True
        return await self._take_retry(event)

    async def _choose(self):
        """Find a candidate, waiting for one while a slot moves.

        Returns Found or NotFound.
        """
        # The members of the slot's order are tried once without a pause;
        # there is a pause before each later attempt.
        event = attempts.NotFound()
        if self._keyed and self._attempt_count >= MAX_ORDER_LENGTH:
            if not await self._pause():
                return event
        while True:
            event = await self._request_candidate()
            if isinstance(event, attempts.Found):
                return event
            if self._failure_is_permanent or not await self._pause():
                self._return_token()
                return event
            # All candidates were tried. Those that replied may own the slot
            # by now; unreachable ones are retried only if no other is left.
            tried_before, self._tried = self._tried, self._unreachable
            if tried_before == self._unreachable:
                self._tried = self._unreachable = ()

    async def _choose_hedge(self, event):
        """Find a candidate for a hedged attempt beside the open ones.

        Returns Found or NotFound.
        """
        try:
            choice = await self._request_candidate()
            if isinstance(event, attempts.Silent) and isinstance(
                choice, attempts.NotFound
            ):
                # Retry the same member over another connection.
                self._tried = self._unreachable
                choice = await self._request_candidate()
            return choice
        except (errors.InboxFull, errors.TaskStopped):
            return attempts.NotFound()

    async def _request_candidate(self):
        reply = await self._ports.chooser.ask(
            choosing.ChooseCandidate(
                self._head, self._tried, self._owner, self._attempt_count == 0
            )
        )
        match reply:
            case choosing.Chosen(candidate=candidate):
                self._candidate = candidate
                self._hedge_delay_s = (
                    reply.hedge_delay_s if self._attempt_count == 0 else None
                )
                return attempts.Found()
            case choosing.NoCandidate(
                reason=reason, is_permanent=is_permanent
            ):
                self._failure_is_permanent = is_permanent
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
        """Wait before the next search for an owner.

        Returns False without waiting if the pause would reach the deadline,
        too many requests wait already or this node stops.
        """
        ports, pause = self._ports, self._pause_s
        self._pause_s = min(pause * 2, LONGEST_PAUSE_S)
        if self._successor_ready_at is not None:
            # The successor announced when it will serve; a full pause could
            # overshoot that time by almost its length.
            left_s = max(
                FIRST_PAUSE_S, self._successor_ready_at - ports.clock()
            )
            pause = min(pause, left_s)
            # Used once only, since the successor may fail before that time.
            self._successor_ready_at = None
        if ports.clock() + pause >= self._head.deadline:
            return False
        if ports.stop.is_refusing:
            # The attempt after the pause might outlast the stop.
            return False
        if not ports.waiter_limit.try_enter():
            return False
        try:
            await asyncio.sleep(pause)
        finally:
            ports.waiter_limit.leave()
        return True

    def _return_token(self) -> None:
        if self._attempt_count == 0:
            self._ports.shares.tell_reliably(
                sharing.ReturnToken(
                    self._head.organisation, self._token_receipt
                )
            )

    def _start_attempt(self) -> None:
        self._attempt_count += 1
        incarnation = self._candidate.member.incarnation
        self._tried = (*self._tried, incarnation)
        is_repeat = self._targets_reached or self._attempts.count_open()
        if is_repeat:
            self._retried_at.add(incarnation)
        head = dataclasses.replace(
            self._head,
            request_id=f'{self._head.request_id}.{self._attempt_count}',
            repeat_share=1.0 if is_repeat else self._head.repeat_share,
        )
        self._attempts.start_attempt(self._candidate, head)

    async def _await_attempt(self):
        """Wait for a result, a silent connection or the hedging delay."""
        message = await self._attempts.wait_for_event(self._hedge_delay_s)
        match message:
            case requestattempts.AttemptResult():
                return self._record_result(message)
            case attempts.Late():
                self._hedge_delay_s = None
        return message

    def _record_result(self, result: requestattempts.AttemptResult):
        incarnation = result.candidate.member.incarnation
        if may_have_reached_target(result):
            self._targets_reached += 1
        elif incarnation in self._retried_at:
            self._ports.chooser.tell_reliably(
                choosing.ReturnRetry(self._head.service)
            )
        self._retried_at.discard(incarnation)
        if isinstance(result.event, attempts.NotConnected):
            self._unreachable = (*self._unreachable, incarnation)
        match result.reply:
            case requests.Answer():
                self._answer = self._add_owner_header(result)
            case requests.Refusal(owner=owner, retry_after_s=wait_s):
                self._refusal = result.reply
                self._owner = owner
                if self._keyed and wait_s is not None:
                    self._successor_ready_at = self._ports.clock() + wait_s
            case None if self._refusal is None:
                self._refusal = refuse(
                    requests.Code.NO_TARGET,
                    'no node that may run this can be reached; retry later',
                    retry_after_s=1.0,
                )
        return result.event

    def _add_owner_header(self, result) -> requests.Answer:
        owner = routes.format_address(result.candidate.member)
        reply = result.reply
        return requests.Answer(
            reply.status,
            (*reply.headers, ('SJ-Owner', owner)),
            reply.chunks,
            reply.resources,
        )

    def _refuse_as_unknown(self) -> requests.Refusal:
        last_refusal = self._refusal
        if last_refusal and last_refusal.outcome is requests.Outcome.UNKNOWN:
            return last_refusal
        return requests.Refusal(
            requests.Code.LOST,
            requests.Outcome.UNKNOWN,
            'the connection was lost or late after the request was sent; '
            'look up its effect before sending it again',
        )


def may_have_reached_target(result: requestattempts.AttemptResult) -> bool:
    """Return whether the attempt may have arrived at a target."""
    match result.event, result.reply:
        case attempts.Lost() | attempts.Completed(), _:
            return True
        case _, requests.Refusal(code=code, reached_target=reached_target):
            # Nodes of earlier versions and plain targets send no mark.
            return reached_target or code is requests.Code.SHED
        case _:
            return False
