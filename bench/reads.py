"""Counts store calls of simulated nodes and measures the age of copies.

A copy is a node's copy of a topic of the store.
"""

import sys

import fire

from test import storemodel

NODES = (12, 78)
SEED = 5


def run(nodes=NODES, seed=SEED, phases=tuple(storemodel.PHASES)):
    """Print a row for each phase of each fleet."""
    print(
        f'{"nodes":>5} {"phase":<12} {"calls":>6} {"reads":>6} {"newest":>6} '
        f'{"append":>6} {"confl":>5} {"fail":>5} {"drop":>4} {"copies":>6} '
        f'{"max/s":>5} {"kB":>6} {"age99":>6} {"oldest":>6} '
        f'{"wait":>6} {"longest":>7}'
    )
    for nodes_run in nodes:
        for phase in storemodel.run_model(nodes_run, seed, phases):
            print_phase(nodes_run, phase)
            sys.stdout.flush()


def print_phase(nodes_run, phase):
    """Print the row of one phase; ages and waits are in seconds."""
    calls, ages, waits = phase.calls, phase.ages, phase.waits or [0.0]
    print(
        f'{nodes_run:>5} {phase.name:<12} {phase.total:>6} '
        f'{calls["/log-read"]:>6} '
        f'{calls["/log-newest"]:>6} {calls["/log-append"]:>6} '
        f'{calls["conflict"]:>5} {calls["refused"] + calls["lost"]:>5} '
        f'{calls["dropped"]:>4} {calls["copy from a peer"]:>6} '
        f'{phase.busiest:>5} {phase.bytes // 1000:>6} '
        f'{ages[len(ages) * 99 // 100]:>6.2f} {ages[-1]:>6.2f} '
        f'{sum(waits) / len(waits):>6.3f} {waits[-1]:>7.3f}'
    )


if __name__ == '__main__':
    fire.Fire(run)
