"""Seeded traces of mixed requests from several users."""

from __future__ import annotations

import dataclasses
import enum
import random

VOCABULARY = (
    'candle wax panel ink saint feast letter page river bell pallet '
    'incense caption hero market blend stock order draft scene'
).split()


class WorkType(enum.Enum):
    """Types of work that the users send."""

    REVIEW = 'review'
    REWRITE = 'rewrite'
    CAPTION = 'caption'
    ASSISTANT = 'assistant'
    ORDER = 'order'
    LOOKUP = 'lookup'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkProfile:
    """Parameters of the requests of one type of work.

    :param work: type of work.
    :param share: fraction of all arrivals.
    :param model: model name, empty for plain services.
    :param path: path, for plain services.
    :param key: bearer key of the caller.
    :param prompt_words: number of words after the shared prefix.
    :param shared_words: length of the prefix, in words, that all prompts
        about the same document share.
    :param documents: number of documents that prompts are about.
    :param tokens: tokens to generate, 0 for plain services.
    :param deadline_ms: milliseconds until the caller gives up.
    """

    work: WorkType
    share: float
    model: str = ''
    path: str = ''
    key: str = ''
    prompt_words: int = 20
    shared_words: int = 0
    documents: int = 1
    tokens: int = 0
    deadline_ms: int


DEFAULT_MIX = (
    WorkProfile(
        work=WorkType.REVIEW,
        share=0.08,
        model='story-review',
        key='example-key-bahari',
        prompt_words=40,
        shared_words=2_000,
        documents=12,
        tokens=160,
        deadline_ms=30_000,
    ),
    WorkProfile(
        work=WorkType.REWRITE,
        share=0.22,
        model='story-rewrite',
        key='example-key-nyota',
        prompt_words=60,
        shared_words=400,
        documents=20,
        tokens=60,
        deadline_ms=15_000,
    ),
    WorkProfile(
        work=WorkType.CAPTION,
        share=0.22,
        model='story-caption',
        key='example-key-bahari',
        prompt_words=20,
        shared_words=60,
        documents=3,
        tokens=16,
        deadline_ms=6_000,
    ),
    WorkProfile(
        work=WorkType.ASSISTANT,
        share=0.18,
        model='kadidlo',
        key='example-key-sacristans',
        prompt_words=30,
        shared_words=300,
        documents=4,
        tokens=48,
        deadline_ms=15_000,
    ),
    WorkProfile(
        work=WorkType.ORDER,
        share=0.15,
        path='/orders/candles',
        key='example-key-buyers',
        deadline_ms=8_000,
    ),
    WorkProfile(
        work=WorkType.LOOKUP,
        share=0.15,
        path='/titles/',
        key='example-key-bookshops',
        deadline_ms=4_000,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request of a trace.

    :param at_ms: milliseconds from the start of the trace to its sending.
    :param kind: parameters of its type of work.
    :param text: prompt, or name of the item that is ordered or looked up.
    """

    at_ms: int
    kind: WorkProfile
    text: str


def generate_trace(
    *,
    seed: int,
    rate: float,
    seconds: float,
    mix: tuple[WorkProfile, ...] = DEFAULT_MIX,
) -> tuple[Arrival, ...]:
    """Generate a trace with open-loop Poisson arrivals.

    :param seed: seed of the generator, which determines the whole trace.
    :param rate: mean number of requests per second.
    :param seconds: length of the trace.
    :param mix: types of work to draw from, by their share.
    :return: requests in the order of their sending.
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
                text=_build_text(kind, generator),
            )
        )
        at += generator.expovariate(rate)
    return tuple(arrivals)


def _build_text(kind: WorkProfile, generator: random.Random) -> str:
    if not kind.tokens:
        return f'{generator.choice(VOCABULARY)}-{generator.randrange(10_000)}'
    document = generator.randrange(kind.documents)
    prefix_generator = random.Random(f'{kind.work.value}/{document}')
    words = [
        prefix_generator.choice(VOCABULARY) for _ in range(kind.shared_words)
    ]
    words += [generator.choice(VOCABULARY) for _ in range(kind.prompt_words)]
    return ' '.join(words)
