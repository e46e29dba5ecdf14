"""Folds the records that change slot orders and hot keys."""

import dataclasses

from sesamejunction.model import state


def count_fixed_slots(current: state.State, service: str) -> int:
    """Return the number of fixed slots of a service, 0 when unknown."""
    if service == state.SHARES_SERVICE:
        return state.SHARES_SLOTS
    declared = current.services.get(service)
    return declared.slot_count if declared else 0


def arrange_slots(current, service, entries, balance=False) -> state.State:
    """Return the state with the entries that fit.

    An entry fits when its base epoch is the slot's, all its members are live
    and the slot is settled. A slot in transition takes a new order only when
    all members of its present one have ended, since nobody could claim it
    otherwise; its members then are released like those before them.
    """
    count = count_fixed_slots(current, service)
    if count == 0:
        return current
    table = current.tables.get(service) or state.SlotTable((None,) * count)
    changed = {}
    for entry in entries:
        if not 0 <= entry.slot < len(table.orders) or not entry.order:
            continue
        if not are_live(current, entry.order):
            continue
        old = changed.get(entry.slot, table.orders[entry.slot])
        new = _arrange(current, old, entry)
        if new is not old:
            changed[entry.slot] = new
    balanced = current.offset if balance and changed else table.balanced
    return _replace_orders(
        current,
        service,
        dataclasses.replace(table, balanced=balanced),
        changed,
    )


def settle_slots(current, service, entries) -> state.State:
    """Return the state with the named moves complete."""
    table = current.tables.get(service)
    if table is None:
        return current
    changed = {}
    for entry in entries:
        if not 0 <= entry.slot < len(table.orders):
            continue
        old = table.orders[entry.slot]
        if old is None or old.previous is None or old.epoch != entry.epoch:
            continue
        changed[entry.slot] = state.SlotOrder(old.epoch, old.order)
    return _replace_orders(current, service, table, changed)


def place_hot_key(current, record) -> state.State:
    """Return the state with a slot of its own for the key.

    The new slot starts in transition from the order of the key's fixed
    slot, so all members of that order must have read the record before the
    key moves.
    """
    count = count_fixed_slots(current, record.service)
    table = current.tables.get(record.service)
    if table is None or count == 0 or not record.order:
        return current
    base = table.orders[record.key_hash % count]
    if base is None or base.previous is not None:
        return current
    if base.epoch != record.base_epoch or record.key_hash in table.hot_keys:
        return current
    if not are_live(current, record.order):
        return current
    if not _may_use_hot_slot(table, record.slot, count):
        return current
    orders = list(table.orders)
    orders.extend([None] * (record.slot + 1 - len(orders)))
    former = orders[record.slot]
    former_epoch = former.epoch if former else 0
    if not follows_former(former_epoch, record):
        return current
    # No release of this epoch can exist yet, neither of the fixed slot nor
    # of an earlier use of the hot slot, so each one given proves that its
    # sender has read this record.
    last = max(base.epoch, former_epoch)
    orders[record.slot] = state.SlotOrder(
        last + 2, record.order, base.order, last + 1
    )
    hot = {**table.hot_keys, record.key_hash: record.slot}
    return _replace_table(
        current,
        record.service,
        dataclasses.replace(table, orders=tuple(orders), hot_keys=hot),
    )


def remove_hot_key(current, record) -> state.State:
    """Return the state with the key back in its fixed slot.

    Both slots must be settled with the same order, so that the owner does
    not change with the removal.
    """
    count = count_fixed_slots(current, record.service)
    table = current.tables.get(record.service)
    if table is None or record.key_hash not in table.hot_keys:
        return current
    own = table.orders[table.hot_keys[record.key_hash]]
    base = table.orders[record.key_hash % count]
    if base is None or own is None or own.epoch != record.epoch:
        return current
    if own.previous is not None or base.previous is not None:
        return current
    if own.order != base.order:
        return current
    hot = dict(table.hot_keys)
    del hot[record.key_hash]
    return _replace_table(
        current, record.service, dataclasses.replace(table, hot_keys=hot)
    )


def are_live(current: state.State, order: tuple[int, ...]) -> bool:
    """Return whether no member of the order is recorded as ended."""
    return all(one in current.members for one in order)


def fits_epoch(old: state.SlotOrder | None, entry) -> bool:
    """Return whether the entry was made for the slot's present order."""
    return entry.base_epoch == (old.epoch if old is not None else 0)


def may_replace(current: state.State, old: state.SlotOrder) -> bool:
    """Return whether the order is settled or has nobody to claim it."""
    return old.previous is None or not any(
        one in current.members for one in old.order
    )


def find_epoch(current: state.State, service: str, slot: int) -> int:
    """Return the newest epoch of a slot, 0 without an order."""
    table = current.tables.get(service)
    if table is None or slot >= len(table.orders):
        return 0
    arranged = table.orders[slot]
    return arranged.epoch if arranged else 0


def follows_former(former_epoch: int, record) -> bool:
    """Return whether the hot slot was not used since the record was made."""
    return former_epoch == record.former_epoch


def _arrange(current, old, entry):
    if not fits_epoch(old, entry):
        return old
    if old is None:
        return state.SlotOrder(current.first_epoch, entry.order)
    if not may_replace(current, old):
        return old
    epoch = old.epoch + 1
    if old.previous is None:
        return state.SlotOrder(epoch, entry.order, old.order, old.epoch)
    # A member of the dead order may have served, so its end is evidence that
    # the claimant needs, like that of the members before it.
    released = tuple(dict.fromkeys(old.previous + old.order))
    return state.SlotOrder(epoch, entry.order, released, old.previous_epoch)


def _may_use_hot_slot(table, slot, count):
    if not count <= slot < count + state.MAX_HOT_KEYS:
        return False
    return slot not in table.hot_keys.values()


def _replace_orders(current, service, table, changed):
    if not changed:
        return current
    orders = list(table.orders)
    for slot, order in changed.items():
        orders[slot] = order
    return _replace_table(
        current, service, dataclasses.replace(table, orders=tuple(orders))
    )


def _replace_table(current, service, table):
    tables = {**current.tables, service: table}
    return dataclasses.replace(current, tables=tables)
