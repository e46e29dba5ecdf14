"""Journal and appender: log faults, retention gaps, peers, checkpoints."""

import asyncio
import dataclasses

import pytest

from bench import fleets
from sesamejunction.border import loghttp
from sesamejunction.border import recordcodec
from sesamejunction.border import ticketlog
from sesamejunction.commands import recovery
from sesamejunction.decisions import checkpoints
from sesamejunction.decisions import fold
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.tasks import appender
from sesamejunction.tasks import fetcher
from sesamejunction.tasks import journal
from test import fakes
from test import logs


def encode(record):
    return recordcodec.encode_record('x', record)


def read_log(client):
    return [
        one.record
        for data in client.records.records
        for one in recordcodec.decode_records(data)
    ]


# Guards against records lost or applied twice if the log is down or loses a
# reply. Rows: faults in order, copies of the record in the log.
@pytest.mark.parametrize(
    ('faults', 'copies'),
    [
        ([], 1),
        (['down', 'down'], 1),
        (['lost'], 2),
        (['lost', 'down', 'lost'], 3),
    ],
)
@pytest.mark.parametrize('message', [journaling.Append, journaling.Propose])
async def test_append_under_faults(faults, copies, message, monkeypatch):
    monkeypatch.setattr(appender, 'MIN_RETRY_PAUSE_S', 0.01)
    client = logs.FakeLog(faults)
    task = appender.Appender(client, jitter=lambda: 0.0)
    async with fakes.run_actors(task):
        if message is journaling.Append:
            offset = await task.ask(message(logs.make_ticket(1)))
            assert offset == copies - 1
        else:
            task.tell(message(logs.make_ticket(1)))
            await fakes.wait_until(lambda: len(read_log(client)) == copies)
    assert read_log(client) == [logs.make_ticket(1)] * copies


# Guards against a caller that waits forever or gets the wrong outcome if the
# log does not recover.
@pytest.mark.parametrize(
    ('fault', 'error'),
    [('down', errors.LogUnavailable), ('lost', errors.AppendOutcomeUnknown)],
)
async def test_append_gives_up(fault, error, monkeypatch):
    monkeypatch.setattr(appender, 'APPEND_TIMEOUT_S', 0.2)
    client = logs.FakeLog([fault] * 1000)
    task = appender.Appender(client, jitter=lambda: 0.0)
    async with fakes.run_actors(task):
        with pytest.raises(errors.LogUnavailable) as caught:
            await task.ask(journaling.Append(logs.make_ticket(1)))
    assert type(caught.value) is error


# Guards against a flood of obsolete records after an outage, in which ticket 2
# was proposed. Rows: last ticket of the state meanwhile, tickets appended.
@pytest.mark.parametrize(
    ('known', 'appended'),
    [(0, [2]), (1, [2]), (2, [])],
)
async def test_obsolete_proposals_are_dropped(known, appended, monkeypatch):
    monkeypatch.setattr(appender, 'MIN_RETRY_PAUSE_S', 0.05)
    client = logs.FakeLog(['down'])
    task = appender.Appender(client, jitter=lambda: 0.0)
    async with fakes.run_actors(task):
        task.tell(journaling.Propose(logs.make_ticket(2)))
        task.tell(journaling.Propose(logs.make_ticket(2)))
        await fakes.wait_until(lambda: task.retried == 1)
        task.publish(journaling.StateChanged(state.State(last_ticket=known)))
        await fakes.wait_until(lambda: task.obsolete or read_log(client))
    assert [one.number for one in read_log(client)] == appended


async def test_queue_is_bounded_and_batched(monkeypatch):
    # Guards against memory that grows during an outage, and against one
    # append for each record after it.
    monkeypatch.setattr(appender, 'MAX_QUEUED', 20)
    monkeypatch.setattr(appender, 'MIN_RETRY_PAUSE_S', 0.05)
    client = logs.FakeLog(['down'])
    task = appender.Appender(client, jitter=lambda: 0.0)
    async with fakes.run_actors(task):
        for number in range(1, 40):
            task.tell(journaling.Propose(logs.make_ticket(number)))
        await fakes.wait_until(lambda: client.records.appends)
        # One is in flight, 20 are queued.
        assert task.refused == 18
        await fakes.wait_until(lambda: len(read_log(client)) == 21)
    assert client.records.appends == 1


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """A log with records, a checkpoint and a retention limit.

    ``covers`` is the offset that the checkpoint covers, or None. ``dropped``
    is the number of records dropped by the retention. ``missing`` is a part
    of the checkpoint that was never appended. ``applied`` is the reader's
    offset.
    """

    covers: int | None
    dropped: int
    applied: int = 0
    missing: int | None = None


def fold_tickets(count):
    current = state.State()
    for offset in range(count):
        current = fold.apply_record(
            current, offset, logs.make_ticket(offset + 1)
        )
    return current


async def write_history(client, history, monkeypatch):
    """Append 10 tickets, a checkpoint of an offset, and 2 more tickets."""
    monkeypatch.setattr(checkpoints, 'PART_BYTES', 16)
    for number in range(1, 11):
        await client.append(encode(logs.make_ticket(number)))
    if history.covers is not None:
        data = recordcodec.encode_state(fold_tickets(history.covers))
        for part in checkpoints.split_state(7, history.covers, data):
            if part.index != history.missing:
                await client.append(encode(part))
    for number in (11, 12):
        await client.append(encode(logs.make_ticket(number)))
    client.records.drop_before(history.dropped)


# Guards against a node that reverts, skips or invents configuration if the log
# no longer holds all records. Each row ends with the last folded ticket.
@pytest.mark.parametrize(
    ('history', 'ticket'),
    [
        (History(None, 0), 12),
        (History(10, 0), 12),
        (History(10, 10), 12),
        (History(8, 8), 12),
        # Records after the checkpoint are lost, so it cannot be used.
        (History(6, 8), 0),
        (History(10, 10, missing=2), 0),
        (History(None, 5), 0),
        # The reader already has a state.
        (History(10, 10, applied=4), 12),
        (History(6, 8, applied=7), 7),
        (History(6, 8, applied=8), 12),
        # Everything has expired, but a reader that had read it all lost
        # nothing.
        (History(None, 12, applied=12), 12),
        (History(None, 12, applied=11), 11),
    ],
)
async def test_retention_gap_is_closed_by_checkpoint(
    history, ticket, monkeypatch
):
    client = logs.FakeLog()
    await write_history(client, history, monkeypatch)
    task = journal.Journal(client, ())
    task._state = fold_tickets(history.applied)
    offset = history.applied
    for _ in range(5):
        before = task._state.offset
        page = await client.read(offset, 0.0, limit=1000)
        offset = await task.handle(journal.PageRead(page))
        assert task._state.offset >= before
    assert task._state.last_ticket == ticket
    following = client.records.oldest + len(client.records.records)
    assert (task._state.offset == following) is (ticket == 12)


@pytest.mark.parametrize(
    'peer', ['records', 'snapshot', 'gap', 'gone', 'behind']
)
async def test_catch_up_from_peer(peer, monkeypatch):
    # Guards against a node that accepts revoked caller keys while it cannot
    # read the log, although a peer has newer records.
    monkeypatch.setattr(journal, 'BEHIND_GRACE_S', 0.02)
    source_log = logs.FakeLog()
    for number in range(1, 4):
        await source_log.append(encode(logs.make_ticket(number)))
    source = journal.Journal(source_log, ())
    await source.handle(journal.PageRead(await source_log.read(0, 0.0)))
    peers = logs.FakePeers(
        None if peer == 'gone' else source,
        9 if peer in ('snapshot', 'gap') else 0,
    )
    task = journal.Journal(logs.FakeLog(), (), peers)
    known = {5: fleets.make_join_record(5, 'a').member}
    task._state = state.State(members=known)
    gap = loghttp.LogPage(3, 3, ())
    heard = 0 if peer == 'behind' else 3
    async with fakes.run_actors(task):
        for _ in range(10):
            task.tell(journaling.PeerOffset(5, heard, 0.1))
            if peer == 'gap':
                # A page that cannot be folded must not delay the snapshot.
                await task.ask(journal.PageRead(gap))
            await asyncio.sleep(0.01)
        current = await task.ask(journaling.GetState())
    reached = peer in ('records', 'snapshot', 'gap')
    assert current.last_ticket == (3 if reached else 0)
    assert bool(peers.calls) is (peer != 'behind')


@pytest.mark.parametrize('slow_s', [0.0, 3.0, 15.0])
async def test_slow_log_is_read(slow_s, monkeypatch):
    # Guards against a node that never reads a log with slow replies.
    monkeypatch.setattr(journal, 'RETRY_S', 0.01)
    client = logs.FakeLog()
    client.slow_s = slow_s
    await client.append(encode(logs.make_ticket(1)))
    task = journal.Journal(client, ())
    async with fakes.run_actors(task), asyncio.TaskGroup() as tasks:
        following = tasks.create_task(task.follow())
        await fakes.wait_until(lambda: task._state.last_ticket == 1)
        following.cancel()


@pytest.mark.parametrize(
    ('result', 'ticket'),
    [
        (journaling.Snapshot(2, recordcodec.encode_state(fold_tickets(2))), 4),
        (journaling.Snapshot(6, recordcodec.encode_state(fold_tickets(2))), 4),
        (journaling.Snapshot(6, b'broken'), 4),
        (journaling.Snapshot(6, recordcodec.encode_state(fold_tickets(6))), 6),
        (journaling.Records(3, (encode(logs.make_ticket(99)),)), 4),
        (journaling.Records(5, (encode(logs.make_ticket(99)),)), 4),
        (journaling.Records(4, (encode(logs.make_ticket(5)),)), 5),
        (journaling.Records(4, (b'broken',)), 4),
        (None, 4),
    ],
)
async def test_peer_results_never_revert(result, ticket):
    # Guards against outdated, corrupt or misplaced data from a peer.
    task = journal.Journal(logs.FakeLog(), (), logs.FakePeers())
    task._state = fold_tickets(4)
    await task.handle(fetcher.Fetched(result))
    assert task._state.last_ticket == ticket


@pytest.mark.parametrize(
    ('limit_bytes', 'offset', 'limit', 'expected'),
    [
        (100, 0, 9, [b'0' * 10, b'1' * 10, b'2' * 10, b'3' * 10]),
        (100, 2, 1, [b'2' * 10]),
        (20, 0, 9, []),
        (20, 2, 9, [b'2' * 10, b'3' * 10]),
        (100, 4, 9, []),
    ],
)
def test_record_buffer_is_bounded(limit_bytes, offset, limit, expected):
    # Guards against unbounded memory, and against records at the wrong
    # offset after old ones are dropped.
    ring = journal.RecordBuffer(limit_bytes)
    for number in range(4):
        ring.add(number, str(number).encode() * 10)
    assert ring.read(offset, limit).data == tuple(expected)


# Guards against checkpoints that are written too late for a new node, or too
# often. Rows: covers, oldest, applied, age in units of the retention.
@pytest.mark.parametrize(
    ('covers', 'oldest', 'applied', 'age', 'due'),
    [
        (0, 0, 0, 9.0, None),
        (0, 0, 10, 0.1, None),
        (0, 0, 10, 0.5, checkpoints.Due.AGE),
        (0, 1, 10, 0.0, checkpoints.Due.EXPIRED),
        (100, 50, 5_099, 0.0, None),
        (100, 50, 5_100, 0.0, checkpoints.Due.RECORDS),
        (100, 101, 101, 0.0, checkpoints.Due.EXPIRED),
    ],
)
def test_checkpoint_is_written_when_due(covers, oldest, applied, age, due):
    current = state.State(offset=applied, checkpoint_offset=covers)
    assert checkpoints.find_due(current, oldest, age * 60.0, 60.0) is due


# Guards against a fleet that cannot start over, against tickets and tokens
# that go backwards then, and against discarding a state that the log still
# has. Rows: oldest record that the log has kept.
@pytest.mark.parametrize('kept', [0, 2, 3])
async def test_start_over(kept, monkeypatch):
    monkeypatch.setattr(journal, 'RETRY_S', 0.01)
    client = logs.FakeLog()
    for number in (1, 2, 3):
        await client.append(encode(logs.make_ticket(number)))
    client.records.drop_before(kept)
    log = ticketlog.TicketLog(client)
    if kept == 0:
        with pytest.raises(errors.UsageError):
            await recovery.start_over(log, 3, 5e9)
        return
    assert await recovery.start_over(log, 3, 5e9) == 3
    for number in (3, 4):
        await client.append(encode(logs.make_ticket(number)))
    task = journal.Journal(client, ())
    async with fakes.run_actors(task), asyncio.TaskGroup() as tasks:
        following = tasks.create_task(task.follow())
        await fakes.wait_until(lambda: task._state.offset == 6)
        following.cancel()
    found = task._state
    assert (found.last_ticket, found.members) == (4, {})
    entry = records.SlotEntry(0, 0, (7,))
    for record in (
        fleets.make_join_record(7, 'a', read_offset=found.offset),
        records.SlotsArranged(state.SHARES_SERVICE, (entry,)),
    ):
        found = fold.apply_record(found, found.offset, record)
    assert found.tables[state.SHARES_SERVICE].orders[0].epoch == 5e9


def test_restart_from_checkpoint_equals_whole_log():
    # Guards against a checkpoint without data that a new node needs.
    fleet = fleets.build_fleet(16, 6, planned=True)
    fleet.append(records.MembersEnded((2,)))
    fleet.append(records.CheckpointPart(9, 3, 0, 2, b''))
    covers = len(fleet.log)
    restored = recordcodec.decode_state(recordcodec.encode_state(fleet.state))
    assert restored == fleet.state
    fleet.join(8, 'a')
    fleet.plan_until_stable()
    fleet.append(records.CheckpointPart(9, 3, 1, 2, b''))
    for offset in range(covers, len(fleet.log)):
        restored = fold.apply_record(restored, offset, fleet.log[offset])
    assert restored == fleet.state
    assert restored.checkpoint_offset == 3
