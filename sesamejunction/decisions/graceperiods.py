"""Conditions after whose beginning new work goes on for a grace time.

Such a condition is that a target leaves, or that its availability zone is out
of service. It may have begun before this process, whose predecessor gave the
grace time already. Both together must not give it twice, so a condition that
is found at the first look counts as begun long ago.
"""

import dataclasses

LONG_AGO = float('-inf')


@dataclasses.dataclass(slots=True)
class Condition:
    """Since when a condition holds, as a boot-clock time.

    ``since`` is None while it does not hold. ``is_known`` is set once it has
    been looked at.
    """

    since: float | None = None
    is_known: bool = False

    def update(self, holds: bool, now: float) -> None:
        """Note whether the condition holds now."""
        if not holds:
            self.since = None
        elif self.since is None:
            self.since = now if self.is_known else LONG_AGO
        self.is_known = True
