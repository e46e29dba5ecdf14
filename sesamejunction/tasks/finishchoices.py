"""The chooser's choices by expected finish, and what they rest on."""

import asyncio
import dataclasses

from sesamejunction.decisions import expectedfinish
from sesamejunction.decisions import loadbalancing
from sesamejunction.model import choosing
from sesamejunction.model import requests
from sesamejunction.tasks import clock

# Estimates kept; they are used for some hundredths of a second only.
MAX_ESTIMATES = 4096
# In one choice of this many a target that has never reported is drawn as well,
# so that one which joins gets requests of other zones within seconds. More
# would send a cold target a burst of all nodes.
TRIAL_ONE_IN = 8


@dataclasses.dataclass(slots=True)
class FinishChoice:
    """A choice among ``candidates`` by expected finish, by incarnation.

    ``estimates`` has those that are known, ``stale`` lists the candidates to
    ask. ``reply`` is the future of the choice while they are asked.
    """

    service: str
    route: str
    has_other: bool
    candidates: dict[int, requests.Candidate]
    estimates: dict[int, expectedfinish.Estimate] = dataclasses.field(
        default_factory=dict
    )
    stale: list[int] = dataclasses.field(default_factory=list)
    reply: asyncio.Future | None = None


class FinishChoices:
    """Compares a few targets by when they would answer.

    The chooser owns it. ``waits`` asks other nodes (tasks/waitquestions).
    ``count_choice`` is called with the labels of each choice.
    """

    def __init__(self, incarnation, zone, waits, draw, count_choice):
        self._incarnation = incarnation
        self._zone = zone
        self._waits = waits
        self._draw = draw
        self._count_choice = count_choice
        # Incarnations that have reported work_s, so that they know questions
        # for the expected wait.
        self._askable = set()
        self._estimates = {}
        # By service, the shortest wait of the own zone in the last choice.
        self._zone_waits = {}

    def note_report(self, incarnation: int) -> None:
        """Note that the target of a member reports its speed."""
        self._askable.add(incarnation)

    def forget_gone(self, current) -> None:
        """Forget members and services that are not in the state."""
        self._askable.intersection_update(current.members)
        for gone in self._zone_waits.keys() - current.services.keys():
            del self._zone_waits[gone]

    def apply_to(self, current, service, targets) -> bool:
        """Return whether targets are chosen by when they would answer.

        This holds for configurations without organisations if a target has
        reported its speed.
        """
        if self._waits is None or current.organisations:
            return False
        return not self._askable.isdisjoint(targets) or (
            self._incarnation in targets
            and self._waits.estimate_own(service.name, '') is not None
        )

    def begin(self, head, eligible, has_other) -> FinishChoice:
        """Return a choice among some of ``eligible``, drawn at random.

        ``eligible`` has candidates by incarnation. ``has_other`` tells
        whether the request could also go elsewhere.
        """
        now = clock.read_boot_clock()
        drawn = expectedfinish.draw_candidates(
            list(eligible),
            _list_zones(eligible),
            *(self._zone, self._incarnation),
            self._zone_waits.get(head.service, 0.0)
            > expectedfinish.CROSS_ZONE_GAIN_S,
            self._draw,
        )
        unheard = [
            member_id
            for member_id in eligible
            if member_id not in drawn
            and member_id not in self._askable
            and member_id != self._incarnation
        ]
        if unheard and self._draw(TRIAL_ONE_IN) == 0:
            drawn.append(unheard[self._draw(len(unheard))])
        choice = FinishChoice(
            *(head.service, head.route, has_other),
            {member_id: eligible[member_id] for member_id in drawn},
        )
        for member_id in drawn:
            known = self._find_estimate(head, member_id, now)
            if known is not None:
                choice.estimates[member_id] = known
            elif member_id in self._askable and member_id != self._incarnation:
                choice.stale.append(member_id)
        return choice

    def _find_estimate(self, head, member_id, now):
        """Return a fresh estimate, None without one."""
        if member_id == self._incarnation:
            expected = self._waits.estimate_own(head.service, head.route)
            return expected and _build_estimate(expected, now)
        known = self._estimates.get((member_id, head.route))
        return known if known and known.is_fresh(now) else None

    def ask(self, choice: FinishChoice, on_end) -> None:
        """Ask the stale candidates; ``on_end`` gets the answers in time."""
        self._waits.ask(
            [
                choice.candidates[member_id].member
                for member_id in choice.stale
            ],
            *(choice.service, choice.route, on_end),
        )

    def take_answers(self, choice: FinishChoice, answers: dict) -> None:
        """Store the answers to the questions of a choice."""
        if len(self._estimates) >= MAX_ESTIMATES:
            self._estimates.clear()
        for member_id, (expected, at) in answers.items():
            estimate = _build_estimate(expected, at)
            self._estimates[member_id, choice.route] = estimate
            choice.estimates[member_id] = estimate

    def decide(self, choice: FinishChoice, find_stats) -> int:
        """Return the candidate to use.

        One that has never reported is used every second time, by one request
        at a time, so that a target that joins becomes known. One that did
        not answer is used only if no other is left. ``find_stats`` returns
        the TargetStats of a member.
        """
        candidates = choice.candidates
        zones = _list_zones(candidates)
        untried = [
            member_id
            for member_id in candidates
            if member_id not in choice.estimates
            and member_id not in self._askable
            and not find_stats(member_id).open_attempts
        ]
        best = expectedfinish.choose_earliest(
            choice.estimates, zones, self._zone, self._incarnation
        )
        figures = 'asked' if choice.stale else 'fresh'
        if untried and (best is None or self._draw(2) == 0):
            best, figures = untried[self._draw(len(untried))], 'unknown'
        elif best is None:
            figures = 'unknown'
            best = loadbalancing.choose_target(
                {one: find_stats(one) for one in candidates},
                *(zones, self._zone, self._draw, clock.read_boot_clock()),
            )
        self._record(choice, best, zones, figures)
        return best

    def _record(self, choice, best, zones, figures) -> None:
        waits = [
            estimate.wait_s
            for member_id, estimate in choice.estimates.items()
            if zones[member_id] == self._zone
        ]
        if waits:
            self._zone_waits[choice.service] = min(waits)
        known = self._estimates.get((best, choice.route))
        if known is not None:
            self._estimates[best, choice.route] = known.add_attempt()
        self._count_choice(
            {
                'service': choice.service,
                'figures': figures,
                'zone': 'own' if zones[best] == self._zone else 'other',
            }
        )


def _list_zones(candidates) -> dict[int, str]:
    return {
        member_id: candidate.member.zone
        for member_id, candidate in candidates.items()
    }


def _build_estimate(
    expected: choosing.ExpectedWait, at: float
) -> expectedfinish.Estimate:
    """Return the estimate of an answer that arrived at ``at``."""
    return expectedfinish.Estimate(
        expected.wait_s, expected.run_s, expected.slots, at
    )
