"""TLS for callers and operators, keys for nodes."""

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
    plain = serialization.PrivateFormat.PKCS8
    secret = key.private_bytes(pem, plain, serialization.NoEncryption())
    tls = model.Tls(
        certificate=str(folder / 'cert.pem'), key=str(folder / 'key.pem')
    )
    pathlib.Path(tls.key).write_bytes(secret)
    pathlib.Path(tls.certificate).write_bytes(certificate.public_bytes(pem))
    return tls


def name_of(address: str) -> str:
    """Read whose certificate a listener shows."""
    host, _, port = address.rpartition(':')
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    with socket.create_connection((host, int(port))) as plain:
        with context.wrap_socket(plain) as secured:
            found = x509.load_der_x509_certificate(
                secured.getpeercert(binary_form=True)
            )
    names = found.subject.get_attributes_for_oid(oid.NameOID.COMMON_NAME)
    return str(names[0].value)


class TestTls(base.TestCase):
    """Certificates, and their replacement without a restart."""

    def test_callers_use_it_and_new_ones_are_taken(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            self.go(self._check(pathlib.Path(name)))

    async def _check(self, folder: pathlib.Path) -> None:
        tls = write_certificate(folder, 'first')
        async with base.running(count=1) as trial:
            settings = dataclasses.replace(base.more_settings(trial), tls=tls)
            node = nodes.Node(settings=settings)
            await node.start()
            try:
                address = settings.listen.callers
                await trial.until(lambda: node.loop.state.servers.all)
                caller = trial.secure_caller(address, tls.certificate)
                found = await caller.complete(base.chat('secret', 3))
                self.assertEqual(3, len(found.tokens))
                pathlib.Path(tls.key).write_text('broken', encoding='ascii')
                await trial.until(
                    lambda: self._events(node, 'certificate-refused')
                )
                show = asyncio.to_thread(name_of, address)
                self.assertEqual('first', await show)
                write_certificate(folder, 'second')
                await trial.until(
                    lambda: self._events(node, 'certificate-used')
                )
                show = asyncio.to_thread(name_of, address)
                self.assertEqual('second', await show)
            finally:
                await node.abort()

    def _events(self, node: nodes.Node, mark: str) -> bool:
        wanted = timeline.Filter(mark=mark)
        return bool(node.loop.timeline.select(wanted))


class TestPeerKeys(base.TestCase):
    """Nodes without the key pair stay outside."""

    def test_only_holders_of_the_keys_meet(self) -> None:
        async def run() -> None:
            public, secret = zmq.curve_keypair()
            keys = model.PeerKeys(
                public=public.decode(), secret=secret.decode()
            )
            async with base.running(count=2, peer_keys=keys) as trial:
                stranger = nodes.Node(settings=base.more_settings(trial))
                await stranger.start()
                try:
                    await trial.until(
                        lambda: stranger.meter.sent('SyncAsked') > 2
                    )
                    self.assertEqual([], stranger.loop.state.membership.all)
                finally:
                    await stranger.abort()

        self.go(run())
