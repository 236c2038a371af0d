"""TLS contexts of a process, which can be reloaded while connections stay open.

Between processes both sides present a certificate issued by the same authority. The administration
API presents the same certificate and authenticates operators by their tokens.
"""

import ssl

from result import Err, Ok

from onyxfork.errors import SettingsError

__all__ = ["TlsContexts"]


class TlsContexts:
    """The TLS contexts of a process.

    Parameters
    ----------
    files : TlsSettings or None

    Attributes
    ----------
    server, client : ssl.SSLContext or None
        For connections between processes, by the side of this process; None without TLS settings.
    admin : ssl.SSLContext or None
        For the administration API; None without TLS settings.
    """

    def __init__(self, files):
        self.files = files
        self.server = self.client = self.admin = None
        if files is not None:
            self.server = make_context(ssl.Purpose.CLIENT_AUTH, files)
            self.server.verify_mode = ssl.CERT_REQUIRED
            self.client = make_context(ssl.Purpose.SERVER_AUTH, files)
            self.client.check_hostname = False
            self.admin = make_context(ssl.Purpose.CLIENT_AUTH, files)

    @classmethod
    def from_config(cls, settings):
        """Return the contexts of a daemon's settings.

        Raises
        ------
        SettingsError
            When a file cannot be read or the key does not match the certificate.
        """
        return cls(settings.tls)

    def reload(self):
        """Load the files again, for new connections.

        Returns
        -------
        Result
            ``Ok(None)``, or ``Err(reason)`` when the files are invalid; the contexts then keep the
            former certificates.
        """
        if self.files is None:
            return Ok(None)
        try:
            make_context(ssl.Purpose.CLIENT_AUTH, self.files)
        except SettingsError as error:
            return Err(str(error))
        for context in (self.server, self.client, self.admin):
            context.load_cert_chain(self.files.certificate, self.files.key)
            context.load_verify_locations(self.files.authority)
        return Ok(None)


def make_context(purpose, files):
    """Return a context with the certificate, key and authority from `files`."""
    try:
        context = ssl.create_default_context(purpose, cafile=files.authority)
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError([f"$.tls: {error}"]) from None
    return context
