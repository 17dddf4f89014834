"""Self-signed certificates for 127.0.0.1, each its own authority."""

import datetime
import ipaddress
import pathlib
from typing import NamedTuple

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509

VALIDITY = datetime.timedelta(days=1)


class Paths(NamedTuple):
    """Files of a certificate and of its key (PEM)."""

    cert: str
    key: str


def write_certificate(directory: pathlib.Path, name: str = 'cert') -> Paths:
    """Makes a certificate and writes it with its key.

    Args:
      directory: Where the files go.
      name: Names the files and the subject.
    Returns: The files.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    paths = Paths(
        str(directory / f'{name}.pem'), str(directory / f'{name}.key')
    )
    certificate = build(name, key)
    pathlib.Path(paths.cert).write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    pathlib.Path(paths.key).write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return paths


def build(name: str, key: ec.EllipticCurvePrivateKey) -> x509.Certificate:
    """Signs a certificate for 127.0.0.1 by its own key."""
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.IPv4Address('127.0.0.1'))
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        .sign(key, hashes.SHA256())
    )
