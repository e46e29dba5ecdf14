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
# Waits of such nodes that would be shorter than this part of the interval are
# a whole period longer.
MIN_INTERVAL_FRACTION = 0.5
# With fewer peers, their reads cannot keep a copy current.
PEERS_NEEDED = 3
WAIT_ALONE_S = 1.5
# Limits of the age of a copy at which a read without a wait is started, since
# neither this node's read nor a peer has confirmed for this long that the copy
# is current. Caller keys are trusted for 4.5 s, and a read may take a second;
# below the shortest one, calm copies would be read again and again.
LONGEST_RENEW_S = 2.5
SHORTEST_RENEW_S = 0.75
# The platform's default for the time within which a change is in force.
DEFAULT_APPLY_S = 2.0
# Part of that time for the read, and for decoding what it brings.
READ_MARGIN_S = 0.5
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


def choose_reader_wait(count: int, rank: int, since_growth_s: float) -> float:
    """Return the seconds that one of ``count`` readers waits for a record.

    ``rank`` is its place among them. A record ends the reads of all of them
    at once, so the times at which they end are counted from the latest record:
    the reads end one after the other, also after some have failed.
    """
    period_s = max(
        WAIT_ALONE_S, min(LONGEST_WAIT_S, count * READER_INTERVAL_S)
    )
    interval_s = period_s / count
    wait_s = ((rank + 1) * interval_s - since_growth_s) % period_s
    if wait_s < MIN_INTERVAL_FRACTION * interval_s:
        wait_s += period_s
    return wait_s


def compute_renewal_age(apply_s: float) -> float:
    """Return the age of a copy at which it is read again.

    ``apply_s`` is the time within which changes have to be in force.
    """
    return max(SHORTEST_RENEW_S, min(LONGEST_RENEW_S, apply_s - READ_MARGIN_S))


def find_next_pause(pause_s: float, is_reader: bool = True) -> float:
    """Return the delay after one more failure (exponential backoff)."""
    if is_reader:
        return min(LONGEST_PAUSE_S, 2 * pause_s)
    return min(LONGEST_OTHER_PAUSE_S, max(FIRST_OTHER_PAUSE_S, 2 * pause_s))
