"""Changes of a topic's copy, as one node passes them on to another."""

import collections

from sesamejunction.model import registry

# Removed keys that a node remembers. To a peer whose copy is older than the
# oldest of them, the whole copy is passed on.
MAX_REMOVED = 1024


class RemovedKeys:
    """The keys that were removed from a copy, with the offsets of removal."""

    def __init__(self):
        self._offsets = collections.OrderedDict()
        # Removals below this offset may be unknown.
        self.known_from = 0

    def add(self, key: str, offset: int) -> None:
        """Record a removal; the oldest one is dropped beyond the limit."""
        self._offsets.pop(key, None)
        self._offsets[key] = offset
        if len(self._offsets) > MAX_REMOVED:
            _, dropped = self._offsets.popitem(last=False)
            self.known_from = dropped + 1

    def forget(self, end: int) -> None:
        """Record that removals before ``end`` are unknown."""
        self._offsets.clear()
        self.known_from = end

    def list_since(self, end: int) -> tuple[tuple[str, int], ...]:
        """Return the removals from an offset on."""
        return tuple(
            (key, offset)
            for key, offset in self._offsets.items()
            if offset >= end
        )


def build_news(
    copy: registry.TopicCopy, removed: RemovedKeys, end: int
) -> registry.TopicNews:
    """Return what a copy that ends at ``end`` lacks."""
    if end < removed.known_from:
        return registry.TopicNews(copy.end, True, dict(copy.items))
    return registry.TopicNews(
        copy.end,
        False,
        {key: item for key, item in copy.items.items() if item.offset >= end},
        removed.list_since(end),
    )


def apply_news(
    copy: registry.TopicCopy, news: registry.TopicNews
) -> registry.TopicCopy:
    """Return the copy with the news, which must be newer.

    The copy may have grown since the news were asked for, so an item is only
    replaced by a later one.
    """
    if news.is_whole:
        return registry.TopicCopy(news.end, news.items)
    items = dict(copy.items)
    for key, item in news.items.items():
        if key not in items or items[key].offset < item.offset:
            items[key] = item
    for key, offset in news.removed:
        if key in items and items[key].offset < offset:
            del items[key]
    return registry.TopicCopy(news.end, items)
