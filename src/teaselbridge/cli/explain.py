"""``teaselbridge explain``: show where a request would be sent, and why."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib

import click
import msgspec

from teaselbridge.cli import remote
from teaselbridge.decisions.spreading import explanation
from teaselbridge import errors


def command() -> click.Command:
    """Build the command."""

    @click.command('explain')
    @click.option('--route', default='', help='Name of the route.')
    @click.option('--workspace', default='', help='Name of the workspace.')
    @click.option('--id', 'request', default='', help='Id of the request.')
    @click.option(
        '--part',
        'parts',
        multiple=True,
        help='Part of the prompt as ID:TOKENS, in order.',
    )
    @click.option('--tokens', type=int, help='Tokens of the whole prompt.')
    @click.option('--deadline-ms', type=int, help='Time the caller has.')
    @click.option('--file', 'path', default='', help='Request as JSON.')
    @click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
    @remote.add_node_options
    def explain(
        route: str,
        workspace: str,
        request: str,
        parts: tuple[str, ...],
        tokens: int | None,
        deadline_ms: int | None,
        path: str,
        as_json: bool,
        address: str,
        key: str,
        ca: str,
    ) -> None:
        """Show where a request would be sent now, without sending it.

        Options replace the fields of the file.
        """
        question = _read_question(path)
        given = {
            'route': route or None,
            'workspace': workspace or None,
            'id': request or None,
            'parts': tuple(map(_parse_part, parts)) or None,
            'tokens': tokens,
            'deadline_ms': deadline_ms,
        }
        question = dataclasses.replace(
            question,
            **{
                name: value
                for name, value in given.items()
                if value is not None
            },  # type: ignore[arg-type]
        )
        if not question.route:
            raise errors.DocumentError(
                explanation.SOURCE, '$.route', 'expected the name of a route'
            )
        text = msgspec.json.encode(question).decode()
        answer = asyncio.run(
            remote.get(
                remote.Target(address, key, ca),
                '/v1/explain',
                explanation.Explanation,
                {'request': text},
            )
        )
        if as_json:
            click.echo(msgspec.json.encode(answer))
            return
        for line in format_answer(answer):
            click.echo(line)

    return explain


def format_answer(answer: explanation.Explanation) -> list[str]:
    """Format an explanation as lines of text."""
    lines = [f'node {answer.node}, pool {answer.pool}']
    if not answer.admitted:
        lines.append(
            f'refused: {answer.refusal}, {answer.detail}; '
            f'retry after {answer.retry_after_ms} ms'
        )
    elif answer.chosen:
        lines.append(f'admitted, sent to {answer.chosen}')
    elif answer.forwarded:
        lines.append('admitted, forwarded to another node')
    elif answer.ahead:
        lines.append(f'admitted, waits behind {answer.ahead} requests')
    else:
        lines.append('admitted, waits for a server')
    if answer.candidates:
        lines.append('')
        lines.append(
            'candidate           wait  reported   own others slots  cached'
            '      age'
        )
    lines += [
        f'{item.server:<16} {item.wait_ms:>5.0f} ms {item.reported_ms:>6.0f} '
        f'ms {item.inflight:>5} {item.others:>6} {item.slots:>5} '
        f'{item.cached_tokens:>7} {item.age_ms:>5.0f} ms'
        for item in answer.candidates
    ]
    if answer.excluded:
        lines += ['', 'excluded         reason']
    lines += [f'{item.server:<16} {item.reason}' for item in answer.excluded]
    return lines


def _read_question(path: str) -> explanation.Question:
    """Read a question from a file.

    :raises errors.DocumentError: the file is missing or malformed.
    """
    if not path:
        return explanation.Question(route='')
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.DocumentError(path, '$', str(error)) from error
    return explanation.parse_question(data)


def _parse_part(text: str) -> explanation.PartOfPrompt:
    """Parse a part of a prompt.

    :raises errors.DocumentError: it is not an id and a number of tokens.
    """
    name, _, tokens = text.rpartition(':')
    if not name or not tokens.isdecimal():
        raise errors.DocumentError(
            explanation.SOURCE,
            '$.parts',
            f'expected ID:TOKENS, got `{text}`',
        )
    return explanation.PartOfPrompt(id=name, tokens=int(tokens))
