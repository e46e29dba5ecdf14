"""Tags that authenticate calls and replies between members."""

import collections.abc
import hashlib
import hmac

from sesamejunction import errors
from sesamejunction.model import valueclass

TAG_BYTES = 16
# Larger than the difference between two wall clocks, and short enough that a
# recorded call soon becomes useless.
MAX_SKEW_S = 5.0
SENDER = 'sj-sender'
RECEIVER = 'sj-receiver'
TIME = 'sj-time'
TAG = 'sj-tag'


@valueclass.define
class Credentials:
    """The fleet secret, this node's incarnation and its wall clock."""

    secret: bytes
    incarnation: int
    wall_clock: collections.abc.Callable[[], float]


def sign_call(
    credentials: Credentials, receiver: int, method: str, body: bytes
):
    """Return the metadata of a call as (name, value) pairs."""
    sender, time = (
        str(credentials.incarnation),
        f'{credentials.wall_clock():.3f}',
    )
    fields = ('call', method, time, sender, str(receiver))
    return (
        (SENDER, sender),
        (RECEIVER, str(receiver)),
        (TIME, time),
        (TAG, make_tag(credentials.secret, fields, body)),
    )


def check_call(
    credentials: Credentials, method: str, metadata, body: bytes
) -> int:
    """Return the sender of a call.

    Raises ForgedMessageError when the tag, the receiver or the time is wrong.
    A call to a former incarnation on this address is refused, since the state
    of that incarnation is lost.
    """
    metadata_fields = dict(metadata)
    sender, time = (
        metadata_fields.get(SENDER, ''),
        metadata_fields.get(TIME, ''),
    )
    receiver = str(credentials.incarnation)
    fields = ('call', method, time, sender, receiver)
    expected = make_tag(credentials.secret, fields, body)
    if not hmac.compare_digest(expected, str(metadata_fields.get(TAG, ''))):
        raise errors.ForgedMessageError(
            'call has a wrong tag; check --fleet-secret on all nodes'
        )
    if abs(credentials.wall_clock() - float(time)) > MAX_SKEW_S:
        raise errors.ForgedMessageError(
            'call is too old or too new; check the clocks of both instances'
        )
    return int(sender)


def sign_reply(
    credentials: Credentials, method: str, call_tag: str, body: bytes
):
    """Return the trailing metadata of a reply to the call with this tag."""
    fields = ('reply', method, call_tag)
    return ((TAG, make_tag(credentials.secret, fields, body)),)


def check_reply(
    credentials: Credentials, method, call_tag, metadata, body
) -> None:
    """Raise ForgedMessageError when the tag of a reply is wrong."""
    expected = make_tag(credentials.secret, ('reply', method, call_tag), body)
    received_tag = str(dict(metadata or ()).get(TAG, ''))
    if not hmac.compare_digest(expected, received_tag):
        raise errors.ForgedMessageError(
            'reply has a wrong tag; check --fleet-secret on all nodes'
        )


def find_tag(metadata) -> str:
    """Return the tag in call metadata, empty if missing."""
    return str(dict(metadata).get(TAG, ''))


def make_tag(secret: bytes, fields, body: bytes) -> str:
    """Return the hexadecimal tag over fields and a body."""
    key = hashlib.blake2b(secret, digest_size=32, person=b'sj-peer').digest()
    digest = hashlib.blake2b(body, digest_size=32).hexdigest()
    text = '\n'.join((*fields, digest))
    return hashlib.blake2b(
        text.encode(), key=key, digest_size=TAG_BYTES
    ).hexdigest()
