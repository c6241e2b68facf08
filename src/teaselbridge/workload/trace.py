"""Seeded traces of the users' mixed work."""

from __future__ import annotations

import dataclasses
import enum
import random

WORDS = (
    'candle wax panel ink saint feast letter page river bell pallet '
    'incense caption hero market blend stock order draft scene'
).split()


class Work(enum.Enum):
    """Kinds of work."""

    REVIEW = 'review'
    REWRITE = 'rewrite'
    CAPTION = 'caption'
    ASSISTANT = 'assistant'
    ORDER = 'order'
    LOOKUP = 'lookup'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Shape of one kind of work.

    :param share: share of all arrivals.
    :param model: model name, empty for plain services.
    :param path: path, for plain services.
    :param key: bearer key of the caller.
    :param prompt_words: words of a prompt, apart from what it shares.
    :param shared_words: words that prompts of one document share.
    :param documents: documents that prompts are about.
    :param tokens: tokens to generate.
    :param deadline_ms: how long the caller waits.
    """

    work: Work
    share: float
    model: str = ''
    path: str = ''
    key: str = ''
    prompt_words: int = 20
    shared_words: int = 0
    documents: int = 1
    tokens: int = 0
    deadline_ms: int


MIX = (
    Kind(
        work=Work.REVIEW,
        share=0.08,
        model='story-review',
        key='example-key-bahari',
        prompt_words=40,
        shared_words=2_000,
        documents=12,
        tokens=160,
        deadline_ms=30_000,
    ),
    Kind(
        work=Work.REWRITE,
        share=0.22,
        model='story-rewrite',
        key='example-key-nyota',
        prompt_words=60,
        shared_words=400,
        documents=20,
        tokens=60,
        deadline_ms=15_000,
    ),
    Kind(
        work=Work.CAPTION,
        share=0.22,
        model='story-caption',
        key='example-key-bahari',
        prompt_words=20,
        shared_words=60,
        documents=3,
        tokens=16,
        deadline_ms=6_000,
    ),
    Kind(
        work=Work.ASSISTANT,
        share=0.18,
        model='kadidlo',
        key='example-key-sacristans',
        prompt_words=30,
        shared_words=300,
        documents=4,
        tokens=48,
        deadline_ms=15_000,
    ),
    Kind(
        work=Work.ORDER,
        share=0.15,
        path='/orders/candles',
        key='example-key-buyers',
        deadline_ms=8_000,
    ),
    Kind(
        work=Work.LOOKUP,
        share=0.15,
        path='/titles/',
        key='example-key-bookshops',
        deadline_ms=4_000,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request of a trace.

    :param at_ms: when it is sent, from the start of the trace.
    :param kind: shape of the work.
    :param text: prompt, or name of what is ordered or looked up.
    """

    at_ms: int
    kind: Kind
    text: str


def make(
    *, seed: int, rate: float, seconds: float, mix: tuple[Kind, ...] = MIX
) -> tuple[Arrival, ...]:
    """Make a trace with open-loop Poisson arrivals.

    :param seed: the same seed gives the same trace.
    :param rate: requests a second.
    :param seconds: length of the trace.
    """
    generator = random.Random(seed)
    weights = [kind.share for kind in mix]
    arrivals = []
    at = generator.expovariate(rate)
    while at < seconds:
        (kind,) = generator.choices(mix, weights)
        arrivals.append(
            Arrival(
                at_ms=round(at * 1_000),
                kind=kind,
                text=_text(kind, generator),
            )
        )
        at += generator.expovariate(rate)
    return tuple(arrivals)


def _text(kind: Kind, generator: random.Random) -> str:
    if not kind.tokens:
        return f'{generator.choice(WORDS)}-{generator.randrange(10_000)}'
    document = generator.randrange(kind.documents)
    shared = random.Random(f'{kind.work.value}/{document}')
    words = [shared.choice(WORDS) for _ in range(kind.shared_words)]
    words += [generator.choice(WORDS) for _ in range(kind.prompt_words)]
    return ' '.join(words)
