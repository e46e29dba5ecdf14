"""Profiles the node that owns a key under the load of bench.path."""

import argparse
import asyncio

from bench import fixture
from bench import path
from demo import fleet


class ProfiledFleet(fleet.Fleet):
    """A fleet whose first node runs under the profiler."""

    def start(self, key: str, module: str, **flags) -> None:
        """Start a module; the first node's is replaced by bench.profiled."""
        if key == f'node:{self.instances[0].name}':
            module = 'bench.profiled'
        super().start(key, module, **flags)


def main() -> None:
    """Run the load and print the profile."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    with fixture.run_fleet(4, fleet_class=ProfiledFleet) as running:
        owner = running.instances[0]
        keys = fixture.find_keys(running, owner)
        asyncio.run(
            path.send_load(owner.caller_port, '/catalogue/stock', keys)
        )
        # The node's log holds the profile and is removed with the fleet.
        node = running.processes[f'node:{owner.name}']
        node.terminate()
        node.wait(fleet.STOP_TIMEOUT_S)
        print((running.logs / f'node-{owner.name}.log').read_text())


if __name__ == '__main__':
    main()
