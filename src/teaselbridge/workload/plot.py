"""Plots of load reports as PNG files."""

from __future__ import annotations

import typing

import matplotlib
import matplotlib.figure

if typing.TYPE_CHECKING:
    from teaselbridge.workload import results

matplotlib.use('Agg')

SIZE_INCHES = (9.0, 6.0)


def plot_report(report: results.Report, path: str) -> None:
    """Plot outcomes per second and latency percentiles into a PNG file.

    :param report: report of the run.
    :param path: PNG file to write.
    """
    figure = matplotlib.figure.Figure(SIZE_INCHES, layout='constrained')
    upper, lower = figure.subplots(2, 1)
    _draw_outcomes(upper, report)
    _draw_percentiles(lower, report)
    figure.savefig(path)


def _draw_outcomes(axes: typing.Any, report: results.Report) -> None:
    positions = range(len(report.timeline))
    whole = [second.whole for second in report.timeline]
    late = [second.late for second in report.timeline]
    refused = [second.refused for second in report.timeline]
    axes.stackplot(
        positions, whole, late, refused, labels=('whole', 'late', 'refused')
    )
    axes.set_xlabel('sent at second')
    axes.set_ylabel('requests')
    axes.legend(loc='upper right')


def _draw_percentiles(axes: typing.Any, report: results.Report) -> None:
    groups = {
        'first token': report.first,
        'between tokens': report.between,
        'service answer': report.answer,
    }
    names = list(groups)
    summaries = list(groups.values())
    for offset, level in enumerate(('p50', 'p95', 'p99')):
        positions = [
            index + (offset - 1) * 0.25 for index in range(len(names))
        ]
        heights = [getattr(summary, level) for summary in summaries]
        axes.bar(positions, heights, width=0.25, label=level)
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel('ms')
    axes.set_yscale('log')
    axes.legend()
