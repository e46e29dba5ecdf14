"""Command line and declarations: errors take one line and change nothing.

Guards against values that fire parses as Python literals, tracebacks instead
of one-line errors, and commands that run in spite of a usage error.
"""

import hashlib
import io
import pathlib

import pytest

from sesamejunction.border import declarationedit
from sesamejunction.border import declarations
from sesamejunction.border import settings
from sesamejunction import errors
from sesamejunction.model import state
from sesamejunction.ui import ctl
from sesamejunction.ui import invocation

DEMO = pathlib.Path(__file__).parent.parent / 'demo' / 'declarations'
NODE_FLAGS = {
    'name': 'catalogue-0',
    'zone': 'recife-a',
    'host': '127.0.0.1',
    'caller_port': '9001',
    'peer_port': '9002',
    'operator_port': '9003',
    'log_url': 'http://127.0.0.1:1',
    'fleet_secret': 'a-secret-of-16-bytes',
    'operator_key_sha256': '0' * 64,
}


def run(capsys, component, *arguments):
    with pytest.raises(SystemExit) as stopped:
        invocation.run_command(component, list(arguments))
    printed = capsys.readouterr()
    assert len(printed.err.splitlines()) == 1, printed.err
    return stopped.value.code, printed.err


VALUES = ['1.10', '1e3', 'None', '[]', '{}', "it's", '"x"', 'a b', '0x10']
VALUES += ['', ' ', '-5', '=', 'a=b', '$(x)', '\\n', 'True', '1_000', '#', 'é']
# These look like flags, so they can only be passed with "=".
HYPHENS = ['--', '-', '-x', '--number']


@pytest.mark.parametrize(
    ('form', 'value'),
    [(form, one) for form in ('equals', 'next', 'place') for one in VALUES]
    + [('equals', one) for one in HYPHENS],
)
def test_values_arrive_as_typed(form, value):
    seen = []

    def command(target, number=None):
        seen.append((target, number))

    forms = {
        'equals': (['x', f'--number={value}'], ('x', value)),
        'next': (['x', '--number', value], ('x', value)),
        'place': ([value], (value, None)),
    }
    arguments, expected = forms[form]
    invocation.run_command({'go': command}, ['go', *arguments])
    assert seen == [expected]


@pytest.mark.parametrize(
    ('arguments', 'code', 'part'),
    [
        ([], 2, 'name a command'),
        (['aply'], 2, 'unknown command aply'),
        (['apply'], 2, 'DIRECTORY is missing'),
        (['start-over'], 2, 'LAST_TICKET is missing'),
        (['start-over', '1e3'], 2, '--last-ticket 1e3: not a ticket'),
        (['apply', 'd', 'e', 'f'], 2, "spare argument 'f'"),
        (['apply', 'd', '--bogus', '3'], 2, 'unknown flag --bogus'),
        (['apply', 'd', '-n', '3'], 2, 'unknown flag -n'),
        (['apply', 'd', '--', '3'], 2, 'unknown flag --'),
        (['apply', 'd', '--number'], 2, '--number needs a value'),
        (['apply', 'd', '--number', '--author=x'], 2, 'needs a value'),
        (['apply', 'd', '--number=1', '--number=2'], 2, 'given twice'),
        (['apply', 'd', '--number=1.0'], 2, 'not a ticket number'),
        (['apply', 'd', '--number=1e3'], 2, 'not a ticket number'),
        (['apply', 'd', '--number=0'], 2, 'not a ticket number'),
        (['apply', 'd', '--number=None'], 2, 'not a ticket number'),
        (['apply', 'no-such-directory'], 2, 'not a directory'),
        (['apply', 'd', '--operator-key=x'], 2, 'unknown flag'),
        (['status', '--log-url=nowhere'], 2, 'SESAMEJUNCTION_LOG_URL'),
        (['status', '--follow-limit-s=soon'], 2, '--follow-limit-s'),
        (['status', '--follow-limit-s=-1'], 2, '--follow-limit-s'),
        (['status', '--operator-key-file=/none'], 2, '--operator-key-file'),
        (['status'], 2, 'no operator key'),
        (['validate', str(DEMO)], 2, 'organisations.yaml is missing'),
    ],
)
def test_ctl_mistakes(capsys, monkeypatch, arguments, code, part):
    monkeypatch.setenv('SESAMEJUNCTION_LOG_URL', 'http://127.0.0.1:1')
    monkeypatch.delenv('SESAMEJUNCTION_OPERATOR_KEY', raising=False)
    found, line = run(capsys, ctl.COMMANDS, *arguments)
    assert (found, part in line) == (code, True), line


@pytest.mark.parametrize(
    ('variable', 'value', 'part'),
    [
        ('LOG_URL', '', '--log-url (SESAMEJUNCTION_LOG_URL)'),
        ('LOG_URL', 'file:///x', 'SESAMEJUNCTION_LOG_URL'),
        ('FOLLOW_CONCURRENCY', '1.5', 'SESAMEJUNCTION_FOLLOW_CONCURRENCY'),
        ('FOLLOW_CONCURRENCY', '[]', 'SESAMEJUNCTION_FOLLOW_CONCURRENCY'),
        ('DECLARATIONS', '/no/such', 'SESAMEJUNCTION_DECLARATIONS'),
        ('OPERATOR_KEY', '', 'SESAMEJUNCTION_OPERATOR_KEY'),
    ],
)
def test_bad_environment(capsys, monkeypatch, variable, value, part):
    monkeypatch.setenv('SESAMEJUNCTION_LOG_URL', 'http://127.0.0.1:1')
    monkeypatch.setenv('SESAMEJUNCTION_OPERATOR_KEY', 'secret-value')
    monkeypatch.setenv(f'SESAMEJUNCTION_{variable}', value)
    code, line = run(capsys, ctl.COMMANDS, 'status')
    assert (code, part in line, 'secret-value' in line) == (2, True, False)


@pytest.mark.parametrize(
    ('flag', 'value'),
    [
        ('name', 'a b'),
        ('host', 'localhost'),
        ('caller_port', '0'),
        ('caller_port', '9001.5'),
        ('caller_port', '1e3'),
        ('fleet_secret', 'short'),
        ('operator_key_sha256', 'ABC'),
        ('stop_limit_s', 'nan'),
        ('nonsense', '1'),
    ],
)
def test_node_settings(flag, value):
    with pytest.raises(errors.SettingsError) as caught:
        settings.read_settings(
            settings.NodeSettings, {**NODE_FLAGS, flag: value}
        )
    assert '--' + flag.replace('_', '-') in str(caught.value)
    assert 'short' not in str(caught.value) or flag != 'fleet_secret'


PORT_IN_USE = OSError(98, 'Address already in use')


@pytest.mark.parametrize(
    ('error', 'code', 'part'),
    [
        (PORT_IN_USE, 1, 'ports of the settings'),
        (ExceptionGroup('g', [PORT_IN_USE]), 1, 'Address already in use'),
        (
            ExceptionGroup('g', [ValueError('x'), errors.UsageError('y; z')]),
            2,
            'y; z',
        ),
        (ExceptionGroup('g', [KeyError('slot')]), 1, "KeyError: 'slot'"),
        (errors.LogUnavailable('log; check it'), 1, 'log; check it'),
        (errors.TicketNotConfirmed('two\nlines'), 1, 'two lines'),
        (TimeoutError(), 1, 'TimeoutError'),
        (KeyboardInterrupt(), 130, 'stopped'),
    ],
)
def test_failures_are_one_line(capsys, error, code, part):
    def command():
        raise error

    found, line = run(capsys, command)
    assert (found, part in line) == (code, True), line


@pytest.mark.parametrize('name', [None, *ctl.COMMANDS])
def test_help(capsys, name):
    invocation.run_command(ctl.COMMANDS, [*([name] if name else []), '--help'])
    printed = capsys.readouterr().out
    assert '--log-url' in printed or name in (
        None,
        'validate',
        'hash-key',
        'explain',
    )
    assert 'SYNOPSIS' in printed


@pytest.mark.parametrize(
    ('typed', 'expected'),
    [('demo-key-x\n', 'demo-key-x'), ('a b\r\n', 'a b')]
    + [('', None), (' x\n', None), ('é\n', None)],
)
def test_hash_key(capsys, monkeypatch, typed, expected):
    monkeypatch.setattr('sys.stdin', io.StringIO(typed))
    if expected is None:
        assert run(capsys, ctl.COMMANDS, 'hash-key')[0] == 2
        return
    invocation.run_command(ctl.COMMANDS, ['hash-key'])
    digest = hashlib.sha256(expected.encode()).hexdigest()
    assert capsys.readouterr().out == digest + '\n'


ORGANISATION = 'organisations:\n  - name: a\n    rate: 5\n    burst: 2\n'
KEY = f'    caller_keys:\n      - name: k\n        sha256: {"a" * 64}\n'
SERVICE = 'services:\n  - name: s\n    routing: key\n'


def swap(old, new):
    """Return the organisation with one part replaced."""
    return ORGANISATION.replace(old, new)


def add(text):
    """Return the organisation with lines added."""
    return ORGANISATION + text


ORG = 'organisations'
PLAIN = '    caller_keys:\n      - {name: k, key: hunter2}\n'
NOPE = '        services: [nope]\n'
RATE = 'organisations[a].rate'
ROUTING = 'services[s].routing'
TWICE = ORGANISATION.partition('\n')[2]
# File, its text, and what the error message must contain.
BAD_FILES = {
    'unknown field': (ORG, add('    rat: 1\n'), '.rat'),
    'plain key': (ORG, add(PLAIN), 'caller_keys[k]'),
    'name is a number': (ORG, swap('name: a', 'name: 1.10'), 'quotes'),
    'rate of zero': (ORG, swap('rate: 5', 'rate: 0'), RATE),
    'rate not finite': (ORG, swap('rate: 5', 'rate: .inf'), RATE),
    'missing burst': (ORG, swap('    burst: 2\n', ''), 'add the field'),
    'organisation twice': (ORG, add(TWICE), 'declared twice'),
    'field twice': (ORG, add('    rate: 6\n'), 'line 5'),
    'broken YAML': (ORG, 'organisations: [', 'line 1'),
    'a list': (ORG, '- a\n', 'organisations.yaml: file'),
    'digest in capitals': (
        ORG,
        add(KEY.replace('a' * 64, 'A' * 64)),
        'sha256',
    ),
    'key for no service': (ORG, add(KEY + NOPE), 'no service nope'),
    'bad routing': ('services', SERVICE.replace('key', 'random'), ROUTING),
    'slots as text': ('services', SERVICE + '    slot_count: "64"\n', 'slot'),
    'bad standing': ('standing', 'zones:\n  a: off\n', 'zones.a'),
    'unknown section': ('standing', 'zones: {}\nracks: {}\n', 'racks'),
    'no node': ('fleet', 'max_nodes: 0\n', 'max_nodes'),
    'unknown file': ('keys', 'x: 1\n', 'rename it'),
}


def write_files(folder, **changed):
    texts = {'organisations': ORGANISATION + KEY, 'services': SERVICE}
    for name, text in {**texts, **changed}.items():
        (folder / f'{name}.yaml').write_text(text)
    return folder


@pytest.mark.parametrize('case', BAD_FILES)
def test_bad_declarations(capsys, tmp_path, case):
    name, text, part = BAD_FILES[case]
    write_files(tmp_path, **{name: text})
    code, line = run(capsys, ctl.COMMANDS, 'validate', str(tmp_path))
    assert code == 2 and f'{name}.yaml' in line and part in line, line
    assert ';' in line and 'hunter2' not in line


@pytest.mark.parametrize('name', ['colatec', 'sangham'])
def test_demo_declarations(name):
    # The demo derives caller keys from the names of the organisations.
    declared = declarations.read_declarations(str(DEMO / name))
    digests = {one.organisation: one.digest for one in declared.caller_keys}
    assert digests == {
        one.name: hashlib.sha256(f'demo-key-{one.name}'.encode()).hexdigest()
        for one in declared.organisations
    }
    assert (len(digests), len(declared.services)) == (8, 3)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('zones:\n  a: in # c\n  b: in\n', 'zones:\n  a: out # c\n  b: in\n'),
        ('zones:\n  b: in\n', 'zones:\n  a: out\n  b: in\n'),
        ('zones: {}\n', 'zones:\n  a: out\n'),
        ('zones: {b: in}\n', 'zones:\n  b: in\n  a: out\n'),
        ('zones:\ntargets: {}\n', 'zones:\n  a: out\ntargets: {}\n'),
        ('targets: {}\n', 'targets: {}\nzones:\n  a: out\n'),
    ],
)
def test_edit_keeps_comments_and_other_entries(text, expected):
    # Guards against an edit that drops comments or other entries.
    found = declarationedit.set_standing(
        text, 'zones', 'a', state.Standing.OUT
    )
    assert found == expected


def test_key_is_removed_from_file(tmp_path):
    # Guards against a withdrawn key that the next apply would restore.
    second = KEY.partition('\n')[2].replace('a' * 64, 'b' * 64)
    text = ORGANISATION + KEY + second.replace('name: k', 'name: l')
    folder = write_files(tmp_path, organisations=text + '# end\n')
    for digest, left in (('a' * 64, ['l']), ('b' * 64, [])):
        edit = declarationedit.plan_key_removal(folder, digest)
        declarationedit.write_edit(edit)
        declared = declarations.read_declarations(str(folder))
        assert [one.name for one in declared.key_names] == left
    assert (folder / 'organisations.yaml').read_text().endswith('# end\n')
