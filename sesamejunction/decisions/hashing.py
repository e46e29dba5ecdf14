"""Hash functions that map keys to slots and rank members."""

import xxhash

from sesamejunction.model import state


def hash_key(key: str) -> int:
    """Return the 64-bit hash of a routing key."""
    return xxhash.xxh3_64_intdigest(key.encode())


def find_slot(service: state.Service, table: state.SlotTable, key: str) -> int:
    """Return a key's hot slot if it has one, otherwise its fixed slot."""
    digest = hash_key(key)
    hot = table.hot_keys.get(digest)
    if hot is not None:
        return hot
    return digest % service.slot_count


def rank_members(seed: str, incarnations) -> list[int]:
    """Return the incarnations ordered by rendezvous hash, highest first."""
    return sorted(
        incarnations,
        key=lambda incarnation: (
            hash_key(f'{seed}:{incarnation}'),
            incarnation,
        ),
        reverse=True,
    )
