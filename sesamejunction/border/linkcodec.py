"""Encodes requests, replies and questions as frames, and decodes them."""

import math
import zlib

import msgspec

from sesamejunction.commands import wholebodies
from sesamejunction import errors
from sesamejunction.model import choosing
from sesamejunction.model import leasing
from sesamejunction.model import linking
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import requests

# A node replies this long before the requester's deadline, so that a refusal
# arrives in time to say that nothing ran.
REPLY_MARGIN_S = 0.03
CODES = {code.value: code for code in requests.Code}
NEWS_DECODER = msgspec.msgpack.Decoder(registry.TopicNews)
# Smaller news are not worth compressing.
MIN_PACKED_BYTES = 512
# Fastest level; configurations shrink to a tenth.
COMPRESSION_LEVEL = 1
OUTCOMES = {outcome.value: outcome for outcome in requests.Outcome}


def encode_work(number, head, body, now) -> linking.Work:
    """Return the frame of a request with its body.

    ``number`` identifies the exchange on the link; ``now`` is in boot-clock
    seconds.
    """
    return linking.Work(
        *_list_head_fields(number, head, now),
        *(body, head.repeat_share, head.standing.value),
        takes_parts=True,
    )


def encode_offer(number, head, size, now) -> linking.WorkOffer:
    """Return the frame that announces a request body of ``size`` bytes."""
    return linking.WorkOffer(
        *_list_head_fields(number, head, now),
        *(size, head.repeat_share, head.standing.value),
        takes_parts=True,
    )


def _list_head_fields(number, head, now) -> tuple:
    """Return the fields of linking.WorkHead."""
    # The objective is infinite if there is none, so it is limited to 1e6 s.
    objective_ms = min(head.objective - now, 1e6) * 1000
    left_s = head.deadline - now - REPLY_MARGIN_S
    return (
        number,
        head.request_id,
        head.service,
        head.method,
        head.path,
        head.route_key,
        head.organisation,
        max(1, int(left_s * 1000)),
        int(objective_ms),
        head.repeatable,
        head.headers,
        head.route,
        head.rank,
        head.caller_service,
    )


def decode_work(
    frame: linking.Work | linking.WorkOffer, now: float, requester: int = 0
) -> requests.Head:
    """Return the head of a request, with times on this node's boot clock.

    ``requester`` is the incarnation of the node that sent it.
    """
    return requests.Head(
        request_id=frame.request_id,
        service=frame.service,
        method=frame.method,
        path=frame.path,
        route_key=frame.route_key,
        idempotency_key=None,
        organisation=frame.organisation,
        deadline=now + frame.left_ms / 1000,
        repeatable=frame.repeatable,
        headers=frame.headers,
        route=frame.route,
        rank=frame.rank,
        objective=now + frame.objective_ms / 1000,
        caller_service=frame.caller_service,
        # A share that is not a number counts as 0.
        repeat_share=min(1.0, max(0.0, frame.repeat_share)),
        standing=(
            requests.Standing.BEGUN
            if frame.standing
            else requests.Standing.NEW
        ),
        requester=requester,
    )


async def encode_reply(number, reply):
    """Return the frame of an answer or a refusal."""
    load_fields = _list_load_fields(reply.load)
    work_s = reply.load and reply.load.work_s
    match reply:
        case requests.Answer():
            body = await wholebodies.read_answer(reply)
            return linking.WorkAnswer(
                *(number, reply.status, reply.headers, body),
                *(load_fields, work_s),
            )
        case requests.Refusal():
            return linking.WorkRefused(
                number,
                reply.code.value,
                reply.outcome.value,
                reply.message,
                reply.retry_after_s,
                load_fields,
                reply.inputs,
                reply.reached_target,
                work_s,
            )


def _list_load_fields(load: requests.Load | None):
    return load and (
        load.in_flight,
        load.queued,
        load.limit,
        load.latency_s,
    )


def encode_answer_head(
    exchange: int, answer: requests.Answer, held: int, size: int
) -> linking.AnswerHead:
    """Return the head of an answer whose body is held as number ``held``."""
    return linking.AnswerHead(
        exchange,
        answer.status,
        answer.headers,
        _list_load_fields(answer.load),
        held,
        size,
        answer.load and answer.load.work_s,
    )


def decode_answer_head(frame: linking.AnswerHead, body) -> requests.Answer:
    """Return the answer with the body that was fetched."""
    return wholebodies.build_answer(
        frame.status,
        frame.headers,
        body,
        frame.load and requests.Load(*frame.load, frame.work_s),
    )


def decode_reply(frame) -> requests.Answer | requests.Refusal:
    """Return the answer or refusal of a frame.

    A reason that only a later version knows counts as OVERLOADED, since
    "not run" holds whatever the reason. Raises PeerConnectionLost for an
    unknown outcome and for any other frame.
    """
    match frame:
        case linking.WorkAnswer():
            return wholebodies.build_answer(
                frame.status,
                frame.headers,
                frame.body,
                frame.load and requests.Load(*frame.load, frame.work_s),
            )
        case linking.WorkRefused() if frame.outcome in OUTCOMES:
            return requests.Refusal(
                CODES.get(frame.code, requests.Code.OVERLOADED),
                OUTCOMES[frame.outcome],
                frame.message,
                frame.retry_after_s,
                load=frame.load and requests.Load(*frame.load, frame.work_s),
                inputs=frame.inputs,
                reached_target=frame.reached_target,
            )
        case _:
            raise errors.PeerConnectionLost('a peer answered another question')


def encode_question(number, message):
    """Return the frame that carries a task's question to a peer."""
    match message:
        case leasing.AskRelease():
            return linking.ReleaseQuestion(number, message)
        case leasing.AskAllocatorStop():
            return linking.AllocatorStopQuestion(number, message)
        case registry.GetCopy(topic=topic, end=end):
            return linking.CopyQuestion(number, topic, end)
        case leasing.AskKeyLoad():
            return linking.LoadQuestion(number)
        case registry.AskNews(topic=topic, end=end, wait_s=wait_s):
            return linking.NewsQuestion(number, topic, end, int(wait_s * 1e3))
        case choosing.AskExpectedWait(service=service, route=route):
            return linking.WaitQuestion(number, service, route)
        case registry.AskFloor(era=era, end=end):
            return linking.FloorQuestion(number, era, end)


def decode_question_reply(frame):
    """Return what a task's question was answered."""
    match frame:
        case linking.CopyReply():
            return frame
        case linking.NewsReply():
            return decode_news(frame)
        case linking.WaitReply():
            return choosing.ExpectedWait(
                frame.wait_s, frame.run_s, frame.slots
            )
        case linking.LoadReply(body=report):
            return check_load_report(report)
        case _:
            return frame.body


def check_load_report(
    report: leasing.KeyLoadReport,
) -> leasing.KeyLoadReport:
    """Return the report; raises PeerUnavailable if it cannot be used.

    The planner compares its rates and would end on one that is no number.
    """
    is_usable = 0 <= report.capacity < math.inf and all(
        0 <= first <= last <= ranges.LAST_KEY and 0 <= rate < math.inf
        for first, last, rate in report.segments
    )
    if not is_usable:
        raise errors.PeerUnavailable(
            'the load report of a peer has no usable numbers; check its '
            'version'
        )
    return report


class NewsEncoder:
    """Encodes the news of topics.

    Several nodes ask for the same news, which are encoded once.
    """

    def __init__(self):
        self._encoded = {}

    def encode(self, number, topic, answer) -> linking.NewsReply:
        """Return the frame of a registry.NewsAnswer."""
        news = answer.news
        if news is None:
            return linking.NewsReply(number, b'', False, 0.0)
        known = self._encoded.get(topic)
        if known is None or known[0] is not news:
            data = msgspec.msgpack.encode(news)
            is_packed = len(data) >= MIN_PACKED_BYTES
            if is_packed:
                data = zlib.compress(data, COMPRESSION_LEVEL)
            known = self._encoded[topic] = news, data, is_packed
        return linking.NewsReply(number, *known[1:], answer.as_of_s)


def decode_news(frame: linking.NewsReply) -> registry.NewsAnswer:
    """Return the answer; raises PeerUnavailable if it cannot be read."""
    if not frame.data:
        return registry.NewsAnswer(None, 0.0)
    try:
        data = zlib.decompress(frame.data) if frame.is_packed else frame.data
        news = NEWS_DECODER.decode(data)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.PeerUnavailable(
            f'the news of a peer cannot be read ({error}); ask another'
        ) from error
    return registry.NewsAnswer(news, frame.as_of_s)
