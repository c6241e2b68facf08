"""Reports of experiments: text, JSON and a plot."""

from __future__ import annotations

import pathlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.experiment import run


def format_table(outcomes: collections.abc.Sequence[run.Outcome]) -> list[str]:
    """Format outcomes as the lines of a table."""
    rows = [
        'scenario       policy/planner               whole  late refused '
        'goodput  first p95  between p95  recomputed   cost/1000'
    ]
    for outcome in outcomes:
        combination = f'{outcome.policy}/{outcome.planner}'
        rows.append(
            f'{outcome.scenario:<14} {combination:<28} '
            f'{outcome.total.whole:>5} {outcome.total.late:>5} '
            f'{outcome.total.refused:>7} '
            f'{outcome.goodput:>7.1f} {outcome.first.p95:>7.0f} ms '
            f'{outcome.between.p95:>9.1f} ms {outcome.recomputed_tokens:>11} '
            f'{outcome.cost_per_1000:>11.4f}'
        )
        if outcome.claims:
            rows.append(
                f'               {outcome.claims} claims '
                f'and their outcomes in '
                f'{outcome.bucket_writes} writes, {outcome.doubled} doubled; '
                f'{outcome.resumed} resumed'
            )
        if outcome.move is not None:
            rows.append(
                f'               {outcome.move.end} '
                f'after {outcome.move.end_s:.1f} s,'
                f' verdict after {outcome.move.verdict_s:.1f} s, '
                f'{outcome.move.tries} tries, '
                f'{outcome.move.share:.2%} of attempts'
            )
    return rows


def write_json(outcomes: collections.abc.Sequence[object], path: str) -> None:
    """Write outcomes as JSON to a file."""
    text = msgspec.json.format(msgspec.json.encode(list(outcomes)), indent=2)
    pathlib.Path(path).write_bytes(text)


def write_plot(
    outcomes: collections.abc.Sequence[run.Outcome], path: str
) -> None:
    """Plot goodput, recomputed tokens and cost to a PNG file."""
    import matplotlib.figure

    figure = matplotlib.figure.Figure((10.0, 7.0), layout='constrained')
    goodput_axis, token_axis = figure.subplots(2, 1)
    labels = [_get_label(outcome) for outcome in outcomes]
    for name, outcome in zip(labels, outcomes, strict=True):
        goodput_axis.plot(
            [second.whole for second in outcome.timeline], label=name
        )
    goodput_axis.set_xlabel('sent at second')
    goodput_axis.set_ylabel('whole answers in time')
    goodput_axis.legend(fontsize='small')
    positions = range(len(labels))
    token_axis.bar(
        positions, [outcome.recomputed_tokens for outcome in outcomes], 0.4
    )
    token_axis.set_ylabel('recomputed tokens')
    cost_axis = token_axis.twinx()
    cost_axis.plot(
        positions,
        [outcome.cost_per_1000 for outcome in outcomes],
        'o',
        color='black',
    )
    cost_axis.set_ylabel('cost of 1000 whole answers')
    token_axis.set_xticks(positions, labels, rotation=15, fontsize='small')
    figure.savefig(path)


def _get_label(outcome: run.Outcome) -> str:
    return f'{outcome.scenario} {outcome.policy} {outcome.planner}'
