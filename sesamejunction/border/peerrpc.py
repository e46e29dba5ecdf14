"""gRPC server and client for calls between nodes."""

import grpc
from grpc import aio

from sesamejunction.border import peertags
from sesamejunction.border.proto import peers_pb2
from sesamejunction.border.proto import peers_pb2_grpc
from sesamejunction.border import releasecodec
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import owning

CALL_TIMEOUT_S = 1.0
SNAPSHOT_TIMEOUT_S = 10.0
# Without a grace period every peer logs the broken connection.
STOP_GRACE_S = 0.1
PART_BYTES = 256 * 1024
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
SERVER_OPTIONS = (
    # Binding the address must prove that the former process has ended. With
    # port reuse a second process could bind it.
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
)
CHANNEL_OPTIONS = (
    # A new channel must not inherit the reconnect backoff of a broken one.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
)


class PeerServer(peers_pb2_grpc.PeersServicer):
    """Serves calls of peers from the journal and the owners task."""

    def __init__(
        self, credentials: peertags.Credentials, address, journal, owners
    ):
        self._credentials = credentials
        self._address = address
        self._journal = journal
        self._owners = owners
        self._server = None

    async def __aenter__(self):
        self._server = aio.server(options=SERVER_OPTIONS)
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        host, port = self._address
        if self._server.add_insecure_port(f'{host}:{port}') != port:
            raise errors.SettingsError(
                f'--peer-port {port} is in use; stop the other process'
            )
        await self._server.start()
        return self

    async def __aexit__(self, *_exc):
        await self._server.stop(STOP_GRACE_S)

    async def FetchRecords(self, request, context):
        """Return recent records, none if this node no longer keeps them."""
        await self._authenticate('FetchRecords', request, context)
        question = journaling.GetRecords(request.offset, request.limit)
        result = await self._ask_task(self._journal, question, context)
        reply = peers_pb2.RecordsReply(first=result.first, data=result.data)
        return self._sign_reply('FetchRecords', reply, context)

    async def FetchSnapshot(self, request, context):
        """Yield the encoded state in parts of PART_BYTES."""
        await self._authenticate('FetchSnapshot', request, context)
        question = journaling.GetSnapshot()
        result = await self._ask_task(self._journal, question, context)
        self._sign_bytes('FetchSnapshot', result.data, context)
        for start in range(0, len(result.data), PART_BYTES):
            part = result.data[start : start + PART_BYTES]
            yield peers_pb2.SnapshotPart(covers=result.covers, data=part)

    async def ReleaseSlots(self, request, context):
        """Return the releases that the owners task grants now."""
        sender = await self._authenticate('ReleaseSlots', request, context)
        wanted = releasecodec.decode_releases(request.wanted)
        question = owning.AskReleases(sender, wanted)
        result = await self._ask_task(self._owners, question, context)
        reply = peers_pb2.ReleaseReply(
            given=releasecodec.encode_releases(result.given)
        )
        return self._sign_reply('ReleaseSlots', reply, context)

    async def TakeReleases(self, request, context):
        """Pass the sender's own releases to the owners task, drop others."""
        sender = await self._authenticate('TakeReleases', request, context)
        given = tuple(
            release
            for release in releasecodec.decode_releases(request.given)
            if release.member == sender
        )
        # Waits for the task, so that the confirmation proves that the task has
        # handled the releases.
        await self._ask_task(self._owners, owning.Releases(given), context)
        return self._sign_reply(
            'TakeReleases', peers_pb2.Confirmation(), context
        )

    async def _authenticate(self, method, request, context) -> int:
        try:
            return peertags.check_call(
                self._credentials,
                method,
                context.invocation_metadata(),
                to_bytes(request),
            )
        except errors.ForgedMessageError as error:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, str(error))

    async def _ask_task(self, task, question, context):
        try:
            result = await task.ask(question)
        except errors.SesameError as error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
        if result is None:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE, 'not kept here; ask another'
            )
        return result

    def _sign_reply(self, method, reply, context):
        self._sign_bytes(method, to_bytes(reply), context)
        return reply

    def _sign_bytes(self, method, body, context):
        call_tag = peertags.find_tag(context.invocation_metadata())
        context.set_trailing_metadata(
            peertags.sign_reply(self._credentials, method, call_tag, body)
        )


class PeerClient:
    """Calls other members over one channel each.

    All calls raise PeerUnavailable without a valid reply. The channel is then
    closed, since its connection may never recover.
    """

    def __init__(self, credentials: peertags.Credentials):
        self._credentials = credentials
        self._channels = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        for member in list(self._channels):
            await self._close(member)

    async def fetch_records(self, member, offset, limit):
        """Return the member's Records from an offset."""
        request = peers_pb2.RecordsRequest(offset=offset, limit=limit)
        reply = await self._call(member, 'FetchRecords', request)
        return journaling.Records(reply.first, tuple(reply.data))

    async def fetch_snapshot(self, member) -> journaling.Snapshot:
        """Return the member's Snapshot."""
        request = peers_pb2.SnapshotRequest()
        method = 'FetchSnapshot'
        metadata = self._sign_call(member, method, request)
        call = getattr(self._build_stub(member), method)(
            request, timeout=SNAPSHOT_TIMEOUT_S, metadata=metadata
        )
        covers, parts = 0, []
        try:
            async for part in call:
                covers = part.covers
                parts.append(part.data)
            data = b''.join(parts)
            await self._verify_reply(call, method, metadata, data)
        except (grpc.RpcError, errors.ForgedMessageError) as error:
            await self._raise_unavailable(member, method, error)
        return journaling.Snapshot(covers, data)

    async def request_releases(
        self, member, question: owning.AskReleases
    ) -> owning.Releases:
        """Return the releases that the member grants."""
        request = peers_pb2.ReleaseRequest(
            claimant=question.claimant,
            wanted=releasecodec.encode_releases(question.wanted),
        )
        reply = await self._call(member, 'ReleaseSlots', request)
        return owning.Releases(releasecodec.decode_releases(reply.given))

    async def send_releases(self, member, given: owning.Releases) -> None:
        """Send own releases; returns once the member has confirmed them."""
        request = peers_pb2.ReleaseReply(
            given=releasecodec.encode_releases(given.given)
        )
        await self._call(member, 'TakeReleases', request)

    async def _call(self, member, method, request):
        metadata = self._sign_call(member, method, request)
        call = getattr(self._build_stub(member), method)(
            request, timeout=CALL_TIMEOUT_S, metadata=metadata
        )
        try:
            reply = await call
            await self._verify_reply(call, method, metadata, to_bytes(reply))
        except (grpc.RpcError, errors.ForgedMessageError) as error:
            await self._raise_unavailable(member, method, error)
        return reply

    def _sign_call(self, member, method, request):
        return peertags.sign_call(
            self._credentials, member.incarnation, method, to_bytes(request)
        )

    async def _verify_reply(self, call, method, metadata, body):
        peertags.check_reply(
            self._credentials,
            method,
            peertags.find_tag(metadata),
            await call.trailing_metadata(),
            body,
        )

    async def _raise_unavailable(self, member, method, error):
        await self._close(member.incarnation)
        reason = (
            error.code().name
            if isinstance(error, aio.AioRpcError)
            else str(error)
        )
        raise errors.PeerUnavailable(
            f'{member.name} gave no usable reply to {method} ({reason}); '
            f'check the node and its peer port'
        ) from error

    def _build_stub(self, member):
        channel = self._channels.get(member.incarnation)
        if channel is None:
            channel = aio.insecure_channel(
                f'{member.host}:{member.peer_port}', options=CHANNEL_OPTIONS
            )
            self._channels[member.incarnation] = channel
        return peers_pb2_grpc.PeersStub(channel)

    async def _close(self, incarnation):
        channel = self._channels.pop(incarnation, None)
        if channel is not None:
            await channel.close()


def to_bytes(message) -> bytes:
    """Return the deterministic encoding of a message for its tag."""
    return message.SerializeToString(deterministic=True)
