"""Header names of the platform and what they carry."""

REQUEST_ID = 'X-Attempt-Id'
# Milliseconds that the sender will wait; a target stops work after them.
DEADLINE_MS = 'X-Deadline-Ms'
AUTHORIZATION = 'Authorization'
AUTH_SCHEME = 'Token '
SHARD_KEY = 'X-Shard-Key'
ORGANISATION = 'X-Tenant'
# The service at the machine where a request began, not its sender's name.
CALLER_SERVICE = 'X-Caller-Service'
EXPECTED_TARGET = 'X-Target-Instance'
NOT_RUN = 'X-Not-Executed'
# In each success of a target; an answer without it did not come from there,
# or not whole.
SIGNATURE = 'X-Response-Signature'

# Fields that the router sets, or that concern one connection only.
NOT_PASSED_ON = frozenset(
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
