"""Applies the records that change slot orders and hot keys.

A slot order lists the members of a slot: its owner and successors.
"""

import dataclasses

from sesamejunction.model import state


def count_fixed_slots(current: state.State, service: str) -> int:
    """Return the number of fixed slots of a service, 0 if it is unknown."""
    if service == state.SHARES_SERVICE:
        return state.SHARES_SLOTS
    declared = current.services.get(service)
    return declared.slot_count if declared else 0


def arrange_slots(current, service, entries, balance=False) -> state.State:
    """Return the state with all valid entries applied.

    An entry is valid if its base epoch is the slot's epoch, all its members
    are live and the slot is settled. A slot in transition can get a new
    order only if all members of its present one have ended, since no member
    could claim it then. Evidence is then also needed from the members of
    the replaced order.
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
        former_order = changed.get(entry.slot, table.orders[entry.slot])
        new_order = _arrange_slot(current, former_order, entry)
        if new_order is not former_order:
            changed[entry.slot] = new_order
    balanced = current.offset if balance and changed else table.balanced
    return _replace_orders(
        current,
        service,
        dataclasses.replace(table, balanced=balanced),
        changed,
    )


def settle_slots(current, service, entries) -> state.State:
    """Return the state with the transitions in ``entries`` completed."""
    table = current.tables.get(service)
    if table is None:
        return current
    changed = {}
    for entry in entries:
        if not 0 <= entry.slot < len(table.orders):
            continue
        former_order = table.orders[entry.slot]
        if (
            former_order is None
            or former_order.previous is None
            or former_order.epoch != entry.epoch
        ):
            continue
        changed[entry.slot] = state.SlotOrder(
            former_order.epoch, former_order.order
        )
    return _replace_orders(current, service, table, changed)


def place_hot_key(current, record) -> state.State:
    """Return the state with a hot slot for the key.

    The hot slot starts in transition from the order of the key's fixed
    slot, so the key moves only after all members of that order have read
    the record.
    """
    count = count_fixed_slots(current, record.service)
    table = current.tables.get(record.service)
    if table is None or count == 0 or not record.order:
        return current
    fixed_order = table.orders[record.key_hash % count]
    if fixed_order is None or fixed_order.previous is not None:
        return current
    if (
        fixed_order.epoch != record.base_epoch
        or record.key_hash in table.hot_keys
    ):
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
    # of an earlier use of the hot slot. So a release proves that its sender
    # has read this record.
    last = max(fixed_order.epoch, former_epoch)
    orders[record.slot] = state.SlotOrder(
        last + 2, record.order, fixed_order.order, last + 1
    )
    hot = {**table.hot_keys, record.key_hash: record.slot}
    return _replace_table(
        current,
        record.service,
        dataclasses.replace(table, orders=tuple(orders), hot_keys=hot),
    )


def remove_hot_key(current, record) -> state.State:
    """Return the state with the key moved back to its fixed slot.

    Both slots must be settled and have the same order, so that the removal
    does not change the owner.
    """
    count = count_fixed_slots(current, record.service)
    table = current.tables.get(record.service)
    if table is None or record.key_hash not in table.hot_keys:
        return current
    hot_order = table.orders[table.hot_keys[record.key_hash]]
    fixed_order = table.orders[record.key_hash % count]
    if (
        fixed_order is None
        or hot_order is None
        or hot_order.epoch != record.epoch
    ):
        return current
    if hot_order.previous is not None or fixed_order.previous is not None:
        return current
    if hot_order.order != fixed_order.order:
        return current
    hot = dict(table.hot_keys)
    del hot[record.key_hash]
    return _replace_table(
        current, record.service, dataclasses.replace(table, hot_keys=hot)
    )


def are_live(current: state.State, order: tuple[int, ...]) -> bool:
    """Return whether no member of the order is recorded as ended."""
    return all(member in current.members for member in order)


def fits_epoch(former_order: state.SlotOrder | None, entry) -> bool:
    """Return whether the entry was made for the slot's present order."""
    return entry.base_epoch == (
        former_order.epoch if former_order is not None else 0
    )


def may_replace(current: state.State, former_order: state.SlotOrder) -> bool:
    """Return whether the order is settled or all its members have ended."""
    return former_order.previous is None or not any(
        member in current.members for member in former_order.order
    )


def find_epoch(current: state.State, service: str, slot: int) -> int:
    """Return the newest epoch of a slot, 0 if it has no order."""
    table = current.tables.get(service)
    if table is None or slot >= len(table.orders):
        return 0
    slot_order = table.orders[slot]
    return slot_order.epoch if slot_order else 0


def follows_former(former_epoch: int, record) -> bool:
    """Return whether the hot slot was not used since the record was built."""
    return former_epoch == record.former_epoch


def _arrange_slot(current, former_order, entry):
    if not fits_epoch(former_order, entry):
        return former_order
    if former_order is None:
        return state.SlotOrder(current.first_epoch, entry.order)
    if not may_replace(current, former_order):
        return former_order
    epoch = former_order.epoch + 1
    if former_order.previous is None:
        return state.SlotOrder(
            epoch, entry.order, former_order.order, former_order.epoch
        )
    # A member of the replaced order may have served the slot, so the claimant
    # needs evidence of its end too, like that of earlier members.
    released = tuple(dict.fromkeys(former_order.previous + former_order.order))
    return state.SlotOrder(
        epoch, entry.order, released, former_order.previous_epoch
    )


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
