"""Actors: asyncio tasks that own sockets or state.

Two kinds of node share this package. One runs beside its target
(ui/wiring.py) and uses journal, appender, leases, witnesses, owners, planner,
membership and gate, among others. The other one runs on the operators'
platform (ui/hostedwiring.py) and uses follower, registrar, presence,
targetlease, terms, rangeplanner and scheduler in their place.
"""
