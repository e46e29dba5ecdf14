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


def find_next_pause(pause_s: float) -> float:
    """Return the delay after one more failure (exponential backoff)."""
    return min(LONGEST_PAUSE_S, 2 * pause_s)
