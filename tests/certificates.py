"""Certificates for tests: an authority, and node certificates signed by it."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

DAY = datetime.timedelta(days=1)


def make_name(text):
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])


def write_key(key, path):
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


class Authority:
    """A certificate authority that writes the files it issues to a folder."""

    def __init__(self, folder, name="authority"):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = make_name(name)
        self.path = folder / f"{name}.pem"
        certificate = self.sign(self.name, self.key, True)
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def sign(self, subject, key, is_authority):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
        )
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, name):
        """Write a key and a certificate, and return their paths as fields of `TlsSettings`."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self.sign(make_name(name), key, False)
        path = self.folder / f"{name}.pem"
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        write_key(key, self.folder / f"{name}.key")
        return {
            "certificate": str(path),
            "key": str(self.folder / f"{name}.key"),
            "authority": str(self.path),
        }
