"""Reduces the cost of importing libraries; must be imported before them.

The imports took 0.92 s of processor time, more than an idle node uses in
40 s. Of that, 0.06 s went to garbage collection, although imports create no
garbage, 0.1 s to the certificates that aiohttp reads although no connection of
a node uses TLS, and 0.01 s to the search for plugins of pydantic, which reads
the metadata of all packages.
"""

import gc
import os

# Variables with their values while libraries load. The first two tell the TLS
# contexts of aiohttp where certificates are.
VARIABLES = {
    'SSL_CERT_FILE': os.devnull,
    'SSL_CERT_DIR': os.devnull,
    'PYDANTIC_DISABLE_PLUGINS': '1',
}

_previous = {variable: os.environ.get(variable) for variable in VARIABLES}
gc.disable()
os.environ.update(VARIABLES)


def restore_settings() -> None:
    """Restore the variables and garbage collection.

    Objects that exist by now are exempt from collection.
    """
    for name, value in _previous.items():
        if value is None:
            os.environ.pop(name, None)
        else:
            os.environ[name] = value
    gc.freeze()
    gc.enable()
