"""Formats the measures of a replay as text."""

from sesamejunction.model import replaying

MAX_SHOWN_OUTAGES = 5
VERDICT_TEXTS = {True: 'met', False: 'NOT MET', None: 'NOT MEASURED'}


def format_progress(progress: replaying.Progress) -> str:
    """Return the progress of a replay as one line."""
    return (
        f'{progress.elapsed_s:5.1f} s of {progress.length_s:.1f} s: '
        f'{progress.sent} sent, {progress.running} running, '
        f'{progress.answered} answered, {progress.refused} refused, '
        f'{progress.failed} failed'
    )


def format_measures(measures: replaying.Measures) -> list[str]:
    """Return the measures as tables."""
    return [
        *_format_latencies(measures),
        *_format_imbalances(measures),
        *_format_organisations(measures),
        *_format_summary(measures),
        *_format_verdicts(measures),
    ]


def format_table(heading, rows) -> list[str]:
    """Return aligned lines; all columns but the first are right-aligned."""
    cells = [
        heading,
        *[[str(cell_value) for cell_value in row] for row in rows],
    ]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return [
        '  '.join(
            cell.rjust(width) if index else cell.ljust(width)
            for index, (cell, width) in enumerate(zip(row, widths))
        ).rstrip()
        for row in cells
    ]


def _format_latencies(measures) -> list[str]:
    heading = ['latency', 'calls', 'answered', 'p50 ms', 'p99 ms', 'p99.9 ms']
    rows = [
        (
            latency.service,
            latency.calls,
            latency.answered,
            f'{latency.p50_ms:.2f}',
            f'{latency.p99_ms:.2f}',
            f'{latency.p999_ms:.2f}',
        )
        for latency in measures.latencies
    ]
    return [*format_table(heading, rows), '']


def _format_imbalances(measures) -> list[str]:
    heading = ['imbalance', 'targets', 'mean', 'most', 'most / mean']
    rows = [
        (
            imbalance.service,
            imbalance.targets,
            f'{imbalance.mean:.1f}',
            imbalance.most,
            f'{imbalance.ratio:.2f}',
        )
        for imbalance in measures.imbalances
    ]
    return [*format_table(heading, rows), '']


def _format_organisations(measures) -> list[str]:
    heading = ['organisation', 'calls', 'within rate', 'in time', 'share']
    heading.append('refused within rate')
    rows = [
        (
            quality.organisation,
            quality.calls,
            quality.within_rate,
            quality.in_time,
            f'{quality.share:.2%}',
            quality.refused_within,
        )
        for quality in measures.organisations
    ]
    return [*format_table(heading, rows), '']


def _format_summary(measures) -> list[str]:
    worst = measures.worst_served
    twice, crossed = measures.orders_run_twice, measures.answers_crossed
    outages = measures.outages
    rows = [
        (
            f'{outcome_count.fate.value} {outcome_count.code}'.strip(),
            outcome_count.calls,
        )
        for outcome_count in measures.fates
    ]
    rows += [
        ('p99 delay of sending', f'{measures.send_lag_p99_ms:.2f} ms'),
        ('owner changes seen', measures.owner_changes),
        ('keys with an owner change', measures.keys_with_owner_change),
        ('keys unavailable for a time', len(outages)),
        ('refused within rate', measures.refused_within_rate),
        ('orders run twice', 'not measured' if twice is None else twice),
        ('answers lost or cut', measures.answers_lost_or_cut),
        ('answers crossed', 'not measured' if crossed is None else crossed),
        (
            'worst-served organisation',
            f'{worst.organisation} {worst.share:.2%}' if worst else 'none',
        ),
    ]
    rows += [
        (
            f'unavailable: {outage.service} {outage.key}',
            f'longest {outage.longest_s:.3f} s, total {outage.total_s:.3f} s',
        )
        for outage in outages[:MAX_SHOWN_OUTAGES]
    ]
    return [*format_table(['measure', 'value'], rows), '']


def _format_verdicts(measures) -> list[str]:
    rows = [
        (
            verdict.outcome,
            verdict.wanted,
            verdict.measured,
            VERDICT_TEXTS[verdict.met]
            + ('' if verdict.binding else ' (reported only)'),
        )
        for verdict in measures.verdicts
    ]
    if not rows:
        return ['no outcomes are stated']
    return format_table(['outcome', 'wanted', 'measured', 'verdict'], rows)
