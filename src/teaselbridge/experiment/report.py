"""Reports of experiments: lines, JSON and a plot."""

from __future__ import annotations

import pathlib
import typing

import msgspec

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.experiment import run


def lines(outcomes: collections.abc.Sequence[run.Outcome]) -> list[str]:
    """Describe outcomes beside each other."""
    found = [
        'scenario       policy/planner               whole  late refused '
        'goodput  first p95  between p95  recomputed   cost/1000'
    ]
    for one in outcomes:
        way = f'{one.policy}/{one.planner}'
        found.append(
            f'{one.scenario:<14} {way:<28} {one.total.whole:>5} '
            f'{one.total.late:>5} {one.total.refused:>7} '
            f'{one.goodput:>7.1f} {one.first.p95:>7.0f} ms '
            f'{one.between.p95:>9.1f} ms {one.recomputed_tokens:>11} '
            f'{one.cost_per_1000:>11.4f}'
        )
        if one.claims:
            found.append(
                f'               {one.claims} claims and their outcomes in '
                f'{one.bucket_writes} writes, {one.doubled} doubled; '
                f'{one.resumed} resumed'
            )
        if one.move is not None:
            found.append(
                f'               {one.move.end} after {one.move.end_s:.1f} s,'
                f' verdict after {one.move.verdict_s:.1f} s, '
                f'{one.move.tries} tries, {one.move.share:.2%} of attempts'
            )
    return found


def write(outcomes: collections.abc.Sequence[run.Outcome], path: str) -> None:
    """Write outcomes as JSON."""
    text = msgspec.json.format(msgspec.json.encode(list(outcomes)), indent=2)
    pathlib.Path(path).write_bytes(text)


def draw(outcomes: collections.abc.Sequence[run.Outcome], path: str) -> None:
    """Draw goodput by second, and the four measures, into a PNG file."""
    import matplotlib.figure

    figure = matplotlib.figure.Figure((10.0, 7.0), layout='constrained')
    upper, lower = figure.subplots(2, 1)
    names = [_name(one) for one in outcomes]
    for name, one in zip(names, outcomes, strict=True):
        upper.plot([second.whole for second in one.timeline], label=name)
    upper.set_xlabel('sent at second')
    upper.set_ylabel('whole answers in time')
    upper.legend(fontsize='small')
    places = range(len(names))
    lower.bar(places, [one.recomputed_tokens for one in outcomes], 0.4)
    lower.set_ylabel('recomputed tokens')
    beside = lower.twinx()
    beside.plot(
        places, [one.cost_per_1000 for one in outcomes], 'o', color='black'
    )
    beside.set_ylabel('cost of 1000 whole answers')
    lower.set_xticks(places, names, rotation=15, fontsize='small')
    figure.savefig(path)


def _name(one: run.Outcome) -> str:
    return f'{one.scenario} {one.policy} {one.planner}'
