"""Messages of the shares task, which enforces organisations' rates."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TakeToken:
    """Takes one rate token; the reply is TokenTaken or OverRate.

    ``deadline`` is the request's deadline in boot-clock seconds. If it
    allows, the request waits a short time for the next grant. With the
    default it does not wait.
    """

    organisation: str
    deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenTaken:
    """One token was taken; ``receipt`` is needed to return it."""

    receipt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OverRate:
    """The node has no token left; ``retry_after_s`` is a hint.

    ``inputs`` are named values that the decision was based on.
    """

    retry_after_s: float
    inputs: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnToken:
    """Returns the token of a request that neither ran nor was forwarded.

    ``receipt`` is that of TokenTaken. A token without one is lost, since its
    holder may already have reported it as spent.
    """

    organisation: str
    receipt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnAllTokens:
    """Starts a planned stop: unspent tokens go back to their allocators."""
