"""Messages of the shares task."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TakeToken:
    """Asks for one token; the reply is Spent or OverRate.

    ``deadline`` is the request's end in boot-clock seconds. A request whose
    deadline allows it waits a short time for the next grant; the default
    waits for nothing.
    """

    organisation: str
    deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenTaken:
    """One token was taken; ``receipt`` is needed to give it back."""

    receipt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OverRate:
    """No token is left here; ``retry_after_s`` is a hint in seconds.

    ``inputs`` are the numbers that decided it, by name.
    """

    retry_after_s: float
    inputs: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnToken:
    """Returns a token whose request did not run and was not forwarded.

    ``receipt`` is that of Spent. A token without one is lost, since its
    holder may already have reported it as spent.
    """

    organisation: str
    receipt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnAllTokens:
    """Planned stop: give unspent tokens back to their allocators."""
