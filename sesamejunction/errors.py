"""Typed error tree; each message names the remedy."""


class SesameError(Exception):
    """Base of all errors shown to users as one line."""

    exit_code = 1


class UsageError(SesameError):
    """A flag, environment value or declaration is wrong; nothing changed."""

    exit_code = 2


class SettingsError(UsageError):
    """A setting is unknown, missing or out of range."""


class DeclarationError(UsageError):
    """A declaration file cannot be accepted."""


class TraceError(UsageError):
    """A trace, a bounds file or a target's history cannot be read."""


class OutcomeMissed(SesameError):
    """A replay ran, but a stated outcome does not hold."""


class CodecError(SesameError):
    """Bytes from outside cannot be decoded."""


class ForgedMessageError(CodecError):
    """A peer message has a wrong tag or an old counter."""


class LogUnavailable(SesameError):
    """The log service gave no usable reply."""


class AppendOutcomeUnknown(LogUnavailable):
    """The append may or may not have taken effect; read the log to know."""


class RetentionGap(SesameError):
    """Records between the applied offset and the log's oldest are gone."""


class InboxFull(SesameError):
    """The task's inbox is full; retry later."""


class TaskStopped(SesameError):
    """The task has stopped and takes no more messages."""


class NoIncarnation(SesameError):
    """The node is between two incarnations; retry after a second."""


class HistoryUnavailable(SesameError):
    """A target gave no usable history."""


class PeerUnavailable(SesameError):
    """A peer node gave no usable reply."""


class TicketRefused(SesameError):
    """The fold refused the ticket; nothing changed."""


class PeerConnectionLost(PeerUnavailable):
    """The connection broke after the request may have left."""


class UploadAborted(SesameError):
    """The caller's body stalled, ended early or grew too large."""


class TicketNotConfirmed(SesameError):
    """A ticket is in force, but not every live member has confirmed it."""


class AppendConflict(LogUnavailable):
    """The topic has grown since it was read; read on and decide again."""


class TargetAnswerLost(PeerConnectionLost):
    """The target gave no complete answer in time; it may have run."""


class TargetConnectionRefused(PeerUnavailable):
    """The target's port refuses connections."""
