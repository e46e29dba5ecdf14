"""Runs a node under cProfile and prints the most expensive functions."""

import cProfile
import pstats
import sys

from sesamejunction.ui import invocation
from sesamejunction.ui import node

PROFILE_ROWS = 45


def start(**flags) -> None:
    """Run the node until it is stopped, then print the profile."""
    profile = cProfile.Profile()
    profile.enable()
    try:
        node.start(**flags)
    finally:
        profile.disable()
        stats = pstats.Stats(profile, stream=sys.stdout)
        stats.sort_stats('tottime').print_stats(PROFILE_ROWS)
        sys.stdout.flush()


if __name__ == '__main__':
    invocation.run_command(start)
