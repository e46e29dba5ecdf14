"""Decides how long reads of the log wait, and the pauses after failures."""

import math

# Longest wait of one read.
LONGEST_WAIT_S = 5.0
# Peers exchange positions, so the reads of all nodes together keep each copy
# current. In a large fleet so many of them end each second, and the others
# wait for the longest time. Chance leaves long gaps between few such ends, so
# the nodes of a small fleet draw from an even spread.
ENDS_A_SECOND = 4.0
SMALL_FLEET = 18
SHORTEST_PART = 0.2
# Fewer peers cannot keep a copy current.
PEERS_NEEDED = 3
WAIT_ALONE_S = 1.5
# A copy that is older begins a new read that does not wait: neither this
# node's read nor any peer has said for so long that it is the newest. Callers'
# keys are trusted for 4.5 s, and a read may take a second.
RENEW_S = 2.5
# Pauses between calls while the log does not answer.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


def choose_wait(peers: int, doubtful: bool, draw) -> float:
    """Return the seconds that the next read waits for a record.

    ``peers`` were heard of lately; ``doubtful`` tells that the log or the age
    of the copy is in doubt; ``draw`` returns a random number below 1. A
    change ends the reads of all nodes at once, so each wait is drawn:
    otherwise all copies would age together.
    """
    if doubtful:
        return 0.0
    if peers < PEERS_NEEDED:
        return WAIT_ALONE_S
    if peers < SMALL_FLEET:
        return LONGEST_WAIT_S * (SHORTEST_PART + (1 - SHORTEST_PART) * draw())
    mean_s = (peers + 1) / ENDS_A_SECOND
    return min(LONGEST_WAIT_S, -mean_s * math.log(1.0 - draw()))


def find_next_pause(pause_s: float) -> float:
    """Return the pause after one more failure."""
    return min(LONGEST_PAUSE_S, 2 * pause_s)
