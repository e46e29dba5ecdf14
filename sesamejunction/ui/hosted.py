"""Runs the node on the operators' platform."""

# Must come first: the modules imported below load the libraries.
from sesamejunction.ui import earlysignals  # isort: skip

if __name__ == '__main__':
    earlysignals.install()

from sesamejunction.ui import loading  # isort: skip

# Records when the start began.
from sesamejunction.ui import startup  # isort: skip  # noqa: F401

import os

import uvloop

from sesamejunction.border import hostedsettings
from sesamejunction.border import logs
from sesamejunction.ui import hostednode
from sesamejunction.ui import invocation

loading.restore_settings()


@invocation.add_settings_flags(hostedsettings.HostedSettings)
def start(**flags) -> None:
    """Run the hosted node; settings are flags, variables or a file."""
    node_settings = hostedsettings.read_hosted_settings(flags)
    logs.start_nonblocking_logging(node_settings.name)
    # libuv would otherwise use io_uring for files on newer kernels.
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(hostednode.run_node(node_settings))


def main() -> None:
    """Run the command line."""
    earlysignals.install()
    invocation.run_command(start)


if __name__ == '__main__':
    main()
