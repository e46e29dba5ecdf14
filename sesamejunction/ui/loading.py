"""Lets a process load its libraries at less cost; imported before them.

The libraries took 0.92 s of processor time, more than an idle node spends in
40 s. Of that, 0.06 s were collections of garbage, of which loading makes
none, 0.1 s the certificates that aiohttp reads although no connection of a
node uses TLS.
"""

import gc
import os

# Where aiohttp's default TLS contexts look for certificates.
VARIABLES = ('SSL_CERT_FILE', 'SSL_CERT_DIR')

_before = {one: os.environ.get(one) for one in VARIABLES}
gc.disable()
for _one in VARIABLES:
    os.environ[_one] = os.devnull


def finish() -> None:
    """Return to the usual settings; what was loaded is not looked at again."""
    for name, value in _before.items():
        if value is None:
            os.environ.pop(name, None)
        else:
            os.environ[name] = value
    gc.freeze()
    gc.enable()
