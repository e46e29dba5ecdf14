"""Signals that arrive while a process still loads its libraries."""

import subprocess
import sys

import pytest

# Runs a program's module; the signal comes while it imports a library.
PROGRAM = """
import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == '{library}':
            os.kill(os.getpid(), signal.{signal})
            from sesamejunction.ui import earlysignals
            print(earlysignals.hangup.take())
sys.meta_path.insert(0, Finder())
sys.argv = ['node']
runpy.run_module('sesamejunction.ui.{module}', run_name='__main__')
"""
# Columns: module, library, signal, the output and the exit status. A node
# without settings ends with 2.
CASES = {
    'stop of a hosted node': ('hosted', 'uvloop', 'SIGTERM', '', 0),
    'stop of a plain node': ('node', 'uvloop', 'SIGTERM', '', 0),
    'dump of a hosted node': ('hosted', 'uvloop', 'SIGUSR1', 'False', 2),
    'dump of a plain node': ('node', 'uvloop', 'SIGUSR1', 'False', 2),
    'changed settings': ('hosted', 'uvloop', 'SIGHUP', 'True', 2),
}


# Guards against a planned stop that looks like a failure: a SIGTERM in the
# first second of a process ended it with -15, a SIGHUP with -1.
@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
def test_signal_while_libraries_load(case):
    module, library, signal_name, output, status = case
    program = PROGRAM.format(
        module=module, library=library, signal=signal_name
    )
    ended = subprocess.run(
        [sys.executable, '-W', 'ignore', '-c', program],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (ended.stdout.strip(), ended.returncode) == (output, status)
