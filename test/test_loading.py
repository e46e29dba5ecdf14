"""What a hosted node's process does before it reads its settings."""

import json
import os
import subprocess
import sys

import pytest

CODE = """
import gc, json, os
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
}))
"""


@pytest.mark.parametrize('variable', [None, 'given.pem'])
def test_loading_collects_nothing_and_leaves_the_usual_settings(variable):
    # Guards against a start that spends 0.17 s on garbage and certificates,
    # and against a node that goes on without the collector.
    environment = dict(os.environ)
    environment.pop('SSL_CERT_FILE', None)
    if variable is not None:
        environment['SSL_CERT_FILE'] = variable
    found = json.loads(
        subprocess.check_output([sys.executable, '-c', CODE], env=environment)
    )
    # Turning the collector on runs one of what has come since.
    assert found.pop('collections') <= 1
    assert found == {
        'enabled': True,
        'frozen': True,
        'inside': os.devnull,
        'variable': variable,
    }
