"""Messages of the chooser task, which selects candidates."""

import dataclasses

from sesamejunction.model import requests


@dataclasses.dataclass(frozen=True, slots=True)
class ChooseCandidate:
    """Asks for a candidate; the reply is Chosen or NoneLeft.

    ``tried`` names incarnations that must not be chosen again; ``owner`` is
    ``host:port`` that a NOT_OWNER refusal named. ``first`` counts the
    request towards the retry budget.
    """

    head: requests.Head
    tried: tuple[int, ...] = ()
    owner: str | None = None
    first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """A candidate.

    ``second_after_s`` is the time after which a second try is worth its
    cost, None when there is no other candidate or no measurement yet.
    """

    candidate: requests.Candidate
    second_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NoCandidate:
    """No candidate now; ``lasting`` when waiting cannot help."""

    reason: str
    lasting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TakeRetry:
    """Asks for one retry from the node's budget; the reply is a bool."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Tells how an attempt at a member ended.

    ``latency_s`` is the time to the head of the answer, None when there was
    none; ``abandoned_s`` the time after which an attempt was given up while
    it waited; ``load`` is what the member reported.
    """

    service: str
    incarnation: int
    latency_s: float | None
    load: requests.Load | None = None
    failed: bool = False
    abandoned_s: float | None = None
