"""Command line tool for operators: tickets, status, dumps, zones."""

import contextlib
import getpass
import hashlib
import itertools
import sys
import time

from sesamejunction.border import declarationedit
from sesamejunction.border import declarations
from sesamejunction.border import settings
from sesamejunction.commands import recovery
from sesamejunction.commands import tickets as commands
from sesamejunction.decisions import tickets
from sesamejunction import errors
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import ticketing
from sesamejunction.queries import explain as queries_explain
from sesamejunction.queries import status as queries
from sesamejunction.ui import invocation
from sesamejunction.ui import session as sessions

MIN_DIGEST_PREFIX = 8


def validate(directory):
    """Check the declaration files of a directory; needs no connection."""
    declared = declarations.read_declarations(directory)
    print(
        f'valid: {len(declared.organisations)} organisations, '
        f'{len(declared.caller_keys)} caller keys, '
        f'{len(declared.services)} services'
    )


@invocation.add_settings_flags(settings.CtlSettings)
def diff(directory, **flags):
    """Print what applying a directory would change."""
    declared = declarations.read_declarations(directory)

    async def command(session):
        current = await session.view.catch_up()
        ticket = tickets.build_ticket(
            declared, current, 0, session.ctl_settings.author
        )
        for change in tickets.list_changes(ticket, current):
            print(f'{change.kind} {change.name}: {change.what}')
        if tickets.is_empty(ticket):
            print(f'nothing differs from ticket {current.last_ticket}')

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def apply(directory, number=None, **flags):
    """Apply a directory as one ticket and follow it through the fleet.

    Args:
        directory: Directory of the declaration files.
        number: Number of the ticket; the next one unless given.
    """
    ticket_number = parse_ticket_number(number)
    declared = declarations.read_declarations(directory)

    async def command(session):
        applied = await commands.apply_declarations(
            session.ports,
            session.view,
            declared,
            ticket_number,
            session.ctl_settings.author,
        )
        await session.follow(applied)

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def follow(**flags):
    """Wait until every live node has the last accepted ticket."""

    async def command(session):
        current = await session.view.catch_up()
        await session.follow(
            ticketing.AppliedTicket(
                current.last_ticket, current.offset - 1, True
            )
        )

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def status(**flags):
    """Print the last ticket, zones, targets and how far each node is."""

    async def command(session):
        current = await session.view.catch_up()
        node_statuses = await queries.read_fleet(
            current, session.client, session.ctl_settings.follow_concurrency
        )
        for line in queries.format_fleet(current, node_statuses):
            print(line)

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def dump(target, **flags):
    """Print the state of the node beside a target, as JSON."""

    async def command(session):
        member = await session.find_member(target)
        print((await session.client.read_dump(member)).decode())

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def drain(target, **flags):
    """Ask the node beside a target for a planned stop."""

    async def command(session):
        member = await session.find_member(target)
        await session.client.drain(member)
        print(f'{target}: stopping; its init system may start it again')

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def zone_out(zone, **flags):
    """Take an availability zone out of service."""
    change_standing('zones', zone, state.Standing.OUT, flags)


@invocation.add_settings_flags(settings.CtlSettings)
def zone_in(zone, **flags):
    """Bring an availability zone back into service."""
    change_standing('zones', zone, state.Standing.IN, flags)


@invocation.add_settings_flags(settings.CtlSettings)
def target_out(target, **flags):
    """Take a target out of service."""
    change_standing('targets', target, state.Standing.OUT, flags)


@invocation.add_settings_flags(settings.CtlSettings)
def target_in(target, **flags):
    """Bring a target back into service."""
    change_standing('targets', target, state.Standing.IN, flags)


@invocation.add_settings_flags(settings.CtlSettings)
def withdraw_key(key, **flags):
    """Withdraw a caller key, named by its digest or declared name."""

    async def command(session):
        current = await session.view.catch_up()
        folder = session.ctl_settings.declarations
        digest = find_digest(key, current, folder)
        edit = folder and declarationedit.plan_key_removal(folder, digest)
        removal = records.Removal('caller_key', digest)
        await session.apply_and_follow(edit, removals=(removal,))
        if folder is None:
            print(
                'remove the key from organisations.yaml as well, or the '
                'next apply grants it again'
            )

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def forget(node, **flags):
    """State that a node's instance is gone and will not come back."""

    async def command(session):
        member = await session.find_member(node)
        await commands.check_not_running(session.ports, member)
        await session.apply_and_follow(None, forgotten=(node,))

    sessions.run_session(flags, command)


@invocation.add_settings_flags(settings.CtlSettings)
def start_over(last_ticket, **flags):
    """Begin with an empty state after the log has lost all of it.

    Args:
        last_ticket: Number of the last ticket that was accepted.
    """
    number = parse_ticket_number(last_ticket, '--last-ticket')

    async def command(session):
        await recovery.start_over(session.ports.log, number, time.time())
        print(f'started over; apply the declarations as {number + 1} or later')

    sessions.run_session(flags, command)


def hash_key():
    """Read a key from standard input and print its SHA-256."""
    if sys.stdin.isatty():
        text = getpass.getpass('key: ')
    else:
        text = sys.stdin.readline()
    key = text.rstrip('\r\n')
    if not key or key != key.strip() or not key.isascii():
        raise errors.UsageError(
            'no usable key on standard input; send one line of ASCII '
            'without spaces around it'
        )
    print(hashlib.sha256(key.encode()).hexdigest())


def change_standing(section, name, standing, flags) -> None:
    """Apply a ticket with one standing and update standing.yaml to match."""

    async def command(session):
        current = await session.view.catch_up()
        check_name_exists(section, name, current)
        folder = session.ctl_settings.declarations
        edit = folder and declarationedit.plan_standing_edit(
            folder, section, name, standing
        )
        await session.apply_and_follow(edit, **{section: ((name, standing),)})
        if folder is None:
            print(
                f'set it to {standing.value} in standing.yaml as well, or '
                f'apply and diff will differ'
            )

    sessions.run_session(flags, command)


def check_name_exists(section, name, current) -> None:
    """Raise UsageError for a zone or target that the fleet does not have."""
    members = current.members.values()
    live = {
        known_member.zone if section == 'zones' else known_member.name
        for known_member in members
    }
    known = live | set(getattr(current, section))
    if name not in known:
        raise errors.UsageError(
            f'{name} is unknown; {section} are {", ".join(sorted(known))}'
        )


def find_digest(key, current, folder) -> str:
    """Return the digest of the one key in force that matches.

    Raises UsageError unless exactly one key matches.
    """
    matches = [
        candidate
        for candidate in current.caller_keys
        if len(key) >= MIN_DIGEST_PREFIX and candidate.startswith(key)
    ]
    if folder is not None and not matches:
        declared = declarations.read_declarations(str(folder))
        matches = [
            candidate.digest
            for candidate in declared.key_names
            if candidate.name == key
            and candidate.digest in current.caller_keys
        ]
    if len(matches) != 1:
        raise errors.UsageError(
            f'{len(matches)} keys in force match; name one by its SHA-256 or '
            f'its first {MIN_DIGEST_PREFIX} digits, or set --declarations to '
            f'use its declared name'
        )
    return matches[0]


def parse_ticket_number(text, flag='--number') -> int | None:
    """Return a ticket number; raises UsageError for anything else."""
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and 0 < int(text) < 1 << 62):
        raise errors.UsageError(
            f'{flag} {text}: not a ticket number; give a whole number '
            f'above 0 or leave it out'
        )
    return int(text)


def explain(request, files):
    """Print what the logs of all nodes say about a request, in order.

    Args:
        request: The id that the caller sent.
        files: Log files, separated by commas.
    """
    with contextlib.ExitStack() as stack:
        try:
            log_files = [
                stack.enter_context(open(path, errors='replace'))
                for path in files.split(',')
            ]
        except OSError as error:
            raise errors.UsageError(
                f'{error.filename}: {error.strerror}; name readable log files'
            ) from None
        messages = queries_explain.explain_request(
            request, itertools.chain.from_iterable(log_files)
        )
    if not messages:
        raise errors.UsageError(
            f'no line names {request}; successful requests are not logged, '
            f'and lines beyond the limit are dropped'
        )
    for message in messages:
        print(queries_explain.describe_message(message))


COMMANDS = {
    'explain': explain,
    'validate': validate,
    'diff': diff,
    'apply': apply,
    'follow': follow,
    'status': status,
    'dump': dump,
    'drain': drain,
    'zone-out': zone_out,
    'zone-in': zone_in,
    'target-out': target_out,
    'target-in': target_in,
    'withdraw-key': withdraw_key,
    'forget': forget,
    'start-over': start_over,
    'hash-key': hash_key,
}


def main() -> None:
    """Run the command line."""
    invocation.run_command(COMMANDS)


if __name__ == '__main__':
    main()
