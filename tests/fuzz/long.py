"""Command that fuzzes for longer than the test suite does."""

from __future__ import annotations

import click
import hypothesis
import hypothesis.stateful

from tests.fuzz import machine


@click.command()
@click.option('--examples', default=10_000, help='Runs of the state machine.')
@click.option('--steps', default=40, help='Steps in each run.')
@click.option('--seed', default=1, help='Seed of the random choices.')
def main(examples: int, steps: int, seed: int) -> None:
    """Run the state machine with the given number of examples."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.seed(seed)(machine.Machine)
    hypothesis.stateful.run_state_machine_as_test(
        machine.Machine, settings=settings
    )


if __name__ == '__main__':
    main()
