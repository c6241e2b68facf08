"""Tests of the decoding of entries of the store."""

from __future__ import annotations

import json
import pathlib

import msgspec
import testtools

from teaselbridge.decisions import events
from teaselbridge import documents as documents_module
from teaselbridge import errors
from teaselbridge.peers import messages
from teaselbridge.platform import documents
from teaselbridge.tables import delta
from tests.failures import site

ENTRY = {
    'service': 'engines',
    'address': '10.0.0.9:8080',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold-left-ms': 0,
    'seqno': 4,
    'born': 1_700_000_000_000,
    'unheard-of': {'deep': [1]},
}


def entry(**changed_fields: object) -> bytes:
    """Encode the entry of a backend server with changed fields."""
    return msgspec.json.encode({**ENTRY, **changed_fields})


class TestServers(testtools.TestCase):
    """Decoding of the entries of backend servers."""

    def test_ready(self) -> None:
        row = documents.decode_server('servers/i-7', entry())
        self.assertEqual(('i-7', 'engines'), (row.instance, row.pool))
        self.assertIs(events.HostState.LIVE, row.state)
        self.assertFalse(row.reclaimable)

    def test_leaving_with_notice(self) -> None:
        row = documents.decode_server(
            'servers/i-7', entry(state='draining', spot=True, leaves_ms=2500.0)
        )
        self.assertIs(events.HostState.LEAVING, row.state)
        self.assertEqual((True, 2_500), (row.reclaimable, row.left_ms))

    def test_restart_under_the_same_id_is_another_server(self) -> None:
        first = documents.decode_server('servers/i-7', entry())
        second = documents.decode_server(
            'servers/i-7', entry(born=1_700_000_009_000)
        )
        self.assertNotEqual(first.host, second.host)
        self.assertEqual(first.instance, second.instance)

    def test_entries_of_other_writers_name_no_server(self) -> None:
        for data in (
            b'',
            b'\xff\xfe',
            b'[]',
            b'{"service": "engines"}',
            entry(state='asleep'),
            entry(address='nowhere'),
            entry(address=7),
            entry(slots='many'),
            entry(service=''),
            entry(version=None),
            b'{"x": %b%b}' % (b'[' * 20_000, b']' * 20_000),
        ):
            self.assertRaises(
                errors.DocumentError,
                documents.decode_server,
                'servers/x',
                data,
            )


ODD_FIELDS: tuple[tuple[str, object], ...] = (
    ('address', 'nowhere'),
    ('address', '10.0.0.9:0'),
    ('address', '10.0.0.9:65536'),
    ('address', '10.0.0.9:' + '9' * 5_000),
    ('address', '10.0.0.9:\u00b2'),
    ('address', '10.0.0.9:8O'),
    ('address', ':8080'),
    ('address', 'x y:80'),
    ('address', 'http://10.0.0.9:80'),
    ('address', '10.0.0.9:80\r\nHost: x'),
    ('address', 'a\r\nb:80'),
    ('slots', -1),
    ('slots', 10**30),
    ('slots', 10**400),
    ('born', -1),
    ('born', 1 << 64),
    ('cold-left-ms', 1e308),
    ('leaves_ms', 1e308),
    ('service', ''),
    ('service', 'a\nb'),
    ('service', 'a' * 100_000),
    ('zone', '\0'),
    ('version', 'v' * 100_000),
    ('state', 'asleep'),
)


class TestOddEntries(testtools.TestCase):
    """Values that cannot be used are refused where they are decoded.

    Each of them raised an error later: at a connection, in the dispatch of
    requests, or where it is sent to other nodes.
    """

    def test_servers(self) -> None:
        for field, value in ODD_FIELDS:
            data = json.dumps({**ENTRY, field: value}).encode()
            error = self.assertRaises(
                errors.DocumentError,
                documents.decode_server,
                'servers/i-7',
                data,
            )
            self.assertEqual(f'$.{field}', error.path)
            self.assertLess(len(str(error)), 200)

    def test_server_ids(self) -> None:
        for key in ('servers/', 'servers/a\r\nb', 'servers/\0'):
            self.assertRaises(
                errors.DocumentError, documents.decode_server, key, entry()
            )

    def test_usual_addresses(self) -> None:
        for address in ('10.0.0.9:1', 'host-1.example:65535', '[::1]:80'):
            row = documents.decode_server('servers/i', entry(address=address))
            self.assertEqual(address, row.address)

    # Guards against a server that is dropped as its notice has passed.
    def test_times_that_have_passed(self) -> None:
        data = entry(**{'leaves_ms': -3.0, 'cold-left-ms': -2})
        row = documents.decode_server('servers/i', data)
        self.assertEqual((0, 0), (row.left_ms, row.cold_ms))

    def test_nodes(self) -> None:
        for peers in ('', 'nowhere', '10.0.0.1:0', '10.0.0.1:99999', '*:1'):
            data = msgspec.json.encode({'peers': peers})
            self.assertRaises(errors.DocumentError, documents.node, data)

    def test_rollouts(self) -> None:
        data = b'{"service": "p", "target": "v", "duration-s": 1e308}'
        self.assertRaises(
            errors.DocumentError, documents.decode_rollout, data, 1
        )

    def test_parts(self) -> None:
        data = b'{"part": "p", "until": %d}' % (1 << 64)
        self.assertRaises(errors.DocumentError, documents.decode_part, data)


class TestEvacuations(testtools.TestCase):
    """Evacuated zones are named by the keys of their entries."""

    def test_zone(self) -> None:
        key = 'op/evacuate/zone-a'
        self.assertEqual('zone-a', documents.decode_evacuated_zone(key))

    def test_other_entries_name_no_zone(self) -> None:
        for key in ('op/config', 'op/rollout/zone-a', 'servers/zone-a'):
            self.assertEqual('', documents.decode_evacuated_zone(key))


class TestConfiguration(testtools.TestCase):
    """Decoding of the operators' configuration."""

    def test_rows(self) -> None:
        decoded = documents.configuration(site.encode_configuration(7))
        self.assertEqual(7, decoded.generation)
        routes = {route.name: route for route in decoded.tables.routes}
        self.assertTrue(routes['chat'].idempotent)
        self.assertTrue(routes['chat'].resumable)
        self.assertFalse(routes['once'].idempotent)
        self.assertFalse(routes['orders'].idempotent)
        self.assertTrue(routes['open'].public)
        pools = {pool.name: pool for pool in decoded.tables.pools}
        self.assertIsNotNone(pools['engines'].engine)
        self.assertIsNone(pools['shop'].engine)

    # Guards against requests that wait for a limit that nobody stated.
    def test_memory_of_engines(self) -> None:
        for stated, expected in (
            ({'kv-capacity': 444_000}, 444_000),
            ({}, documents.UNSTATED_CACHE_TOKENS),
        ):
            services = ({**site.SERVICES[0], 'engine': stated},)
            decoded = documents.configuration(
                site.encode_configuration(7, services=services)
            )
            (pool,) = decoded.tables.pools
            assert pool.engine is not None
            self.assertEqual(expected, pool.engine.cache_tokens)

    def test_scaling_and_rates(self) -> None:
        decoded = documents.configuration(
            site.encode_configuration(
                7,
                services=(
                    {
                        'name': 'lm',
                        'scaling': {
                            'min-replicas': 1,
                            'max-replicas': 3,
                            'boot-s': 4.0,
                            'spot-price': 0.15,
                            'zone-prices': {'a': 1.0},
                        },
                    },
                ),
                tenants=(
                    {
                        'name': 'w',
                        'api-keys': ['k'],
                        'unit': 'tokens',
                        'plain-tokens': 200,
                        'rate-per-s': 123,
                        'burst': 456,
                    },
                    {'name': 'free', 'api-keys': []},
                ),
            )
        )
        (pool,) = decoded.tables.pools
        assert pool.scaling is not None
        self.assertEqual((3, 4_000), (pool.scaling.most, pool.scaling.boot_ms))
        limited, free = decoded.tables.workspaces
        assert limited.rate is not None
        self.assertEqual(
            (123, True), (limited.rate.per_s, limited.rate.in_tokens)
        )
        self.assertIsNone(free.rate)

    def test_undecodable(self) -> None:
        for data in (b'', b'{"version": 1}', b'{"version": "x"}'):
            self.assertRaises(
                errors.DocumentError, documents.configuration, data
            )


ODD_NAMES = ('sklad_app', 'Sklad', 'sk lad', 'žito', '-', '.', 'a' * 500)
ODD_NUMBERS = (-1e300, -1, 0, 0.4, 1e300, 10**400)


class TestSending(testtools.TestCase):
    """Each configuration that is decoded can be sent to other nodes.

    Nodes that do not read the store get it in messages only.
    """

    def _check(self, data: bytes) -> None:
        decoded = documents.configuration(data)
        sent = messages.ConfigurationSent(configuration=decoded)
        received = documents_module.decode_packed(
            msgspec.msgpack.encode(sent), messages.ConfigurationSent, 'peer'
        )
        self.assertEqual(decoded, received.configuration)
        before = documents.configuration(site.encode_configuration(0))
        change = delta.compute_delta(before, decoded)
        if change is not None:
            documents_module.decode_packed(
                msgspec.msgpack.encode(change), delta.Delta, 'peer'
            )

    # Guards against nodes that drop the messages with a configuration, as
    # operators' names follow no rule of this project.
    def test_names(self) -> None:
        for name in ODD_NAMES:
            self._check(
                site.encode_configuration(
                    7,
                    routes=(
                        {**site.ROUTES[0], 'name': name, 'service': name},
                    ),
                    services=(
                        {
                            'name': name,
                            'scaling': {'zone-prices': {name: 1.0}},
                        },
                    ),
                    tenants=({'name': name, 'api-keys': [name]},),
                )
            )

    def test_numbers(self) -> None:
        for number in ODD_NUMBERS:
            whole = int(number)
            route = {
                **site.ROUTES[0],
                'timeout-ms': number,
                'goal-ms': number,
                'priority': whole,
                'attempts': whole,
                'backends': [{'service': 'engines', 'weight': number}],
            }
            service = {
                'name': 'engines',
                'engine': {
                    'slots': whole,
                    'kv-capacity': whole,
                    'kv-token-bytes': number,
                    'link-mbps': number,
                },
                'scaling': {
                    'min-replicas': whole,
                    'max-replicas': whole,
                    'boot-s': number,
                    'spot-price': number,
                    'zone-prices': {'zone-a': number},
                },
                'cold-per-s': number,
            }
            tenant = {
                'name': 'parish',
                'api-keys': ['k'],
                'priority': whole,
                'plain-tokens': whole,
                'rate-per-s': number,
                'burst': number,
            }
            limits = {
                'max-header-bytes': whole,
                'max-body-bytes': whole,
                'idle-timeout-ms': number,
            }
            if abs(number) > 1e308:
                # Fields for fractions hold no such number.
                route |= {'timeout-ms': 1, 'goal-ms': 1, 'backends': []}
                service |= {'scaling': None, 'cold-per-s': 0}
                service['engine'] = {'slots': whole, 'kv-capacity': whole}
                tenant |= {'rate-per-s': 1, 'burst': 1}
                limits |= {'idle-timeout-ms': 1}
            self._check(
                json.dumps(
                    {
                        'version': 7,
                        'routes': [route],
                        'services': [service],
                        'tenants': [tenant],
                        'limits': limits,
                    }
                ).encode()
            )

    def test_version_that_cannot_be_sent(self) -> None:
        for version in (-1, 1 << 64, 10**400):
            data = b'{"version": %d, "routes": [], "services": []}' % version
            self.assertRaises(
                errors.DocumentError, documents.configuration, data
            )


class TestNames(testtools.TestCase):
    """Use of the platform's names in its own package only."""

    def test_no_other_package_knows_them(self) -> None:
        platform_names = (
            'teaselbridge-',
            '/api/',
            'api-keys',
            'path-prefix',
            'if-rev',
        )
        source = pathlib.Path(documents.__file__).parent.parent
        for path in source.rglob('*.py'):
            if path.parent.name in ('platform', 'standins'):
                continue
            text = path.read_text()
            for platform_name in platform_names:
                self.assertNotIn(platform_name, text.lower(), path)
