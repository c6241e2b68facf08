"""Test TLS for callers, and key pairs between nodes."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import ipaddress
import pathlib
import socket
import ssl
import tempfile

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import zmq

from teaselbridge.runtime import node as nodes
from teaselbridge.settings import model
from teaselbridge.telemetry import timeline
from tests.failures import base


def write_certificate(folder: pathlib.Path, name: str) -> model.Tls:
    """Write a self-signed certificate for loopback."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    pkcs8 = serialization.PrivateFormat.PKCS8
    secret = key.private_bytes(pem, pkcs8, serialization.NoEncryption())
    tls = model.Tls(
        certificate=str(folder / 'cert.pem'), key=str(folder / 'key.pem')
    )
    pathlib.Path(tls.key).write_bytes(secret)
    pathlib.Path(tls.certificate).write_bytes(certificate.public_bytes(pem))
    return tls


def read_common_name(address: str) -> str:
    """Return the common name in the certificate of a listener."""
    host, _, port = address.rpartition(':')
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    with socket.create_connection((host, int(port))) as connection:
        with context.wrap_socket(connection) as tls_connection:
            peer_certificate = x509.load_der_x509_certificate(
                tls_connection.getpeercert(binary_form=True)
            )
    names = peer_certificate.subject.get_attributes_for_oid(
        oid.NameOID.COMMON_NAME
    )
    return str(names[0].value)


class TestTls(base.TestCase):
    """Certificates, and their replacement without a restart."""

    def test_certificate_is_replaced_without_a_restart(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            self.run_coroutine(self._check_replacement(pathlib.Path(name)))

    async def _check_replacement(self, folder: pathlib.Path) -> None:
        """Check that a broken key is refused and a new certificate is used."""
        tls = write_certificate(folder, 'first')
        async with base.running(count=1) as trial:
            settings = dataclasses.replace(
                base.build_joining_settings(trial), tls=tls
            )
            node = nodes.Node(settings=settings)
            await node.start()
            try:
                address = settings.listen.callers
                await trial.until(lambda: node.loop.state.servers.all)
                caller = trial.create_tls_caller(address, tls.certificate)
                completion = await caller.complete(
                    base.build_chat_request('secret', 3)
                )
                self.assertEqual(3, len(completion.tokens))
                pathlib.Path(tls.key).write_text('broken', encoding='ascii')
                await trial.until(
                    lambda: self._has_entry(node, 'certificate-refused')
                )
                show = asyncio.to_thread(read_common_name, address)
                self.assertEqual('first', await show)
                write_certificate(folder, 'second')
                await trial.until(
                    lambda: self._has_entry(node, 'certificate-used')
                )
                show = asyncio.to_thread(read_common_name, address)
                self.assertEqual('second', await show)
            finally:
                await node.abort()

    def _has_entry(self, node: nodes.Node, mark: str) -> bool:
        """Return whether a node's timeline has an entry with a mark."""
        wanted = timeline.Filter(mark=mark)
        return bool(node.loop.timeline.select(wanted))


class TestPeerKeys(base.TestCase):
    """Nodes without the key pair cannot join."""

    def test_node_without_the_keys_cannot_join(self) -> None:
        async def run() -> None:
            public, secret = zmq.curve_keypair()
            keys = model.PeerKeys(
                public=public.decode(), secret=secret.decode()
            )
            async with base.running(count=2, peer_keys=keys) as trial:
                keyless_node = nodes.Node(
                    settings=base.build_joining_settings(trial)
                )
                await keyless_node.start()
                try:
                    await trial.until(
                        lambda: keyless_node.meter.sent('SyncAsked') > 2
                    )
                    self.assertEqual(
                        [], keyless_node.loop.state.membership.known_peers
                    )
                finally:
                    await keyless_node.abort()

        self.run_coroutine(run())
