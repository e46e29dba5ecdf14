"""Names of the platform's header fields."""

REQUEST_ID = 'X-Attempt-Id'
# Milliseconds that the sender waits; the target stops work on the request
# after them.
DEADLINE_MS = 'X-Deadline-Ms'
AUTHORIZATION = 'Authorization'
AUTH_SCHEME = 'Token '
SHARD_KEY = 'X-Shard-Key'
ORGANISATION = 'X-Tenant'
# The service of the instance where a request began, not the name of its
# sender.
CALLER_SERVICE = 'X-Caller-Service'
# A target of another name answers with status 421.
EXPECTED_TARGET = 'X-Target-Instance'
NOT_RUN = 'X-Not-Executed'
# Set in each success of a target. A success without it did not come from the
# target, or is truncated.
SIGNATURE = 'X-Response-Signature'
# "running, waiting, slots" of the target, and perhaps a fourth figure: how
# long work takes there now, in per cent of the usual.
SERVER_LOAD = 'X-Server-Load'

# Fields that the router sets, or that apply to one connection only.
NOT_FORWARDED = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
        'authorization',
        'x-deadline-ms',
        'x-tenant',
        'x-caller-service',
        'x-target-instance',
    )
)
