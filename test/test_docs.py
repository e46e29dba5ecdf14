"""The documentation covers all settings, refusals, metrics and commands."""

import pathlib
import re

import pytest

from sesamejunction.border import metrics
from sesamejunction.border import replies
from sesamejunction.border import settings
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.ui import ctl

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def read_rows(page, heading=None):
    """Return the table rows of a page, below a heading, by first cell."""
    text = (DOCS / page).read_text()
    if heading is not None:
        text = text.partition(f'## {heading}\n')[2].partition('\n## ')[0]
    rows = [
        [cell.strip().strip('`') for cell in line.strip('| ').split('|')]
        for line in text.splitlines()
        if line.startswith('|')
    ]
    return {row[0]: row for row in rows}


SETTINGS = [
    (program, name)
    for program, model in settings.SETTINGS.items()
    for name in model.model_fields
]


@pytest.mark.parametrize(('program', 'name'), SETTINGS)
def test_settings_are_documented(program, name):
    # Guards against an undocumented setting or default.
    model = settings.SETTINGS[program]
    field = model.model_fields[name]
    rows = {
        row[1]: row
        for row in read_rows('configuration.md', program).values()
        if len(row) > 1
    }
    row = rows[f'{settings.ENV_PREFIX}{name.upper()}']
    flag = '--' + name.replace('_', '-')
    assert row[0] == (flag if name in settings.list_flags(model) else 'none')
    assert (row[2] == 'required') == field.is_required()
    if isinstance(field.default, int | float):
        assert float(row[2].split()[0]) == field.default


def test_no_other_settings_are_documented():
    named = re.findall(
        rf'{settings.ENV_PREFIX}(\w+)', (DOCS / 'configuration.md').read_text()
    )
    assert set(named) == {name.upper() for _, name in SETTINGS}


def test_fleet_settings_are_documented():
    rows = read_rows('configuration.md', 'Fleet settings')
    assert set(state.FleetSettings.__slots__) <= set(rows)


@pytest.mark.parametrize('code', requests.Code)
def test_refusals_are_documented(code):
    # Guards against an undocumented code in answers to callers.
    row = read_rows('refusals.md')[code.value]
    status = replies.STATUSES.get(code, replies.DEFAULT_STATUS)
    assert row[1] == str(status)
    assert row[2] in {one.value for one in requests.Outcome}
    assert len(row) == 4 and row[3]


def test_metrics_are_documented():
    text = metrics.Metrics().render().data.decode()
    names = set(re.findall(r'^# TYPE (\w+)', text, flags=re.MULTILINE))
    assert names and names <= set(read_rows('operators/watch.md'))


def test_commands_on_the_pages_exist():
    # Guards against documentation of a command that does not exist.
    pages = [*DOCS.rglob('*.md'), DOCS.parent / 'README.md']
    for page in pages:
        for name in re.findall(
            r'sesamejunction-ctl ([a-z][a-z-]*)', page.read_text()
        ):
            assert name in ctl.COMMANDS, f'{page.name}: {name}'
