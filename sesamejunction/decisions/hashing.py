"""Hash functions that place keys, organisations and duties."""

import xxhash

from sesamejunction.model import state


def hash_key(key: str) -> int:
    """Return the 64-bit hash of a routing key."""
    return xxhash.xxh3_64_intdigest(key.encode())


def find_slot(service: state.Service, table: state.SlotTable, key: str) -> int:
    """Return the slot of a key: its hot slot, or else its fixed one."""
    digest = hash_key(key)
    hot = table.hot_keys.get(digest)
    if hot is not None:
        return hot
    return digest % service.slot_count


def rank_members(seed: str, incarnations) -> list[int]:
    """Return the incarnations by rendezvous hash, highest first."""
    return sorted(
        incarnations,
        key=lambda one: (hash_key(f'{seed}:{one}'), one),
        reverse=True,
    )
