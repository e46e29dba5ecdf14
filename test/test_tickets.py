"""Tickets: lost replies, races, comparison with the state and following."""

import contextlib
import dataclasses

import pytest

from sesamejunction.commands import tickets as commands
from sesamejunction.decisions import fold
from sesamejunction.decisions import tickets
from sesamejunction import errors
from sesamejunction.model import operating
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import ticketing

OUT = state.Standing.OUT
IN = state.Standing.IN
ONE = state.Organisation('one', 10.0, 5.0)
TWO = state.Organisation('two', 20.0, 5.0)
DOWN = 'log is down; check it'
SERVICE = state.Service('s', state.Routing.KEY, 4)
KEY = state.CallerKey('d' * 64, 'one')
DECLARED = ticketing.Declarations((ONE,), (KEY,), (SERVICE,))
THREE = state.Organisation('three', 1.0, 1.0)
MINE = dataclasses.replace(DECLARED, organisations=(ONE, THREE))
OTHER = dataclasses.replace(DECLARED, organisations=(ONE, TWO))


def make_ticket(declared, number, current=None):
    current = current or state.State()
    return tickets.build_ticket(declared, current, number, 'ana')


def join(number):
    return records.MemberJoined(
        state.Member(
            number, f'n{number}', 'a', 'h', 1, number, 1, 's', 1, 1, True
        )
    )


class FakeLog:
    """In-memory log whose next appends can fail."""

    def __init__(self, *entries, faults=(), oldest=0):
        self.entries = [('old', one) for one in entries]
        self.faults = list(faults)
        self.oldest = oldest
        self.down = False

    async def read(self, offset):
        if self.down:
            raise errors.LogUnavailable(DOWN)
        first = max(offset, self.oldest)
        page = tuple(
            ticketing.LogEntry(at, *self.entries[at])
            for at in range(first, min(first + 2, len(self.entries)))
        )
        return ticketing.LogEntries(self.oldest, len(self.entries), page)

    async def append(self, record_id, record):
        fault = self.faults.pop(0) if self.faults else None
        match fault:
            case 'down':
                raise errors.LogUnavailable(DOWN)
            case 'not written':
                raise errors.AppendOutcomeUnknown('no reply')
            case records.TicketApplied():
                self.entries.append(('rival', fault))
        self.entries.append((record_id, record))
        if fault == 'reply lost':
            raise errors.AppendOutcomeUnknown('no reply')
        if fault == 'reply lost, then down':
            self.down = True
            raise errors.AppendOutcomeUnknown('no reply')
        return len(self.entries) - 1

    def decode_state(self, data):
        return CHECKPOINTS[data]


class FakeNodes:
    """Nodes whose offsets grow by one with each poll, up to a limit."""

    def __init__(self, offsets):
        self.offsets = offsets

    async def read_status(self, member):
        offset = self.offsets.get(member.incarnation)
        if offset is None:
            raise errors.PeerUnavailable('no answer; check the instance')
        self.offsets[member.incarnation] = min(offset + 1, 6)
        return operating.NodeStatus(
            member.incarnation, '', '', offset, 0, '', 0, True, False, None
        )


class FakeTime:
    """Clock that only advances by sleeping."""

    def __init__(self):
        self.now = 0.0

    def read(self):
        return self.now

    async def sleep(self, seconds):
        self.now += seconds


def make_ports(log, offsets=None):
    fake = FakeTime()
    return commands.Ports(log, FakeNodes(offsets or {}), fake.read, fake.sleep)


FIRST = make_ticket(DECLARED, 1)
RIVAL = make_ticket(OTHER, 2, fold.fold_record(state.State(), FIRST))
CHECKPOINTS = {
    b'ab': state.State(
        3, 1, FIRST.digest, 3, organisations={'one': ONE}, services={}
    )
}
PARTS = tuple(
    records.CheckpointPart(7, 3, i, 2, one)
    for i, one in enumerate((b'a', b'b'))
)

# Rows: log, faults of the appends, declarations, number, and then the number
# and "already" of the result, or the text of the refusal.
APPLY_CASES = {
    'first ticket': ([], [], DECLARED, None, (1, False)),
    'number left out': ([FIRST], [], OTHER, None, (2, False)),
    'numbers may skip': ([FIRST], [], OTHER, 9, (9, False)),
    'nothing differs': ([FIRST], [], DECLARED, None, (1, True)),
    'same number and content': ([FIRST], [], DECLARED, 1, (1, True)),
    'same number, other content': ([FIRST], [], OTHER, 1, 'other content'),
    'older number': ([FIRST, RIVAL], [], OTHER, 1, 'other content'),
    'older number, same content': (
        *([FIRST, RIVAL], [], DECLARED, 1, 'not newer'),
    ),
    'older than a checkpoint': ([*PARTS], [], OTHER, 1, 'not newer'),
    'race lost': ([FIRST], [RIVAL], MINE, None, 'other content'),
    # The other ticket's organisation stays in force, so the state differs
    # from the declarations.
    'overtaken': ([FIRST], [RIVAL], MINE, 5, 'another ticket came'),
    'reply lost': ([], ['reply lost'], DECLARED, None, (1, False)),
    'request lost': ([], ['not written'], DECLARED, None, (1, False)),
    'reply lost twice': ([], ['reply lost'] * 2, DECLARED, None, (1, False)),
    'no answer': ([], ['not written'] * 3, DECLARED, None, '--number 1 again'),
    'log goes down': ([], ['reply lost, then down'], DECLARED, None, DOWN),
    'log down': ([], ['down'], DECLARED, None, DOWN),
}


@pytest.mark.parametrize('case', APPLY_CASES)
async def test_apply_declarations(case):
    entries, faults, declared, number, expected = APPLY_CASES[case]
    oldest = 0
    if PARTS[0] in entries:
        entries, oldest = [FIRST] * 3 + entries, 3
    log = FakeLog(*entries, faults=faults, oldest=oldest)
    view = commands.LogView(log)
    call = commands.apply_declarations(
        make_ports(log), view, declared, number, 'ana'
    )
    if isinstance(expected, str):
        with pytest.raises(errors.SesameError, match=expected):
            await call
        return
    applied = await call
    assert (applied.number, applied.already_applied) == expected
    # The state in the log must match the result, whatever the replies were.
    log.down = False
    current = await commands.LogView(log).catch_up()
    digest = tickets.digest_declared(declared)
    assert digest in {
        one.digest
        for _, one in log.entries
        if isinstance(one, records.TicketApplied)
    }
    assert current.last_ticket >= applied.number
    assert view.state.organisations == current.organisations


async def test_gap_without_checkpoint():
    # Guards against a ticket that is compared with an incomplete state.
    log = FakeLog(FIRST, FIRST, FIRST, oldest=2)
    with pytest.raises(errors.RetentionGap, match='wait for'):
        await commands.LogView(log).catch_up()


async def test_checkpoint_behind_newer_records():
    # Guards against skipped records between the offset that a checkpoint
    # covers and the offsets of its parts.
    log = FakeLog(*[FIRST] * 3, RIVAL, join(4), *PARTS, join(5), oldest=3)
    current = await commands.LogView(log).catch_up()
    assert (current.last_ticket, sorted(current.members)) == (2, [4, 5])


# Rows: offsets of the three members at the start (None: no answer), number of
# members that confirm, and those that are behind.
@pytest.mark.parametrize(
    ('offsets', 'confirmed', 'laggards'),
    [
        ({1: 9, 2: 9, 3: 9}, 3, []),
        ({1: 9, 2: 3, 3: 0}, 3, []),
        ({1: 9, 2: 9, 3: None}, 2, ['n3']),
        ({1: -999, 2: -999, 3: 9}, 1, ['n1', 'n2']),
    ],
)
@pytest.mark.parametrize('down', [False, True])
async def test_follow_ticket(offsets, confirmed, laggards, down):
    log = FakeLog(FIRST, join(1), join(2), join(3))
    ports = make_ports(log, dict(offsets))
    view = commands.LogView(log)
    await view.catch_up()
    log.down = down
    followed = await commands.wait_for_confirmations(ports, view, 4, 2.0, 2)
    assert followed.confirmed == confirmed
    assert [one.name for one in followed.unconfirmed] == laggards
    assert (followed.taken_s < 2.0) == (not laggards)


@pytest.mark.parametrize(('offset', 'refused'), [(3, True), (None, False)])
async def test_forget_needs_a_silent_node(offset, refused):
    # Guards against two owners after an operator forgets the wrong node.
    ports = make_ports(FakeLog(), {1: offset})
    expected = pytest.raises(errors.TicketRefused, match='drain n1')
    with expected if refused else contextlib.nullcontext():
        await commands.check_not_running(ports, join(1).member)


BASE = state.State(
    organisations={'one': ONE, 'two': TWO},
    caller_keys={KEY.digest: KEY},
    services={'s': SERVICE},
    zones={'a': OUT, 'b': IN},
    targets={'t': OUT},
)
EQUAL = dataclasses.replace(OTHER)


def vary(**changed):
    return dataclasses.replace(EQUAL, **changed)


# Rows: declarations, and their differences to BASE or the text of the refusal.
DIFF_CASES = {
    'equal': (EQUAL, []),
    'standing not named': (vary(zones=(('b', IN),)), []),
    'zone stays out': (vary(zones=(('a', OUT),)), []),
    'zone goes out': (vary(zones=(('b', OUT),)), ['zone b: out']),
    'zone would return': (vary(zones=(('a', IN),)), 'zone-in a'),
    'target would return': (vary(targets=(('t', IN),)), 'target-in t'),
    'organisation removed': (
        vary(organisations=(ONE,)),
        ['organisation two: removed'],
    ),
    'key removed': (vary(caller_keys=()), [f'caller key {"d" * 12}: removed']),
    'rate changed': (
        vary(organisations=(ONE, dataclasses.replace(TWO, rate=30.0))),
        ['organisation two: rate 20.0 -> 30.0'],
    ),
    'fleet changed': (
        vary(fleet=state.FleetSettings(64)),
        ['fleet fleet: max_nodes 32 -> 64'],
    ),
    'service removed': (vary(services=()), 'cannot be removed'),
    'slot count changed': (
        vary(services=(dataclasses.replace(SERVICE, slot_count=8),)),
        'keeps them',
    ),
}


@pytest.mark.parametrize('case', DIFF_CASES)
def test_differences_to_the_state(case):
    declared, expected = DIFF_CASES[case]
    if isinstance(expected, str):
        with pytest.raises(errors.TicketRefused, match=expected):
            make_ticket(declared, 2, BASE)
        return
    ticket = make_ticket(declared, 2, BASE)
    found = tickets.list_changes(ticket, BASE)
    assert [f'{o.kind} {o.name}: {o.what}' for o in found] == expected
    # With the ticket applied, the state must match the declarations.
    after = fold.fold_record(BASE, ticket)
    assert tickets.is_empty(make_ticket(declared, 3, after))
