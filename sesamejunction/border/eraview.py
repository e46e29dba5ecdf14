"""The era of the store, as all tasks of a node know it."""

import eliot

from sesamejunction.border import logs
from sesamejunction.model import registry


class EraView:
    """The latest era that is known, counted from 0 for the first one.

    ``current`` only grows. ``subscribers`` are told of each change.
    ``count`` is called with ``era``, ``late`` and ``unreadable``.
    """

    def __init__(self, count=lambda event: None):
        self.current = 0
        self.subscribers = []
        self._count = count
        self._logger = logs.ThrottledLogger(1)

    def learn(self, era: int, source: str) -> bool:
        """Record an era; return False if a later one is known.

        It is also False for one above MAX_ERA, which no store answers: after
        that, all answers of the store would count as late.
        """
        if era > registry.MAX_ERA:
            self.note_unreadable(f'{source} names the era {era}')
            return False
        if era <= self.current:
            return era == self.current
        former, self.current = self.current, era
        eliot.log_message(
            'journal: new era of the store',
            era=era + registry.FIRST_ERA,
            former=former + registry.FIRST_ERA,
            source=source,
        )
        self._count('era')
        for subscriber in self.subscribers:
            subscriber.tell(registry.EraChanged(era))
        return True

    def note_late(self, path: str) -> None:
        """Count an answer of an earlier era."""
        self._count('late')
        self._logger.log_message('journal: late answer dropped', path=path)

    def note_unreadable(self, reason: str) -> None:
        """Count an answer whose era cannot be read."""
        self._count('unreadable')
        self._logger.log_message('journal: era unreadable', reason=reason)
