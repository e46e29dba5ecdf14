"""Reports the status of a node and of the fleet."""

import asyncio
import typing

from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.model import state
from sesamejunction.model import valueclass


class Nodes(typing.Protocol):
    """Client of the nodes' operator endpoints."""

    async def read_status(self, member) -> operating.NodeStatus:
        """Return a node's status; raises PeerUnavailable."""


@valueclass.define
class MemberStatus:
    """A member and its status, or the reason why it is missing."""

    member: state.Member
    status: operating.NodeStatus | None
    problem: str = ''


def build_node_status(
    current: state.State,
    incarnation: int,
    name: str,
    zone: str,
    stopping: bool,
    log_age_s: float,
) -> operating.NodeStatus:
    """Return a node's status; ``log_age_s`` is infinite before any contact."""
    return operating.NodeStatus(
        incarnation=incarnation,
        name=name,
        zone=zone,
        offset=current.offset,
        last_ticket=current.last_ticket,
        last_ticket_digest=current.last_ticket_digest,
        members=len(current.members),
        joined=incarnation in current.members,
        stopping=stopping,
        log_age_s=None if log_age_s == float('inf') else round(log_age_s, 3),
    )


async def read_fleet(
    current: state.State, nodes: Nodes, concurrency: int
) -> tuple[MemberStatus, ...]:
    """Query the status of each member; returns them sorted by name."""
    semaphore = asyncio.Semaphore(concurrency)

    async def read(member):
        async with semaphore:
            try:
                return MemberStatus(member, await nodes.read_status(member))
            except errors.PeerUnavailable as error:
                return MemberStatus(member, None, str(error))

    members = sorted(current.members.values(), key=lambda listed: listed.name)
    return tuple(await asyncio.gather(*(read(listed) for listed in members)))


def format_fleet(
    current: state.State, member_statuses: tuple[MemberStatus, ...]
) -> list[str]:
    """Return the fleet's status as lines of text."""
    out = state.Standing.OUT
    lines = [
        f'ticket {current.last_ticket} at offset {current.offset}; '
        f'{len(current.members)} of {current.fleet.max_nodes} members; '
        f'{len(current.organisations)} organisations, '
        f'{len(current.caller_keys)} caller keys, '
        f'{len(current.services)} services'
    ]
    for kind, standings in (
        ('zone', current.zones),
        ('target', current.targets),
    ):
        lines += [
            f'{kind} {name}: out of service'
            for name, standing in sorted(standings.items())
            if standing is out
        ]
    lines += [
        _format_line(current, member_status)
        for member_status in member_statuses
    ]
    return lines


def _format_line(current, member_status) -> str:
    member = member_status.member
    prefix = f'{member.name} {member.zone} {member.service}'
    if member_status.status is None:
        return f'{prefix}: {member_status.problem}'
    if member_status.status.incarnation != member.incarnation:
        return f'{prefix}: another process, not joined yet'
    behind = max(0, current.offset - member_status.status.offset)
    notes = [f'{behind} records behind' if behind else 'up to date']
    if member_status.status.stopping or member.leaving:
        notes.append('leaving')
    age = member_status.status.log_age_s
    if age is None:
        notes.append('no log contact')
    elif age > 15:
        notes.append(f'no log contact for {age:.0f} s')
    return f'{prefix}: {", ".join(notes)}'
