"""Tests of the decoding of callers' requests."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.decisions import calls
from teaselbridge.platform import documents
from teaselbridge.platform import ingress
from teaselbridge.platform import names
from teaselbridge.tables import join
from tests.failures import site

INDEX = join.Index(
    configuration=documents.configuration(
        site.encode_configuration(
            3,
            routes=(
                *site.ROUTES,
                {
                    'name': 'split',
                    'host': 'Other.example',
                    'path-prefix': '/split/',
                    'route-kind': 'idempotent',
                    'timeout-ms': 900,
                    'priority': 5,
                    'public': True,
                    'backends': [
                        {'service': 'shop', 'weight': 90},
                        {'service': 'engines', 'weight': 10},
                    ],
                },
            ),
            tenants=(
                {
                    'name': 'parish',
                    'api-keys': [site.WORKSPACE_KEY],
                    'priority': 0,
                },
            ),
        )
    )
)


def raw(
    target: str, *extra_headers: tuple[bytes, bytes]
) -> ingress.RawRequest:
    """Return a request; given headers replace the default ones."""
    headers = [
        (b'host', site.HTTP_HOST.encode()),
        (names.CREDENTIAL, site.WORKSPACE_KEY.encode()),
        (names.ATTEMPT_ID, b'a1'),
        (names.DEADLINE_MS, b'700'),
    ]
    replaced = {name for name, _ in extra_headers}
    return ingress.RawRequest(
        handle=1,
        method='POST',
        target=target,
        headers=[item for item in headers if item[0] not in replaced]
        + list(extra_headers),
        body=b'',
        now=1_000,
    )


class TestDecode(testtools.TestCase):
    """Decoding of routes, workspace keys, deadlines and prompt headers."""

    def _reason(self, request: ingress.RawRequest) -> calls.Reason:
        error = self.assertRaises(
            ingress.RefusedError, ingress.decode_request, request, INDEX
        )
        assert isinstance(error, ingress.RefusedError)
        return error.refusal.reason

    def test_longest_prefix_wins(self) -> None:
        call = ingress.decode_request(raw('/stream/once/1?x=%2F'), INDEX)
        self.assertEqual('once', call.route.name)
        self.assertEqual('/stream/once/1?x=%2F', call.path)

    def test_priority_of_the_workspace_goes_before_the_routes(self) -> None:
        call = ingress.decode_request(raw('/stream/1'), INDEX)
        self.assertEqual(0, call.route.priority)

    def test_deadline_is_bounded_by_the_route(self) -> None:
        short = ingress.decode_request(raw('/orders/1'), INDEX)
        long = ingress.decode_request(
            raw('/orders/1', (names.DEADLINE_MS, b'99999')), INDEX
        )
        none = ingress.decode_request(
            raw('/orders/1', (names.DEADLINE_MS, b'soon')), INDEX
        )
        self.assertEqual(
            [1_700, 16_000, 16_000],
            [item.deadline for item in (short, long, none)],
        )

    def test_parts_of_a_prompt(self) -> None:
        call = ingress.decode_request(
            raw(
                '/stream/1',
                (names.TOKEN_COUNTS, b'1460,80'),
                (names.PROMPT_PREFIX, b'5c1e:800, e44:660'),
            ),
            INDEX,
        )
        self.assertEqual((1_460, 80), (call.tokens_in, call.max_tokens))
        self.assertEqual(
            (calls.PromptPart('5c1e', 800), calls.PromptPart('e44', 660)),
            call.parts,
        )

    def test_length_hint(self) -> None:
        for value, expected in (
            (b'43', 43),
            (b' 43 ', 43),
            (b'-1', 0),
            (b'long', 0),
            (b'', 0),
            (b'9' * 5_000, 0),
            (b'9' * 30, ingress.MAX_LENGTH_HINT),
        ):
            hint = (names.LENGTH_HINT, value)
            call = ingress.decode_request(raw('/stream/1', hint), INDEX)
            self.assertEqual(expected, call.length_hint, value)
            self.assertIn(
                calls.Header('teaselbridge-length-hint', value.decode()),
                call.headers,
            )
        call = ingress.decode_request(raw('/stream/1'), INDEX)
        self.assertEqual(0, call.length_hint)

    def test_malformed_counts_are_left_out(self) -> None:
        call = ingress.decode_request(
            raw(
                '/stream/1',
                (names.TOKEN_COUNTS, b'many'),
                (names.PROMPT_PREFIX, b'a:b:c'),
            ),
            INDEX,
        )
        self.assertEqual((0, 0), (call.tokens_in, call.max_tokens))
        self.assertEqual((), call.parts)

    # Guards against numbers that cannot be sent to other nodes, and requests
    # that get 500.
    def test_numbers_of_callers_are_bounded(self) -> None:
        digits = b'1' + b'0' * 21
        for name, value in (
            (names.TOKEN_COUNTS, digits + b',80'),
            (names.TOKEN_COUNTS, b'9' * 5_000 + b',80'),
            (names.LENGTH_HINT, digits),
            (names.LENGTH_HINT, b'9' * 5_000),
            (names.DEADLINE_MS, digits),
            (names.DEADLINE_MS, b'1e308'),
            (names.DEADLINE_MS, b'9' * 5_000),
            (names.PROMPT_PREFIX, b'aa:' + digits),
            (names.PROMPT_PREFIX, b'aa:' + b'9' * 5_000),
            (names.PROMPT_PREFIX, b'aa:\xb2'),
        ):
            call = ingress.decode_request(
                raw('/stream/x', (name, value)), INDEX
            )
            for number in (
                call.tokens_in,
                call.max_tokens,
                call.length_hint,
                call.deadline,
                *(part.tokens for part in call.parts),
            ):
                self.assertLess(number, 1 << 53)

    def test_weights_of_a_split_route(self) -> None:
        pools = [
            ingress.decode_request(
                raw(
                    '/split/1',
                    (b'host', b'other.EXAMPLE'),
                    (names.ATTEMPT_ID, str(number).encode()),
                ),
                INDEX,
            ).route.pool
            for number in range(1_000)
        ]
        self.assertTrue(60 < pools.count('engines') < 140)

    def test_refusals(self) -> None:
        self.assertEqual(calls.Reason.NO_ROUTE, self._reason(raw('/no/')))
        self.assertEqual(calls.Reason.NO_ROUTE, self._reason(raw('/stream')))
        self.assertEqual(
            calls.Reason.BAD_KEY,
            self._reason(raw('/stream/1', (names.CREDENTIAL, b'no'))),
        )

    def test_public_route_asks_for_no_key(self) -> None:
        call = ingress.decode_request(
            raw('/open/1', (names.CREDENTIAL, b'no')), INDEX
        )
        self.assertEqual('', call.key.workspace)

    # Guards against callers that pass for a node, which would go past the
    # rate of their workspace.
    def test_callers_cannot_pass_for_a_node(self) -> None:
        request = raw('/stock/x', (names.FORWARDED_BY, b'front-1'))
        call = ingress.decode_request(request, INDEX)
        self.assertEqual('', call.origin)
        forwarded = dataclasses.replace(request, is_forwarded=True)
        call = ingress.decode_request(forwarded, INDEX)
        self.assertEqual('front-1', call.origin)

    def test_system_headers_of_callers_are_dropped(self) -> None:
        call = ingress.decode_request(
            raw(
                '/stream/1',
                (b'Kv-From', b'1'),
                (b'Teaselbridge-Hold', b'1'),
                (b'Connection', b'close, X-One'),
                (b'X-One', b'1'),
                (b'X-Two', b'2'),
            ),
            INDEX,
        )
        left = {header.name for header in call.headers}
        self.assertEqual({'host', 'teaselbridge-attempt-id', 'X-Two'}, left)


class TestRefusals(testtools.TestCase):
    """Statuses and headers of refusals, and checks of the framing."""

    def test_no_promise_where_it_may_have_run(self) -> None:
        for reason in calls.Reason:
            refusal = calls.Refusal(reason, calls.RunStatus.UNKNOWN, '')
            status = ingress.get_refusal_status(refusal)
            self.assertNotIn(status, ingress.NOT_RUN_STATUSES, reason)

    def test_retry_after_has_fractions(self) -> None:
        refusal = calls.Refusal(
            calls.Reason.NO_SERVER, calls.RunStatus.NOT_RUN, '', 250
        )
        headers = dict(ingress.build_refusal_headers(refusal, 'a1'))
        self.assertEqual(b'0.250', headers[names.RETRY_AFTER])

    def test_ambiguous_framing(self) -> None:
        for headers in (
            [(b'Content-Length', b'1'), (b'Transfer-Encoding', b'chunked')],
            [(b'Content-Length', b'1'), (b'content-length', b'2')],
        ):
            self.assertRaises(
                ingress.RefusedError, ingress.check_framing, headers
            )
