"""Decides the wait times of long polls to the log, and retry delays."""

import math

# Longest wait of one read.
LONGEST_WAIT_S = 5.0
# Peers exchange their positions in the log, so the reads of all nodes together
# keep each copy current. In a large fleet this many reads end each second, and
# the others wait for the longest time. With few nodes, exponentially
# distributed waits would leave long gaps, so the waits in a small fleet are
# uniformly distributed.
READS_PER_SECOND = 4.0
SMALL_FLEET = 18
# Shortest wait in a small fleet, as a fraction of the longest.
MIN_WAIT_FRACTION = 0.2
# Time between the ends of two reads where a known set of nodes reads for all.
# Copies of the others get older by up to 1.5 s more until they hear of it.
READER_INTERVAL_S = 0.5
# Random part by which the waits of such nodes differ, so that reads that have
# come to end together move apart again.
JITTER = 0.1
# With fewer peers, their reads cannot keep a copy current.
PEERS_NEEDED = 3
WAIT_ALONE_S = 1.5
# Age of a copy at which a read without a wait is started: neither this node's
# read nor a peer has confirmed for this long that the copy is current. Caller
# keys are trusted for 4.5 s, and a read may take a second.
RENEW_S = 2.5
# Delays between calls while the log does not answer.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
# Such delays of nodes that get the topic from peers otherwise. They learn from
# these when the log answers again.
FIRST_OTHER_PAUSE_S = 1.0
LONGEST_OTHER_PAUSE_S = 3.0


def choose_wait(peers: int, doubtful: bool, draw) -> float:
    """Return the seconds that the next read waits for a record.

    ``peers`` is the number of peers with recent contact. ``doubtful`` is
    true if contact with the log or the age of the copy is in doubt.
    ``draw`` returns a random number below 1. A change ends the reads of all
    nodes at once, so the waits are random; otherwise all copies would age
    at the same time.
    """
    if doubtful:
        return 0.0
    if peers < PEERS_NEEDED:
        return WAIT_ALONE_S
    if peers < SMALL_FLEET:
        return LONGEST_WAIT_S * (
            MIN_WAIT_FRACTION + (1 - MIN_WAIT_FRACTION) * draw()
        )
    mean_s = (peers + 1) / READS_PER_SECOND
    return min(LONGEST_WAIT_S, -mean_s * math.log(1.0 - draw()))


def choose_reader_wait(count: int, rank: int, has_grown: bool, draw) -> float:
    """Return the seconds that one of ``count`` readers waits for a record.

    ``rank`` is its place among them. A record ends the reads of all of them;
    after it (``has_grown``) the waits are staggered by rank, and then they
    are equal, so that the reads go on ending one after the other.
    """
    period_s = max(
        WAIT_ALONE_S, min(LONGEST_WAIT_S, count * READER_INTERVAL_S)
    )
    if has_grown:
        period_s *= (rank + 1) / count
    return period_s * (1 - JITTER + 2 * JITTER * draw())


def find_next_pause(pause_s: float, is_reader: bool = True) -> float:
    """Return the delay after one more failure (exponential backoff)."""
    if is_reader:
        return min(LONGEST_PAUSE_S, 2 * pause_s)
    return min(LONGEST_OTHER_PAUSE_S, max(FIRST_OTHER_PAUSE_S, 2 * pause_s))
