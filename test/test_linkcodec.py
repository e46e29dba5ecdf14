"""Tests that frames between nodes carry complete replies."""

import math

import msgspec
import pytest

from sesamejunction.border import linkcodec
from sesamejunction.commands import ports as porting
from sesamejunction import errors
from sesamejunction.model import linking
from sesamejunction.model import requests

LOAD = requests.Load(3, 9, 4, 0.02)
REFUSALS = {
    'plain': porting.refuse(requests.Code.NOT_OWNER, 'ask again'),
    'with its inputs': porting.refuse(
        requests.Code.OVERLOADED,
        'full',
        retry_after_s=0.1,
        load=LOAD,
        inputs=(('ahead', 9), ('needed_s', 0.31)),
    ),
    'of the target': porting.refuse(
        requests.Code.NOT_OWNER, 'misdirected', reached_target=True
    ),
    'unknown': requests.Refusal(
        requests.Code.LOST, requests.Outcome.UNKNOWN, 'cut', load=LOAD
    ),
}


# Guards against a refusal whose inputs only the refusing node has, where the
# limit on log lines may drop them.
@pytest.mark.parametrize('refusal', REFUSALS.values(), ids=REFUSALS)
async def test_refusal_is_decoded_completely(refusal):
    sent = msgspec.msgpack.encode(await linkcodec.encode_reply(7, refusal))
    frame = msgspec.msgpack.decode(sent, type=linking.WorkRefused)
    assert linkcodec.decode_reply(frame) == refusal


# Guards against refusals that cannot be decoded in a rolling update. The
# parameter is the number of fields that the older version lacks.
@pytest.mark.parametrize('lacking', [1, 2])
async def test_frame_of_an_older_node_is_read(lacking):
    refusal = REFUSALS['plain']
    sent = await linkcodec.encode_reply(7, refusal)
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(sent))[:-lacking]
    frame = msgspec.convert(older, linking.WorkRefused)
    assert linkcodec.decode_reply(frame) == refusal


# Guards against a request that ends with an error of this node because a node
# of a later version refuses it for a new reason. Columns: reason and outcome
# on the wire, reason of the refusal; None if the outcome is unknown.
@pytest.mark.parametrize(
    ('code', 'outcome', 'expected'),
    [
        ('shed', 'not-run', requests.Code.SHED),
        ('too-early', 'not-run', requests.Code.OVERLOADED),
        ('shed', 'perhaps', None),
    ],
)
def test_refusal_of_a_later_version_is_read(code, outcome, expected):
    frame = linking.WorkRefused(7, code, outcome, 'why', 0.1, None)
    if expected is None:
        with pytest.raises(errors.PeerConnectionLost):
            linkcodec.decode_reply(frame)
        return
    refusal = linkcodec.decode_reply(frame)
    assert refusal.code is expected
    assert refusal.outcome is requests.Outcome.NOT_RUN
    assert refusal.message == 'why'


# Guards against shares of repeats that no number of later requests corrects.
# Columns: share on the wire, share that is used.
@pytest.mark.parametrize(
    ('sent', 'expected'),
    [(0.25, 0.25), (math.nan, 0.0), (math.inf, 1.0), (-3.0, 0.0)],
)
def test_repeat_share_is_a_probability(sent, expected):
    head = requests.Head(
        *('r1', 'orders', 'GET', '/', None, None, '', 12.0, True),
        repeat_share=sent,
    )
    frame = linkcodec.encode_work(7, head, b'', 10.0)
    assert linkcodec.decode_work(frame, 10.0).repeat_share == expected
