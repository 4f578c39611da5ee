"""TLS with the standard library's ssl: contexts from files, peer identity, certificate expiry."""

import ssl
import time
from pathlib import Path

import trio

from dunlinlug.errors import DunlinlugError

ALPN_PROTOCOLS = ["h2"]


class TlsConfigError(DunlinlugError, ValueError):
    """A certificate or key file cannot be used; the text names the file and the reason."""


def _configure(context: ssl.SSLContext, cert: Path, key: Path, authority: Path) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    for path, description in ((cert, "certificate"), (key, "key"), (authority, "CA certificate")):
        if not path.is_file():
            raise TlsConfigError(f"{path}: no such {description} file")
    try:
        context.load_cert_chain(cert, key)
    except (ssl.SSLError, OSError) as error:
        raise TlsConfigError(f"{cert}, {key}: not a certificate and its key: {error}") from None
    try:
        context.load_verify_locations(authority)
    except (ssl.SSLError, OSError) as error:
        raise TlsConfigError(f"{authority}: not a file of CA certificates: {error}") from None
    return context


def server_context(cert: Path, key: Path, clients: Path) -> ssl.SSLContext:
    """Create a server context; each client must have a certificate of a CA in `clients`.

    Raises:
        TlsConfigError: A file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _configure(context, cert, key, clients)


def client_context(cert: Path, key: Path, servers: Path) -> ssl.SSLContext:
    """Create a client context with a client certificate.

    Raises:
        TlsConfigError: A file cannot be used.
    """
    return _configure(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), cert, key, servers)


def _peer_certificate(stream: trio.SSLStream[trio.SocketStream]) -> dict[str, object]:
    certificate: dict[str, object] = stream.getpeercert() or {}
    return certificate


def peer_identity(stream: trio.SSLStream[trio.SocketStream]) -> str:
    """Return the first DNS name or URI of the peer's certificate, else its common name, else ""."""
    certificate = _peer_certificate(stream)
    alternatives = certificate.get("subjectAltName", ())
    for kind, value in alternatives:  # type: ignore[attr-defined]
        if kind in ("DNS", "URI"):
            return str(value)
    subject = certificate.get("subject", ())
    for relative_name in subject:  # type: ignore[attr-defined]
        for key, value in relative_name:
            if key == "commonName":
                return str(value)
    return ""


def remaining_validity(stream: trio.SSLStream[trio.SocketStream]) -> float:
    """Return the seconds until the peer's certificate expires; negative if it has expired."""
    return ssl.cert_time_to_seconds(str(_peer_certificate(stream)["notAfter"])) - time.time()
