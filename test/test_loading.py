"""Loading of the libraries in the process of a hosted node."""

import json
import os
import subprocess
import sys

import pytest

LOADING_CODE = """
import gc, json, os, sys
read = []
sys.addaudithook(
    lambda event, arguments: read.append(arguments[0])
    if event == 'open' and str(arguments[0]).endswith('entry_points.txt')
    else None
)
before = sum(one['collections'] for one in gc.get_stats())
from sesamejunction.ui import loading
inside = os.environ.get('SSL_CERT_FILE')
from sesamejunction.ui import hosted
after = sum(one['collections'] for one in gc.get_stats())
print(json.dumps({
    'collections': after - before,
    'enabled': gc.isenabled(),
    'frozen': gc.get_freeze_count() > 0,
    'inside': inside,
    'variable': os.environ.get('SSL_CERT_FILE'),
    'plugins': os.environ.get('PYDANTIC_DISABLE_PLUGINS'),
    'read': read,
}))
"""


@pytest.mark.parametrize('variable', [None, 'given.pem'])
def test_loading_collects_nothing_and_leaves_the_usual_settings(variable):
    # Guards against a start that spends 0.17 s on garbage collection and
    # certificates, and against a node that runs without garbage collection.
    environment = dict(os.environ)
    environment.pop('SSL_CERT_FILE', None)
    environment.pop('PYDANTIC_DISABLE_PLUGINS', None)
    if variable is not None:
        environment['SSL_CERT_FILE'] = variable
    found = json.loads(
        subprocess.check_output(
            [sys.executable, '-c', LOADING_CODE], env=environment
        )
    )
    # Enabling the collector may run one collection of newer objects.
    assert found.pop('collections') <= 1
    assert found == {
        'enabled': True,
        'frozen': True,
        'inside': os.devnull,
        'variable': variable,
        'plugins': None,
        # Metadata of other packages.
        'read': [],
    }
