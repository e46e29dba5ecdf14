"""Messages of the shares task, which enforces organisations' rates."""

from sesamejunction.model import valueclass


@valueclass.define
class TakeToken:
    """Takes one rate token; the reply is TokenTaken or OverRate.

    ``deadline`` is the latest boot-clock time to wait until. If it allows,
    the request waits a short time for the next grant; with the default it
    does not wait.
    """

    organisation: str
    deadline: float = 0.0


@valueclass.define
class TokenTaken:
    """One token was taken; ``receipt`` is needed to return it.

    It is 0 if the token cannot be returned.
    """

    receipt: int = 0


@valueclass.define
class OverRate:
    """The node has no token left; ``retry_after_s`` is a hint.

    ``inputs`` are named values that the decision was based on. ``is_certain``
    is false if no allocator has answered, so that the organisation may be
    within its rate.
    """

    retry_after_s: float
    inputs: tuple[tuple[str, float], ...] = ()
    is_certain: bool = True


@valueclass.define
class ReturnToken:
    """Returns the token of a request that neither ran nor was forwarded.

    ``receipt`` is that of TokenTaken. The token is lost if it is 0, or if the
    node has reported the token as spent to the allocator in the meantime.
    """

    organisation: str
    receipt: int = 0


@valueclass.define
class ReturnAllTokens:
    """Starts a planned stop: unspent tokens go back to their allocators."""
